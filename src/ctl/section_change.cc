#include "src/ctl/section_change.h"

#include <fmt/format.h>

#include "src/ctl/table_printer.h"

namespace filbertshift {

namespace {

namespace po = boost::program_options;

// An accepted change must be in force at every instance within this time.
constexpr const char* kDefaultWaitTimeout = "13s";

std::chrono::milliseconds WaitTimeout(const Invocation& invocation) {
  std::string text = invocation.Text("wait-timeout");
  std::optional<std::chrono::milliseconds> timeout = ParseDuration(text);
  if (!timeout) {
    throw UsageError("--wait-timeout is not a duration as in 13s");
  }
  return *timeout;
}

// Reports the values that differ between the stored and the rejected text.
void ReportConflict(const Invocation& invocation,
                    const SectionWrite& write,
                    const WriteResult& result) {
  std::vector<SectionChange> changes =
      DiffSections(result.current.text, write.text);
  if (invocation.json) {
    nlohmann::json report;
    report["conflict"] = {
        {"section", SectionName(write.section)},
        {"base_revision", write.base_revision},
        {"stored",
         {{"revision", result.current.revision},
          {"author", result.current_author},
          {"text", result.current.text}}},
        {"yours", {{"author", write.author}, {"text", write.text}}},
        {"differences", ChangesToJson(changes)}};
    invocation.environment.out << report.dump(2) << "\n";
    return;
  }
  std::ostream& out = invocation.environment.out;
  out << fmt::format(
      "conflict: section {} is at revision {}{}, your change is based on "
      "revision {}; nothing was stored\n\n",
      SectionName(write.section), result.current.revision,
      result.current_author.empty()
          ? ""
          : " by " + PrintableText(result.current_author),
      write.base_revision);
  std::vector<TableCells> rows;
  for (const SectionChange& change : changes) {
    rows.push_back({change.path.empty() ? "/" : change.path,
                    change.before.empty() ? "(absent)" : change.before,
                    change.after.empty() ? "(absent)" : change.after});
  }
  if (rows.empty()) {
    out << "Both texts have the same values.\n";
    return;
  }
  PrintTable(out, {"path", "stored", "yours"}, rows);
}

ExitCode ReportAccepted(const Invocation& invocation,
                        const RunningSystem& system,
                        const SectionWrite& write,
                        const WriteResult& result,
                        const std::vector<SectionChange>& changes) {
  std::vector<std::string> behind;
  const bool wait = invocation.Has("wait");
  if (wait) {
    behind = system.WaitForRevision(write.section, result.revision,
                                    WaitTimeout(invocation));
  }
  std::ostream& out = invocation.environment.out;
  if (invocation.json) {
    nlohmann::json report = {{"section", SectionName(write.section)},
                             {"revision", result.revision},
                             {"changes", ChangesToJson(changes)}};
    if (wait) {
      report["not_in_force_at"] = behind;
    }
    out << report.dump(2) << "\n";
  } else {
    PrintChanges(out, changes);
    out << fmt::format("section {} is stored as revision {}\n",
                       SectionName(write.section), result.revision);
    if (wait && behind.empty()) {
      out << "in force at every instance given\n";
    }
    for (const std::string& address : behind) {
      out << "not in force at " << address << "\n";
    }
  }
  return behind.empty() ? ExitCode::kOk : ExitCode::kTimedOut;
}

}  // namespace

void AddChangeOptions(po::options_description& options) {
  options.add_options()("author", po::value<std::string>(),
                        "author of the change, stored with the section")(
      "wait",
      "wait until the new revision is in force at every instance given")(
      "wait-timeout",
      po::value<std::string>()->default_value(kDefaultWaitTimeout),
      "maximum time to wait");
}

ExitCode ChangeSection(const Invocation& invocation,
                       const RunningSystem& system,
                       const SectionTexts& stored,
                       const SectionWrite& write) {
  // Rejects an invalid option before the section is stored.
  WaitTimeout(invocation);
  std::vector<Finding> findings =
      ValidateSection(write.section, write.text, stored);
  if (!findings.empty()) {
    throw FindingsError(std::move(findings));
  }
  std::vector<SectionChange> changes =
      DiffSections(stored.at(write.section).text, write.text);
  WriteResult result = system.Write(write);
  switch (result.status) {
    case WriteStatus::kAccepted:
      return ReportAccepted(invocation, system, write, result, changes);
    case WriteStatus::kConflict:
      ReportConflict(invocation, write, result);
      return ExitCode::kConflict;
    case WriteStatus::kInvalid:
      invocation.environment.err << "not stored: " << result.message << "\n";
      return ExitCode::kFindings;
    case WriteStatus::kRefused:
      throw std::runtime_error("not stored: " + result.message);
    case WriteStatus::kUnknown:
      throw std::runtime_error("unknown whether the section was stored: " +
                               result.message);
  }
  return ExitCode::kFailure;
}

std::vector<Finding> WithSource(const std::string& file,
                                Section section,
                                std::vector<Finding> findings) {
  for (Finding& finding : findings) {
    if (finding.source == SectionName(section)) {
      finding.source = file;
    }
  }
  return findings;
}

void ThrowIfFindings(const std::string& file,
                     Section section,
                     std::vector<Finding> findings) {
  if (!findings.empty()) {
    throw FindingsError(WithSource(file, section, std::move(findings)));
  }
}

void PrintChanges(std::ostream& out,
                  const std::vector<SectionChange>& changes) {
  for (const SectionChange& change : changes) {
    std::string path = change.path.empty() ? "/" : change.path;
    if (change.before.empty()) {
      out << "+ " << path << ": " << change.after << "\n";
    } else if (change.after.empty()) {
      out << "- " << path << ": " << change.before << "\n";
    } else {
      out << "~ " << path << ": " << change.before << " -> " << change.after
          << "\n";
    }
  }
}

nlohmann::json ChangesToJson(const std::vector<SectionChange>& changes) {
  nlohmann::json list = nlohmann::json::array();
  for (const SectionChange& change : changes) {
    list.push_back({{"path", change.path},
                    {"before", change.before},
                    {"after", change.after}});
  }
  return list;
}

}  // namespace filbertshift
