// Events of several processes in the order of their time.

#ifndef SRC_CTL_TIMELINE_H_
#define SRC_CTL_TIMELINE_H_

#include <istream>
#include <optional>
#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

// One event as it stands in a log or in the operator interface.
struct TimelineEvent {
  // UTC, as FormatWallTime writes it.
  std::string time;
  int number = 0;
  std::string severity;
  std::string name;
  std::string instance;
  std::string data_centre;
  std::string request;
  std::string attempt;
  std::string endpoint;
  std::string detail;
};

struct TimelineFilter {
  // Empty fields select everything.
  std::string request;
  std::string endpoint;
  // UTC time or a leading part of it, without "Z".
  std::string since;
};

// Returns nothing for a line that is not an event.
std::optional<TimelineEvent> ParseLogLine(const std::string& line);

// Reads the events of the reply of /v1/events. Throws std::runtime_error for
// text of another form.
std::vector<TimelineEvent> ParseEventsReply(const std::string& body);

// The time that "5m" before `now`, or an explicit UTC time, stands for. Throws
// std::invalid_argument for other text.
std::string ParseSince(const std::string& text, WallTime now);

// Drops what the filter does not select and what is there twice, because a log
// and the memory of an instance have the same events, and sorts by time.
std::vector<TimelineEvent> MergeTimeline(std::vector<TimelineEvent> events,
                                         const TimelineFilter& filter);

}  // namespace filbertshift

#endif  // SRC_CTL_TIMELINE_H_
