#include "src/common/finding.h"

#include <fmt/format.h>

#include <utility>

namespace filbertshift {

namespace {

std::string JoinFindings(const std::vector<Finding>& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    if (!text.empty()) {
      text += '\n';
    }
    text += FormatFinding(finding);
  }
  return text;
}

}  // namespace

std::string FormatFinding(const Finding& finding) {
  std::string location = finding.source;
  if (finding.line > 0) {
    location += fmt::format(":{}:{}", finding.line, finding.column);
  }
  if (!finding.path.empty()) {
    location += fmt::format("{}{}", location.empty() ? "" : ": ", finding.path);
  }
  if (location.empty()) {
    return finding.message;
  }
  return fmt::format("{}: {}", location, finding.message);
}

FindingsError::FindingsError(std::vector<Finding> findings)
    : std::runtime_error(JoinFindings(findings)),
      findings_(std::move(findings)) {}

}  // namespace filbertshift
