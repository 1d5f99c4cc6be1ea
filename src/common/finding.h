// Validation errors in an input, collected with their locations and reported
// together.

#ifndef SRC_COMMON_FINDING_H_
#define SRC_COMMON_FINDING_H_

#include <stdexcept>
#include <string>
#include <vector>

namespace filbertshift {

struct Finding {
  // File or configuration section.
  std::string source;
  // JSON pointer to the invalid value; empty for the whole input.
  std::string path;
  // Line and column are 1-based; 0 if unknown.
  int line = 0;
  int column = 0;
  std::string message;
};

// Formats as "source:line:column: path: message", omitting unknown parts.
std::string FormatFinding(const Finding& finding);

// Thrown if an input is not valid; contains all findings.
class FindingsError : public std::runtime_error {
 public:
  explicit FindingsError(std::vector<Finding> findings);
  const std::vector<Finding>& findings() const { return findings_; }

 private:
  std::vector<Finding> findings_;
};

}  // namespace filbertshift

#endif  // SRC_COMMON_FINDING_H_
