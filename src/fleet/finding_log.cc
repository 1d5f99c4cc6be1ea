#include "src/fleet/finding_log.h"

#include <fmt/format.h>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{10000};
constexpr int kMaxFindings = 100;
constexpr std::size_t kMaxLineBytes = 300;

}  // namespace

FindingLog::FindingLog(EventLog* log) : log_(log) {}

void FindingLog::Write(const std::string& key,
                       const std::vector<Finding>& findings,
                       TimePoint now) {
  for (const Finding& finding : findings) {
    ReportOmitted(now);
    if (written_ == 0) {
      interval_start_ = now;
    }
    if (written_ < kMaxFindings) {
      ++written_;
      std::string line = fmt::format("{}: {}", key, FormatFinding(finding));
      log_->Write(EventId::kStoreRowRejected, line.substr(0, kMaxLineBytes));
    } else {
      ++omitted_;
    }
  }
}

void FindingLog::ReportOmitted(TimePoint now) {
  if (now - interval_start_ < kInterval) {
    return;
  }
  if (omitted_ > 0) {
    log_->Write(EventId::kStoreFindingsOmitted,
                fmt::format("findings={}", omitted_));
  }
  written_ = 0;
  omitted_ = 0;
}

}  // namespace filbertshift
