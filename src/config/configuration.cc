#include "src/config/configuration.h"

#include <algorithm>
#include <stdexcept>

namespace filbertshift {

namespace {

struct NamedSection {
  Section section;
  std::string_view name;
};

constexpr NamedSection kNamedSections[] = {
    {Section::kModels, "models"},
    {Section::kClientAccounts, "client_accounts"},
    {Section::kDataCentres, "data_centres"},
    {Section::kRollouts, "rollouts"},
};

// Returns the first element whose member equals the value, or nullptr.
template <class T, class V>
const T* FindBy(const std::vector<T>& elements, V T::*member, const V& value) {
  auto found =
      std::find_if(elements.begin(), elements.end(),
                   [&](const T& element) { return element.*member == value; });
  return found == elements.end() ? nullptr : &*found;
}

template <class T>
bool Contains(const std::vector<T>& elements, const T& value) {
  return std::find(elements.begin(), elements.end(), value) != elements.end();
}

}  // namespace

const std::vector<Section>& ConfigurationSections() {
  static const std::vector<Section> kSections = {
      Section::kModels, Section::kClientAccounts, Section::kDataCentres,
      Section::kRollouts};
  return kSections;
}

std::string_view SectionName(Section section) {
  for (const NamedSection& named : kNamedSections) {
    if (named.section == section) {
      return named.name;
    }
  }
  throw std::invalid_argument("invalid section value");
}

Section ParseSectionName(std::string_view name) {
  for (const NamedSection& named : kNamedSections) {
    if (named.name == name) {
      return named.section;
    }
  }
  throw std::invalid_argument(
      "unknown section \"" + std::string(name) +
      "\"; sections are models, client_accounts, data_centres and rollouts");
}

const Model* Configuration::FindModel(const ModelId& model) const {
  return FindBy(models, &Model::model, model);
}

const ModelVersion* Configuration::FindVersion(const ModelId& model,
                                               const VersionId& version) const {
  const Model* found = FindModel(model);
  return found == nullptr
             ? nullptr
             : FindBy(found->versions, &ModelVersion::version, version);
}

const Service* Configuration::FindService(const ServiceId& service) const {
  return FindBy(services, &Service::service, service);
}

const QualityClass* Configuration::FindClass(const std::string& name) const {
  return FindBy(classes, &QualityClass::name, name);
}

const ClientAccount* Configuration::FindAccount(
    const AccountId& account) const {
  return FindBy(accounts, &ClientAccount::account, account);
}

const ClientAccount* Configuration::FindAccountByKeyHash(
    const std::string& hash) const {
  auto found = std::find_if(accounts.begin(), accounts.end(),
                            [&](const ClientAccount& account) {
                              return Contains(account.api_key_hashes, hash);
                            });
  return found == accounts.end() ? nullptr : &*found;
}

const DataCentre* Configuration::FindDataCentre(
    const DataCentreId& data_centre) const {
  return FindBy(data_centres, &DataCentre::data_centre, data_centre);
}

const Rollout* Configuration::FindRollout(const ModelId& model) const {
  return FindBy(rollouts, &Rollout::model, model);
}

std::vector<int> Configuration::Seats() const {
  std::vector<int> seats;
  for (const DataCentre& data_centre : data_centres) {
    seats.insert(seats.end(), data_centre.seats.begin(),
                 data_centre.seats.end());
  }
  std::sort(seats.begin(), seats.end());
  return seats;
}

bool Configuration::IsAllowed(const ClientAccount& account,
                              const ModelId& model,
                              const VersionId& version) const {
  const ModelVersion* declared = FindVersion(model, version);
  if (declared == nullptr || declared->withdrawn) {
    return false;
  }
  const AllowedModel* allowed =
      FindBy(account.models, &AllowedModel::model, model);
  return allowed != nullptr &&
         (allowed->versions.empty() || Contains(allowed->versions, version));
}

}  // namespace filbertshift
