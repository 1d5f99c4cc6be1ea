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
  // Accepted by IsUtcTimePrefix, or empty.
  std::string since;
  // The most recent ones are kept.
  std::size_t limit = 0;
};

// JSON array of the selected events, oldest first.
std::string SelectEvents(const std::vector<EventRecord>& events,
                         const EventQuery& query,
                         const InstanceId& instance,
                         const DataCentreId& data_centre);

}  // namespace filbertshift

#endif  // SRC_ADMIN_EVENT_QUERY_H_
