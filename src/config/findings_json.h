// Findings as JSON, in the shape of the operator interface and of the
// command-line tool.

#ifndef SRC_CONFIG_FINDINGS_JSON_H_
#define SRC_CONFIG_FINDINGS_JSON_H_

#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

// An array of {"source","path","line","column","message"}.
std::string FindingsToJson(const std::vector<Finding>& findings);

}  // namespace filbertshift

#endif  // SRC_CONFIG_FINDINGS_JSON_H_
