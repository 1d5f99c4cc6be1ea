#include "src/ctl/timeline.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <tuple>
#include <utility>

#include "src/config/config.h"

namespace filbertshift {

namespace {

// Reverses the escaping of details in log lines.
std::string UnquoteDetail(const std::string& quoted) {
  std::string plain;
  for (std::size_t i = 0; i < quoted.size(); ++i) {
    if (quoted[i] != '\\' || i + 1 == quoted.size()) {
      plain += quoted[i];
    } else if (quoted[i + 1] == 'x' && i + 3 < quoted.size()) {
      int byte = 0;
      std::from_chars(quoted.data() + i + 2, quoted.data() + i + 4, byte, 16);
      plain += static_cast<char>(byte);
      i += 3;
    } else {
      plain += quoted[++i];
    }
  }
  return plain;
}

std::string* FieldByName(TimelineEvent& event, const std::string& name) {
  struct NamedField {
    const char* name;
    std::string TimelineEvent::*field;
  };
  static constexpr NamedField kFields[] = {
      {"instance", &TimelineEvent::instance},
      {"data_centre", &TimelineEvent::data_centre},
      {"request", &TimelineEvent::request},
      {"attempt", &TimelineEvent::attempt},
      {"endpoint", &TimelineEvent::endpoint},
  };
  for (const NamedField& field : kFields) {
    if (name == field.name) {
      return &(event.*field.field);
    }
  }
  return nullptr;
}

// Length of "2026-12-04T08:00:00.123456Z".
constexpr std::size_t kEventTimeLength = 27;

bool IsEventTime(const std::string& text) {
  return text.size() == kEventTimeLength && text.back() == 'Z' &&
         IsUtcTimePrefix(text);
}

auto SortKey(const TimelineEvent& event) {
  return std::tie(event.time, event.instance, event.number, event.request,
                  event.attempt, event.endpoint, event.detail);
}

bool Matches(const TimelineFilter& filter, const TimelineEvent& event) {
  return (filter.request.empty() || filter.request == event.request) &&
         (filter.endpoint.empty() || filter.endpoint == event.endpoint) &&
         event.time >= filter.since;
}

TimelineEvent EventFromJson(const nlohmann::json& json) {
  TimelineEvent event;
  event.time = json.at("time").get<std::string>();
  event.number = json.at("number").get<int>();
  event.severity = json.at("severity").get<std::string>();
  event.name = json.at("name").get<std::string>();
  event.instance = json.at("instance").get<std::string>();
  event.data_centre = json.at("data_centre").get<std::string>();
  event.request = json.at("request").get<std::string>();
  event.attempt = json.at("attempt").get<std::string>();
  event.endpoint = json.at("endpoint").get<std::string>();
  event.detail = json.at("detail").get<std::string>();
  return event;
}

}  // namespace

std::optional<TimelineEvent> ParseLogLine(const std::string& line) {
  constexpr std::string_view kDetailStart = " detail=\"";
  std::size_t detail = line.find(kDetailStart);
  if (detail == std::string::npos || line.back() != '"' ||
      line.size() <= detail + kDetailStart.size()) {
    return std::nullopt;
  }
  TimelineEvent event;
  std::istringstream words(line.substr(0, detail));
  std::string number;
  words >> event.time >> number >> event.severity >> event.name;
  if (!IsEventTime(event.time) || number.compare(0, 2, "FS") != 0) {
    return std::nullopt;
  }
  std::from_chars(number.data() + 2, number.data() + number.size(),
                  event.number);
  for (std::string word; words >> word;) {
    std::size_t equals = word.find('=');
    std::string* field = FieldByName(event, word.substr(0, equals));
    if (equals == std::string::npos || field == nullptr) {
      return std::nullopt;
    }
    *field = word.substr(equals + 1);
  }
  std::size_t start = detail + kDetailStart.size();
  event.detail = UnquoteDetail(line.substr(start, line.size() - start - 1));
  return event;
}

std::vector<TimelineEvent> ParseEventsReply(const std::string& body) {
  try {
    std::vector<TimelineEvent> events;
    const nlohmann::json reply = nlohmann::json::parse(body);
    for (const nlohmann::json& json : reply.at("events")) {
      events.push_back(EventFromJson(json));
    }
    return events;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(std::string("malformed events reply: ") +
                             error.what());
  }
}

std::string ParseSince(const std::string& text, WallTime now) {
  if (std::optional<std::chrono::milliseconds> ago = ParseDuration(text)) {
    return FormatWallTime(now - *ago);
  }
  if (!IsUtcTimePrefix(text)) {
    throw std::invalid_argument(
        "\"" + text +
        "\" is neither a duration as in 5m nor a UTC time as in "
        "2026-12-04T08:00:00Z");
  }
  return text.back() == 'Z' ? text.substr(0, text.size() - 1) : text;
}

std::vector<TimelineEvent> MergeTimeline(std::vector<TimelineEvent> events,
                                         const TimelineFilter& filter) {
  events.erase(std::remove_if(events.begin(), events.end(),
                              [&](const TimelineEvent& event) {
                                return !Matches(filter, event);
                              }),
               events.end());
  std::sort(events.begin(), events.end(),
            [](const TimelineEvent& a, const TimelineEvent& b) {
              return SortKey(a) < SortKey(b);
            });
  events.erase(std::unique(events.begin(), events.end(),
                           [](const TimelineEvent& a, const TimelineEvent& b) {
                             return SortKey(a) == SortKey(b);
                           }),
               events.end());
  return events;
}

}  // namespace filbertshift
