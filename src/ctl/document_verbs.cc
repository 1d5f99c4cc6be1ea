// validate and diff: work on files, without a running system.

#include <fmt/format.h>

#include "src/ctl/invocation.h"
#include "src/ctl/section_change.h"

namespace filbertshift {

namespace {

namespace po = boost::program_options;

std::vector<Finding> FindingsOfSettings(const std::string& name,
                                        const std::string& text) {
  try {
    ParseProcessSettings(name, text, {});
    return {};
  } catch (const FindingsError& error) {
    return error.findings();
  }
}

std::vector<Finding> FindingsOfSection(const Invocation& invocation,
                                       const std::string& name,
                                       const std::string& text) {
  Section section = SectionArgument(invocation.Text("section"));
  SectionTexts others;
  if (invocation.Has("context")) {
    std::string context = invocation.Text("context");
    for (auto& [other, other_text] :
         SplitDocument(context, ReadInputFile(context))) {
      others[other] = {0, std::move(other_text)};
    }
  } else if (!invocation.instances.empty()) {
    others = RunningSystem(invocation).ReadSections();
  } else {
    throw UsageError(
        "a single section is checked against the others: give --context FILE "
        "with a whole document, or --instance");
  }
  return WithSource(name, section, ValidateSection(section, text, others));
}

void AddValidateOptions(po::options_description& options) {
  options.add_options()("section", po::value<std::string>(),
                        "FILE is the text of this one section")(
      "context", po::value<std::string>(),
      "whole document with the other sections, for --section")(
      "settings", "FILE has the settings of a process");
}

ExitCode RunValidate(const Invocation& invocation) {
  const std::string name = invocation.Text("file");
  const std::string text = ReadInputFile(name);
  std::vector<Finding> findings;
  if (invocation.Has("settings")) {
    findings = FindingsOfSettings(name, text);
  } else if (invocation.Has("section")) {
    findings = FindingsOfSection(invocation, name, text);
  } else {
    findings = ValidateDocument(name, text);
  }
  if (!findings.empty()) {
    throw FindingsError(std::move(findings));
  }
  invocation.environment.out
      << (invocation.json ? "{\"findings\":[]}" : name + ": no findings")
      << "\n";
  return ExitCode::kOk;
}

void AddDiffOptions(po::options_description& options) {
  options.add_options()("against", po::value<std::string>(),
                        "compare with this document instead of the running "
                        "configuration");
}

SectionTexts DiffBase(const Invocation& invocation) {
  if (!invocation.Has("against")) {
    return RunningSystem(invocation).ReadSections();
  }
  SectionTexts sections;
  std::string name = invocation.Text("against");
  for (auto& [section, text] : SplitDocument(name, ReadInputFile(name))) {
    sections[section] = {0, std::move(text)};
  }
  return sections;
}

ExitCode RunDiff(const Invocation& invocation) {
  const std::string name = invocation.Text("file");
  auto texts = SplitDocument(name, ReadInputFile(name));
  SectionTexts base = DiffBase(invocation);
  nlohmann::json report = nlohmann::json::object();
  for (const auto& [section, text] : texts) {
    std::vector<SectionChange> changes = DiffSections(base[section].text, text);
    report[std::string(SectionName(section))] = ChangesToJson(changes);
    if (!invocation.json && !changes.empty()) {
      invocation.environment.out << SectionName(section) << ":\n";
      PrintChanges(invocation.environment.out, changes);
    }
  }
  if (invocation.json) {
    invocation.environment.out << report.dump(2) << "\n";
  }
  return ExitCode::kOk;
}

}  // namespace

std::vector<Verb> DocumentVerbs() {
  return {
      {"validate",
       {"FILE"},
       "check a configuration document or settings",
       "Prints every finding as file:line:column: path: message and exits with "
       "3\nif there is any.",
       AddValidateOptions,
       RunValidate},
      {"diff",
       {"FILE"},
       "show what a document would change",
       "Compares by value; comments do not count. Sections that FILE does not "
       "have\nare left out.",
       AddDiffOptions,
       RunDiff},
  };
}

}  // namespace filbertshift
