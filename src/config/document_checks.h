// Semantic checks of the configuration document that span several fields:
// duplicates, references and rollouts.

#ifndef SRC_CONFIG_DOCUMENT_CHECKS_H_
#define SRC_CONFIG_DOCUMENT_CHECKS_H_

#include <optional>
#include <string>
#include <vector>

#include "src/config/configuration.h"

namespace filbertshift {

struct SemanticError {
  // The section that contains the error.
  Section section = Section::kModels;
  // JSON pointer within the section.
  std::string path;
  std::string message;
  // For a dangling reference: the section that should declare the id.
  std::optional<Section> missing_from;
  // False for an error that leaves the configuration usable, because an
  // emergency change of another section may cause it.
  bool blocking = true;
};

// The lists of `configuration` must be in the order of the text, because paths
// are built from their indices.
std::vector<SemanticError> CheckSemantics(const Configuration& configuration);

}  // namespace filbertshift

#endif  // SRC_CONFIG_DOCUMENT_CHECKS_H_
