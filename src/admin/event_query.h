// Filters the recent events that the operator interface returns.

#ifndef SRC_ADMIN_EVENT_QUERY_H_
#define SRC_ADMIN_EVENT_QUERY_H_

#include <cstddef>
#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

struct EventQuery {
  // Empty ids match every event.
  RequestId request;
  EndpointId endpoint;
  // UTC time or a prefix of one, as accepted by IsUtcTimePrefix; empty for no
  // lower bound.
  std::string since;
  // If more events match, the most recent ones are returned.
  std::size_t limit = 0;
};

// Returns the matching events as a JSON array, oldest first.
std::string SelectEvents(const std::vector<EventRecord>& events,
                         const EventQuery& query,
                         const InstanceId& instance,
                         const DataCentreId& data_centre);

}  // namespace filbertshift

#endif  // SRC_ADMIN_EVENT_QUERY_H_
