// Findings: faults in an input, collected with their place and reported
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
  // JSON pointer of the faulty value; empty for the whole input.
  std::string path;
  // Both count from 1; 0 if unknown.
  int line = 0;
  int column = 0;
  std::string message;
};

// "source:line:column: path: message", without the unknown parts.
std::string FormatFinding(const Finding& finding);

// Thrown when an input cannot be used; carries every finding.
class FindingsError : public std::runtime_error {
 public:
  explicit FindingsError(std::vector<Finding> findings);
  const std::vector<Finding>& findings() const { return findings_; }

 private:
  std::vector<Finding> findings_;
};

}  // namespace filbertshift

#endif  // SRC_COMMON_FINDING_H_
