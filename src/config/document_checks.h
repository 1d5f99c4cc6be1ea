// Checks of the configuration document that concern more than one field:
// duplicates, references and rollouts.

#ifndef SRC_CONFIG_DOCUMENT_CHECKS_H_
#define SRC_CONFIG_DOCUMENT_CHECKS_H_

#include <optional>
#include <string>
#include <vector>

#include "src/config/configuration.h"

namespace filbertshift {

// A fault in the contents of a section.
struct ContentFault {
  // The section that has the fault.
  Section section = Section::kModels;
  // JSON pointer within the section.
  std::string path;
  std::string message;
  // The section that lacks what is referred to.
  std::optional<Section> missing_from;
  // False for a fault that does not make the whole configuration unusable,
  // because an emergency change of another section may lead to it.
  bool blocking = true;
};

// `configuration` has the elements of each section in the order of its text.
std::vector<ContentFault> CheckContents(const Configuration& configuration);

}  // namespace filbertshift

#endif  // SRC_CONFIG_DOCUMENT_CHECKS_H_
