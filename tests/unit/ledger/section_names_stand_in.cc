// Section names for builds in which src/config has no sources yet. Weak, so
// that the definitions of src/config take precedence; delete this file once
// they are on the branch.

#include <stdexcept>
#include <string>

#include "src/config/configuration.h"

namespace filbertshift {

__attribute__((weak)) const std::vector<Section>& ConfigurationSections() {
  static const std::vector<Section> kSections = {
      Section::kModels, Section::kClientAccounts, Section::kDataCentres,
      Section::kRollouts};
  return kSections;
}

__attribute__((weak)) std::string_view SectionName(Section section) {
  constexpr std::string_view kNames[] = {"models", "client_accounts",
                                         "data_centres", "rollouts"};
  return kNames[static_cast<int>(section)];
}

__attribute__((weak)) Section ParseSectionName(std::string_view name) {
  for (Section section : ConfigurationSections()) {
    if (SectionName(section) == name) {
      return section;
    }
  }
  throw std::invalid_argument("unknown section " + std::string(name));
}

}  // namespace filbertshift
