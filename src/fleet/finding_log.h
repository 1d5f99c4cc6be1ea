// Logs the findings in rows of the store. The number and the size of the lines
// are limited, because another writer may put any number of rows there.

#ifndef SRC_FLEET_FINDING_LOG_H_
#define SRC_FLEET_FINDING_LOG_H_

#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

class FindingLog {
 public:
  explicit FindingLog(EventLog* log);

  void Write(const std::string& key,
             const std::vector<Finding>& findings,
             TimePoint now);
  // Logs the number of findings that were left out, once their interval is
  // over.
  void ReportOmitted(TimePoint now);

 private:
  EventLog* const log_;
  // Start of the interval in which the findings are counted.
  TimePoint interval_start_{};
  int written_ = 0;
  int omitted_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_FINDING_LOG_H_
