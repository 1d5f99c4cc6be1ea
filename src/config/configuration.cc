#include "src/config/configuration.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace filbertshift {

namespace {

constexpr std::array<std::string_view, 4> kSectionNames = {
    "models", "client_accounts", "data_centres", "rollouts"};

template <class Items, class Predicate>
auto FindIn(const Items& items, Predicate matches) -> decltype(items.data()) {
  auto found = std::find_if(items.begin(), items.end(), matches);
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

const std::vector<Section>& ConfigurationSections() {
  static const std::vector<Section> kSections = {
      Section::kModels, Section::kClientAccounts, Section::kDataCentres,
      Section::kRollouts};
  return kSections;
}

std::string_view SectionName(Section section) {
  return kSectionNames.at(static_cast<std::size_t>(section));
}

Section ParseSectionName(std::string_view name) {
  for (Section section : ConfigurationSections()) {
    if (SectionName(section) == name) {
      return section;
    }
  }
  throw std::invalid_argument("unknown section " + std::string(name));
}

const Model* Configuration::FindModel(const ModelId& model) const {
  return FindIn(models, [&](const Model& item) { return item.model == model; });
}

const ModelVersion* Configuration::FindVersion(const ModelId& model,
                                               const VersionId& version) const {
  const Model* found = FindModel(model);
  if (found == nullptr) {
    return nullptr;
  }
  return FindIn(found->versions, [&](const ModelVersion& item) {
    return item.version == version;
  });
}

const Service* Configuration::FindService(const ServiceId& service) const {
  return FindIn(services,
                [&](const Service& item) { return item.service == service; });
}

const QualityClass* Configuration::FindClass(const std::string& name) const {
  return FindIn(classes,
                [&](const QualityClass& item) { return item.name == name; });
}

const ClientAccount* Configuration::FindAccount(
    const AccountId& account) const {
  return FindIn(accounts, [&](const ClientAccount& item) {
    return item.account == account;
  });
}

const ClientAccount* Configuration::FindAccountByKeyHash(
    const std::string& hash) const {
  return FindIn(accounts, [&](const ClientAccount& item) {
    const auto& hashes = item.api_key_hashes;
    return std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
  });
}

const DataCentre* Configuration::FindDataCentre(
    const DataCentreId& data_centre) const {
  return FindIn(data_centres, [&](const DataCentre& item) {
    return item.data_centre == data_centre;
  });
}

const Rollout* Configuration::FindRollout(const ModelId& model) const {
  return FindIn(rollouts,
                [&](const Rollout& item) { return item.model == model; });
}

std::vector<int> Configuration::Seats() const {
  std::vector<int> seats;
  for (const DataCentre& item : data_centres) {
    seats.insert(seats.end(), item.seats.begin(), item.seats.end());
  }
  std::sort(seats.begin(), seats.end());
  return seats;
}

bool Configuration::IsAllowed(const ClientAccount& account,
                              const ModelId& model,
                              const VersionId& version) const {
  const ModelVersion* found = FindVersion(model, version);
  if (found == nullptr || found->withdrawn) {
    return false;
  }
  for (const AllowedModel& allowed : account.models) {
    if (allowed.model != model) {
      continue;
    }
    const auto& versions = allowed.versions;
    return versions.empty() || std::find(versions.begin(), versions.end(),
                                         version) != versions.end();
  }
  return false;
}

}  // namespace filbertshift
