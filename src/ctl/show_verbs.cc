// The verbs show, status, instances, endpoints, rollouts and views, which read
// from instances.

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "src/ctl/invocation.h"
#include "src/ctl/running_system.h"
#include "src/ctl/table_printer.h"

namespace filbertshift {

namespace {

namespace po = boost::program_options;

void AddNoOptions(po::options_description&) {}

// Formats a member as a table cell, "-" if it is absent, null or empty.
std::string CellText(const nlohmann::json& object, const char* key) {
  auto value = object.find(key);
  if (value == object.end() || value->is_null()) {
    return "-";
  }
  if (value->is_string()) {
    return value->get<std::string>().empty() ? "-" : value->get<std::string>();
  }
  return value->dump();
}

ExitCode ReachabilityExitCode(const std::vector<InstanceReply>& replies) {
  bool all = std::all_of(
      replies.begin(), replies.end(),
      [](const InstanceReply& reply) { return reply.body.has_value(); });
  return all ? ExitCode::kOk : ExitCode::kNotReachable;
}

void PrintReplies(const Invocation& invocation,
                  const std::vector<InstanceReply>& replies) {
  nlohmann::json list = nlohmann::json::array();
  for (const InstanceReply& reply : replies) {
    nlohmann::json entry = {{"address", reply.address}};
    if (reply.body) {
      entry["reply"] = *reply.body;
    } else {
      entry["error"] = reply.detail;
    }
    list.push_back(entry);
  }
  invocation.environment.out << list.dump(2) << "\n";
}

// Prints to standard error, so that standard output can be edited and applied.
void PrintRevision(const Invocation& invocation,
                   Section section,
                   const SectionText& text) {
  invocation.environment.err << "section " << SectionName(section)
                             << " is at revision " << text.revision << "\n";
}

void PrintDocument(const Invocation& invocation, const SectionTexts& sections) {
  std::ostream& out = invocation.environment.out;
  out << "{";
  const char* separator = "\n";
  for (const auto& [section, text] : sections) {
    PrintRevision(invocation, section, text);
    if (text.text.empty()) {
      continue;
    }
    out << separator << '"' << SectionName(section) << '"' << ": " << text.text;
    separator = ",\n";
  }
  out << "}\n";
}

ExitCode RunShow(const Invocation& invocation) {
  std::optional<Section> only;
  if (invocation.Has("section")) {
    only = SectionArgument(invocation.Text("section"));
  }
  SectionTexts sections = RunningSystem(invocation).ReadSections();
  if (invocation.json) {
    nlohmann::json report = nlohmann::json::object();
    for (const auto& [section, text] : sections) {
      if (!only || section == *only) {
        report[std::string(SectionName(section))] = {
            {"revision", text.revision}, {"text", text.text}};
      }
    }
    invocation.environment.out << report.dump(2) << "\n";
  } else if (only) {
    PrintRevision(invocation, *only, sections.at(*only));
    invocation.environment.out << sections.at(*only).text;
  } else {
    PrintDocument(invocation, sections);
  }
  return ExitCode::kOk;
}

using Revisions = std::map<Section, std::uint64_t>;

Revisions NewestRevisions(const std::vector<InstanceReply>& replies) {
  Revisions newest;
  for (const InstanceReply& reply : replies) {
    for (Section section : ConfigurationSections()) {
      std::uint64_t revision =
          reply.body ? RevisionOf(*reply.body, section) : 0;
      newest[section] = std::max(newest[section], revision);
    }
  }
  return newest;
}

// Returns the row of one instance. Marks outdated revisions and sets `behind`
// if there are any.
TableCells StatusRow(const InstanceReply& reply,
                     const Revisions& newest,
                     bool* behind) {
  if (!reply.body) {
    return {reply.address, "not reachable: " + reply.detail};
  }
  TableCells row = {reply.address, CellText(*reply.body, "instance"),
                    CellText(*reply.body, "ready")};
  for (Section section : ConfigurationSections()) {
    std::uint64_t revision = RevisionOf(*reply.body, section);
    bool old = revision < newest.at(section);
    *behind = *behind || old;
    row.push_back(fmt::format("{}{}", revision, old ? " (behind)" : ""));
  }
  return row;
}

ExitCode RunStatus(const Invocation& invocation) {
  std::vector<InstanceReply> replies =
      RunningSystem(invocation).ReadAll("/v1/instance");
  Revisions newest = NewestRevisions(replies);
  bool behind = false;
  std::vector<TableCells> rows;
  for (const InstanceReply& reply : replies) {
    rows.push_back(StatusRow(reply, newest, &behind));
  }
  if (invocation.json) {
    PrintReplies(invocation, replies);
  } else {
    TableCells heading = {"address", "instance", "ready"};
    for (Section section : ConfigurationSections()) {
      heading.emplace_back(SectionName(section));
    }
    PrintTable(invocation.environment.out, heading, rows);
  }
  ExitCode reached = ReachabilityExitCode(replies);
  if (reached != ExitCode::kOk) {
    return reached;
  }
  return behind ? ExitCode::kFailure : ExitCode::kOk;
}

// Formats the number of peers that are up and of all peers, as in "3/3".
std::string PeersCell(const nlohmann::json& instance) {
  auto peers = instance.find("peers");
  if (peers == instance.end() || !peers->is_array()) {
    return "-";
  }
  auto up = std::count_if(peers->begin(), peers->end(), [](const auto& peer) {
    return peer.is_object() && peer.value("up", false);
  });
  return fmt::format("{}/{}", up, peers->size());
}

ExitCode RunInstances(const Invocation& invocation) {
  std::vector<InstanceReply> replies =
      RunningSystem(invocation).ReadAll("/v1/instance");
  if (invocation.json) {
    PrintReplies(invocation, replies);
    return ReachabilityExitCode(replies);
  }
  std::vector<TableCells> rows;
  for (const InstanceReply& reply : replies) {
    if (!reply.body) {
      rows.push_back({reply.address, "not reachable: " + reply.detail});
      continue;
    }
    rows.push_back({reply.address, CellText(*reply.body, "instance"),
                    CellText(*reply.body, "data_centre"),
                    CellText(*reply.body, "seat"),
                    CellText(*reply.body, "ready"), PeersCell(*reply.body)});
  }
  PrintTable(
      invocation.environment.out,
      {"address", "instance", "data_centre", "seat", "ready", "peers up"},
      rows);
  return ReachabilityExitCode(replies);
}

// Prints one row for each object in the member `key` of every reply, starting
// with the address of the instance.
void PrintObjects(const Invocation& invocation,
                  const std::vector<InstanceReply>& replies,
                  const char* key,
                  const std::vector<const char*>& columns) {
  std::vector<TableCells> rows;
  for (const InstanceReply& reply : replies) {
    if (!reply.body) {
      rows.push_back({reply.address, "not reachable: " + reply.detail});
      continue;
    }
    for (const nlohmann::json& object :
         reply.body->value(key, nlohmann::json::array())) {
      TableCells row = {reply.address};
      for (const char* column : columns) {
        row.push_back(object.is_object() ? CellText(object, column) : "-");
      }
      rows.push_back(std::move(row));
    }
  }
  TableCells heading = {"address"};
  heading.insert(heading.end(), columns.begin(), columns.end());
  PrintTable(invocation.environment.out, heading, rows);
}

ExitCode ShowObjects(const Invocation& invocation,
                     const std::string& target,
                     const char* key,
                     const std::vector<const char*>& columns) {
  std::vector<InstanceReply> replies =
      RunningSystem(invocation).ReadAll(target);
  if (invocation.json) {
    PrintReplies(invocation, replies);
  } else {
    PrintObjects(invocation, replies, key, columns);
  }
  return ReachabilityExitCode(replies);
}

ExitCode RunEndpoints(const Invocation& invocation) {
  return ShowObjects(
      invocation, "/v1/endpoints", "endpoints",
      {"endpoint", "data_centre", "model", "version", "service", "state",
       "share", "in_flight", "running", "waiting", "uptime_ms"});
}

ExitCode RunRollouts(const Invocation& invocation) {
  return ShowObjects(
      invocation, "/v1/rollouts", "rollouts",
      {"model", "service", "stable", "candidate", "exposure", "state"});
}

ExitCode RunViews(const Invocation& invocation) {
  std::vector<InstanceReply> replies =
      RunningSystem(invocation).ReadAll("/v1/instance");
  if (invocation.json) {
    PrintReplies(invocation, replies);
    return ReachabilityExitCode(replies);
  }
  const std::vector<const char*> columns = {
      "configuration",    "source",           "operator_age_ms",
      "endpoints_age_ms", "instances_age_ms", "in_progress"};
  std::vector<TableCells> rows;
  for (const InstanceReply& reply : replies) {
    if (!reply.body) {
      rows.push_back({reply.address, "not reachable: " + reply.detail});
      continue;
    }
    TableCells row = {reply.address, CellText(*reply.body, "instance")};
    nlohmann::json view = reply.body->value("view", nlohmann::json::object());
    for (const char* column : columns) {
      row.push_back(CellText(view, column));
    }
    rows.push_back(std::move(row));
  }
  TableCells heading = {"address", "instance"};
  heading.insert(heading.end(), columns.begin(), columns.end());
  PrintTable(invocation.environment.out, heading, rows);
  return ReachabilityExitCode(replies);
}

}  // namespace

std::vector<Verb> ShowVerbs() {
  return {
      {"show",
       {"[SECTION]"},
       "print the configuration in force",
       "The output can be edited and passed to apply. Revisions are printed to "
       "standard\nerror.",
       AddNoOptions,
       RunShow},
      {"status",
       {},
       "show the configuration revisions of each instance",
       "Exits with 5 if an instance is not reachable, and with 1 if one has an "
       "older\nrevision than the others.",
       AddNoOptions,
       RunStatus},
      {"instances",
       {},
       "show the entry instances",
       "",
       AddNoOptions,
       RunInstances},
      {"endpoints",
       {},
       "show the endpoint view of each instance",
       "",
       AddNoOptions,
       RunEndpoints},
      {"rollouts", {}, "show the rollouts", "", AddNoOptions, RunRollouts},
      {"views",
       {},
       "show source and age of the view of each filbertshift-gatewayd",
       "--instance takes peer_listen, the address for other instances.",
       AddNoOptions,
       RunViews},
  };
}

}  // namespace filbertshift
