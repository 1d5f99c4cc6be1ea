// Parses, filters and merges the events of several processes in order of time.

#ifndef SRC_CTL_TIMELINE_H_
#define SRC_CTL_TIMELINE_H_

#include <istream>
#include <optional>
#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

// An event from a log file or from the operator interface.
struct TimelineEvent {
  // UTC, in the format of FormatWallTime.
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

// Returns std::nullopt for a line that is not an event.
std::optional<TimelineEvent> ParseLogLine(const std::string& line);

// Parses a reply of /v1/events. Throws std::runtime_error if it is malformed.
std::vector<TimelineEvent> ParseEventsReply(const std::string& body);

// Converts a duration before `now`, as in "5m", or a UTC time to the format of
// TimelineFilter::since. Throws std::invalid_argument for any other text.
std::string ParseSince(const std::string& text, WallTime now);

// Filters the events, sorts them by time and removes duplicates, which occur
// because a log file and the memory of an instance contain the same events.
std::vector<TimelineEvent> MergeTimeline(std::vector<TimelineEvent> events,
                                         const TimelineFilter& filter);

}  // namespace filbertshift

#endif  // SRC_CTL_TIMELINE_H_
