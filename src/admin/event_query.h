// Selects kept events for the operator interface.

#ifndef SRC_ADMIN_EVENT_QUERY_H_
#define SRC_ADMIN_EVENT_QUERY_H_

#include <cstddef>
#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

struct EventQuery {
  // Empty fields select everything.
  RequestId request;
  EndpointId endpoint;
  // UTC time as in the log lines, or a leading part of it from the date on.
  std::string since;
  // The most recent ones are kept.
  std::size_t limit = 0;
};

// True for a time that EventQuery::since accepts.
bool IsTimePrefix(const std::string& text);

// JSON array of the selected events, oldest first.
std::string SelectEvents(const std::vector<EventRecord>& events,
                         const EventQuery& query,
                         const InstanceId& instance,
                         const DataCentreId& data_centre);

}  // namespace filbertshift

#endif  // SRC_ADMIN_EVENT_QUERY_H_
