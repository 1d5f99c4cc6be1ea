// Serialises findings as JSON for the operator interface and the command-line
// tool.

#ifndef SRC_CONFIG_FINDINGS_JSON_H_
#define SRC_CONFIG_FINDINGS_JSON_H_

#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

// Returns an array of {"source","path","line","column","message"}.
std::string FindingsToJson(const std::vector<Finding>& findings);

}  // namespace filbertshift

#endif  // SRC_CONFIG_FINDINGS_JSON_H_
