// The verbs timeline, events and settings.

#include <fmt/format.h>

#include <sstream>

#include "src/config/config.h"
#include "src/ctl/invocation.h"
#include "src/ctl/running_system.h"
#include "src/ctl/table_printer.h"
#include "src/ctl/timeline.h"

namespace filbertshift {

namespace {

namespace po = boost::program_options;

// Maximum number of events that an instance returns in one reply.
constexpr const char* kEventLimit = "100000";

void AddTimelineOptions(po::options_description& options) {
  options.add_options()("request", po::value<std::string>(),
                        "only events of this request")(
      "endpoint", po::value<std::string>(), "only events of this endpoint")(
      "since", po::value<std::string>(),
      "start at this UTC time or this duration ago, as in 5m")(
      "log", po::value<std::vector<std::string>>()->composing(),
      "log file of a process; may be repeated");
}

std::string EventsTarget(const TimelineFilter& filter) {
  std::string target = fmt::format("/v1/events?limit={}", kEventLimit);
  if (!filter.request.empty()) {
    target += "&request=" + EncodeQueryValue(filter.request);
  }
  if (!filter.endpoint.empty()) {
    target += "&endpoint=" + EncodeQueryValue(filter.endpoint);
  }
  if (!filter.since.empty()) {
    target += "&since=" + EncodeQueryValue(filter.since);
  }
  return target;
}

// Appends the events of all instances. Returns false if one of them does not
// reply.
bool ReadInstanceEvents(const Invocation& invocation,
                        const TimelineFilter& filter,
                        std::vector<TimelineEvent>* events) {
  bool complete = true;
  for (const InstanceReply& reply :
       RunningSystem(invocation).ReadAll(EventsTarget(filter))) {
    if (!reply.body) {
      invocation.environment.err << "no events from " << reply.address << ": "
                                 << reply.detail << "\n";
      complete = false;
      continue;
    }
    for (TimelineEvent& event : ParseEventsReply(reply.body->dump())) {
      events->push_back(std::move(event));
    }
  }
  return complete;
}

void ReadLogFile(const Invocation& invocation,
                 const std::string& name,
                 std::vector<TimelineEvent>* events) {
  std::istringstream lines(ReadInputFile(name));
  int skipped = 0;
  for (std::string line; std::getline(lines, line);) {
    std::optional<TimelineEvent> event = ParseLogLine(line);
    if (event) {
      events->push_back(std::move(*event));
    } else {
      ++skipped;
    }
  }
  if (skipped > 0) {
    invocation.environment.err << name << ": " << skipped
                               << " lines are not events and were skipped\n";
  }
}

TimelineFilter ParseFilter(const Invocation& invocation) {
  TimelineFilter filter{invocation.Text("request"), invocation.Text("endpoint"),
                        ""};
  if (invocation.Has("since")) {
    try {
      filter.since = ParseSince(invocation.Text("since"),
                                invocation.environment.clock.WallNow());
    } catch (const std::invalid_argument& error) {
      throw UsageError(error.what());
    }
  }
  return filter;
}

nlohmann::json EventToJson(const TimelineEvent& event) {
  return {{"time", event.time},         {"number", event.number},
          {"severity", event.severity}, {"name", event.name},
          {"instance", event.instance}, {"data_centre", event.data_centre},
          {"request", event.request},   {"attempt", event.attempt},
          {"endpoint", event.endpoint}, {"detail", event.detail}};
}

void PrintTimeline(const Invocation& invocation,
                   const std::vector<TimelineEvent>& events) {
  if (invocation.json) {
    nlohmann::json list = nlohmann::json::array();
    for (const TimelineEvent& event : events) {
      list.push_back(EventToJson(event));
    }
    invocation.environment.out
        << list.dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
        << "\n";
    return;
  }
  std::vector<TableCells> rows;
  for (const TimelineEvent& event : events) {
    rows.push_back({event.time, fmt::format("FS{:04}", event.number),
                    event.severity, event.name, event.instance, event.request,
                    event.attempt, event.endpoint, event.detail});
  }
  PrintTable(invocation.environment.out,
             {"time", "event", "severity", "name", "instance", "request",
              "attempt", "endpoint", "detail"},
             rows);
}

ExitCode RunTimeline(const Invocation& invocation) {
  TimelineFilter filter = ParseFilter(invocation);
  std::vector<TimelineEvent> events;
  bool complete = true;
  if (!invocation.instances.empty() || !invocation.Has("log")) {
    complete = ReadInstanceEvents(invocation, filter, &events);
  }
  if (invocation.Has("log")) {
    for (const std::string& name :
         invocation.options["log"].as<std::vector<std::string>>()) {
      ReadLogFile(invocation, name, &events);
    }
  }
  PrintTimeline(invocation, MergeTimeline(std::move(events), filter));
  return complete ? ExitCode::kOk : ExitCode::kNotReachable;
}

void AddNoOptions(po::options_description&) {}

ExitCode RunEvents(const Invocation& invocation) {
  nlohmann::json list = nlohmann::json::array();
  std::vector<TableCells> rows;
  for (const EventDefinition& definition : EventDefinitions()) {
    int number = static_cast<int>(definition.id);
    list.push_back({{"number", number},
                    {"severity", SeverityName(definition.severity)},
                    {"name", definition.name},
                    {"description", definition.description}});
    rows.push_back({fmt::format("FS{:04}", number),
                    std::string(SeverityName(definition.severity)),
                    std::string(definition.name),
                    std::string(definition.description)});
  }
  if (invocation.json) {
    invocation.environment.out << list.dump(2) << "\n";
  } else {
    PrintTable(invocation.environment.out,
               {"event", "severity", "name", "meaning"}, rows);
  }
  return ExitCode::kOk;
}

void AddSettingsOptions(po::options_description& options) {
  options.add_options()(
      "document", "print the fields of the configuration document instead");
}

// Returns the fields with their full paths in the document or settings file.
std::vector<FieldDescription> DescribedFields(const Invocation& invocation) {
  if (!invocation.Has("document")) {
    return DescribeProcessSettings();
  }
  std::vector<FieldDescription> fields;
  for (DocumentFieldDescription& field : DescribeDocumentFields()) {
    std::string section(SectionName(field.section));
    bool is_list = field.field.name.compare(0, 2, "[]") == 0;
    field.field.name.insert(0, section + (is_list ? "" : "."));
    fields.push_back(std::move(field.field));
  }
  return fields;
}

ExitCode RunSettings(const Invocation& invocation) {
  nlohmann::json list = nlohmann::json::array();
  std::vector<TableCells> rows;
  for (const FieldDescription& field : DescribedFields(invocation)) {
    list.push_back({{"name", field.name},
                    {"type", field.type},
                    {"unit", field.unit},
                    {"default", field.default_value},
                    {"range", field.range},
                    {"meaning", field.meaning}});
    rows.push_back({field.name, field.type, field.unit, field.default_value,
                    field.range, field.meaning});
  }
  if (invocation.json) {
    invocation.environment.out << list.dump(2) << "\n";
  } else {
    PrintTable(invocation.environment.out,
               {"name", "type", "unit", "default", "range", "meaning"}, rows);
  }
  return ExitCode::kOk;
}

}  // namespace

std::vector<Verb> CatalogueVerbs() {
  return {
      {"timeline",
       {},
       "show events of all processes in order of time",
       "Merges events from the memory of instances and from log files. If an "
       "instance\ndoes not reply, prints the other events and exits with 5.",
       AddTimelineOptions,
       RunTimeline},
      {"events",
       {},
       "print the catalogue of events",
       "",
       AddNoOptions,
       RunEvents},
      {"settings",
       {},
       "print the table of process settings",
       "",
       AddSettingsOptions,
       RunSettings},
  };
}

}  // namespace filbertshift
