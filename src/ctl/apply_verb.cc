// The verb apply, which writes one section of a file.

#include <fmt/format.h>

#include "src/ctl/invocation.h"
#include "src/ctl/section_change.h"

namespace filbertshift {

namespace {

namespace po = boost::program_options;

// True for a document with section names as keys, false for the text of one
// section. The key "models" is an object in a document, but an array in the
// text of the section "models".
bool IsWholeDocument(const std::string& name, const std::string& text) {
  std::vector<Finding> syntax = SyntaxFindings(name, text);
  if (!syntax.empty()) {
    throw FindingsError(std::move(syntax));
  }
  nlohmann::json root =
      nlohmann::json::parse(text, nullptr, false, /*ignore_comments=*/true);
  if (!root.is_object() || root.empty()) {
    return false;
  }
  for (const auto& [key, value] : root.items()) {
    bool is_section = false;
    for (Section section : ConfigurationSections()) {
      is_section = is_section || SectionName(section) == key;
    }
    if (!is_section || (key == "models" && !value.is_object())) {
      return false;
    }
  }
  return true;
}

struct SectionInput {
  // The text to store.
  std::string text;
  // The text padded to its position in the file, for the positions of findings.
  std::string padded_text;
};

SectionInput ReadSectionInput(Section section, const std::string& name) {
  std::string text = ReadInputFile(name);
  if (!IsWholeDocument(name, text)) {
    return {text, text};
  }
  auto texts = SplitDocument(name, text);
  if (texts.count(section) == 0) {
    throw UsageError(
        fmt::format("{} has no section {}", name, SectionName(section)));
  }
  return {texts[section], SplitDocumentPadded(name, text)[section]};
}

void AddApplyOptions(po::options_description& options) {
  options.add_options()("section", po::value<std::string>(),
                        "section to write")(
      "base-revision", po::value<std::uint64_t>(),
      "revision that the change is based on; the one in force by default");
  AddChangeOptions(options);
}

ExitCode RunApply(const Invocation& invocation) {
  SectionWrite write;
  write.section = SectionArgument(invocation.RequiredText("section"));
  write.author = invocation.RequiredText("author");
  const std::string file = invocation.Text("file");
  const SectionInput input = ReadSectionInput(write.section, file);
  write.text = input.text;
  RunningSystem system(invocation);
  SectionTexts stored = system.ReadSections();
  ThrowIfFindings(file, write.section,
                  ValidateSection(write.section, input.padded_text, stored));
  write.base_revision =
      invocation.Has("base-revision")
          ? invocation.options["base-revision"].as<std::uint64_t>()
          : stored.at(write.section).revision;
  return ChangeSection(invocation, system, stored, write);
}

}  // namespace

std::vector<Verb> ApplyVerbs() {
  return {
      {"apply",
       {"FILE"},
       "write one section",
       "FILE is a whole document or the text of the section. It is validated "
       "first. If\nthe section was changed since the base revision, "
       "reports a conflict with both\nversions and exits with 4.",
       AddApplyOptions,
       RunApply}};
}

}  // namespace filbertshift
