// The verbs validate and diff, which can work on files alone, without a running
// system.

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
        "a section is validated together with the others: --context FILE with "
        "a "
        "whole document, or --instance, is required");
  }
  return WithSource(name, section, ValidateSection(section, text, others));
}

void AddValidateOptions(po::options_description& options) {
  options.add_options()("section", po::value<std::string>(),
                        "FILE is the text of this section only")(
      "context", po::value<std::string>(),
      "with --section: document that contains the other sections")(
      "settings", "FILE is the settings file of a process");
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
       "validate a configuration document or settings",
       "Prints each finding as file:line:column: path: message. Exits with 3 "
       "if "
       "there\nare findings.",
       AddValidateOptions,
       RunValidate},
      {"diff",
       {"FILE"},
       "show what a document would change",
       "Compares by value and ignores comments. Sections that are not in FILE "
       "are\nskipped.",
       AddDiffOptions,
       RunDiff},
  };
}

}  // namespace filbertshift
