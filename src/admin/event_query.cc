#include "src/admin/event_query.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace filbertshift {

namespace {

bool Matches(const EventRecord& event,
             const std::string& time,
             const EventQuery& query,
             const std::string& since) {
  return (query.request.empty() || event.context.request == query.request) &&
         (query.endpoint.empty() || event.context.endpoint == query.endpoint) &&
         time >= since;
}

nlohmann::json EventJson(const EventRecord& event,
                         const std::string& time,
                         const InstanceId& instance,
                         const DataCentreId& data_centre) {
  const EventDefinition& definition = FindEventDefinition(event.event);
  return {{"time", time},
          {"number", static_cast<int>(event.event)},
          {"severity", SeverityName(definition.severity)},
          {"name", definition.name},
          {"instance", instance.value()},
          {"data_centre", data_centre.value()},
          {"request", event.context.request.value()},
          {"attempt", event.context.attempt.value()},
          {"endpoint", event.context.endpoint.value()},
          {"detail", event.detail}};
}

}  // namespace

std::string SelectEvents(const std::vector<EventRecord>& events,
                         const EventQuery& query,
                         const InstanceId& instance,
                         const DataCentreId& data_centre) {
  // All times have the same width, so lexicographic order is chronological and
  // a prefix sorts before every time that begins with it.
  std::string since = query.since;
  if (!since.empty() && since.back() == 'Z') {
    since.pop_back();
  }
  nlohmann::json selected = nlohmann::json::array();
  for (auto event = events.rbegin();
       event != events.rend() && selected.size() < query.limit; ++event) {
    std::string time = FormatWallTime(event->time);
    if (Matches(*event, time, query, since)) {
      selected.push_back(EventJson(*event, time, instance, data_centre));
    }
  }
  std::reverse(selected.begin(), selected.end());
  return selected.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

}  // namespace filbertshift
