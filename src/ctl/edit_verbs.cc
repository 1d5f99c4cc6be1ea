// The verbs rollout, drain and restore, which edit values of a section and
// apply it. They edit the stored text, so that its comments are preserved.

#include <fmt/format.h>

#include "src/ctl/invocation.h"
#include "src/ctl/section_change.h"

namespace filbertshift {

namespace {

namespace po = boost::program_options;

std::string Quote(const std::string& text) {
  return nlohmann::json(text).dump();
}

// Applies the edited text of a section, or reports that nothing changes.
ExitCode ApplyEdit(const Invocation& invocation,
                   const RunningSystem& system,
                   const SectionTexts& stored,
                   Section section,
                   const std::string& text) {
  const SectionText& before = stored.at(section);
  if (DiffSections(before.text, text).empty()) {
    invocation.environment.out
        << (invocation.json ? "{\"changes\":[]}" : "nothing to change") << "\n";
    return ExitCode::kOk;
  }
  SectionWrite write{section, before.revision, text,
                     invocation.RequiredText("author")};
  return ChangeSection(invocation, system, stored, write);
}

ExitCode SetDrained(const Invocation& invocation, bool drained) {
  invocation.RequiredText("author");
  RunningSystem system(invocation);
  SectionTexts stored = system.ReadSections();
  SectionEditor editor(stored.at(Section::kDataCentres).text);
  const std::string name = invocation.Text("dc");
  const std::string pointer = editor.FindElement("", "data_centre", name);
  if (pointer.empty()) {
    throw UsageError("no data centre \"" + name + "\" in the configuration");
  }
  editor.SetMember(pointer, "drained", drained ? "true" : "false");
  return ApplyEdit(invocation, system, stored, Section::kDataCentres,
                   editor.text());
}

ExitCode RunDrain(const Invocation& invocation) {
  return SetDrained(invocation, true);
}

ExitCode RunRestore(const Invocation& invocation) {
  return SetDrained(invocation, false);
}

// Returns the JSON pointer of a model's rollout. Throws UsageError if there is
// none.
std::string RequireRollout(const SectionEditor& editor,
                           const std::string& model) {
  std::string pointer = editor.FindElement("", "model", model);
  if (pointer.empty()) {
    throw UsageError("model \"" + model + "\" has no rollout");
  }
  return pointer;
}

void AddStartOptions(po::options_description& options) {
  options.add_options()("candidate", po::value<std::string>(),
                        "version to roll out")(
      "stable", po::value<std::string>(),
      "version to compare the candidate with")(
      "exposure", po::value<double>(),
      "share of new sessions that the candidate receives, from 0 to 1");
  AddChangeOptions(options);
}

std::string NewRollout(const Invocation& invocation) {
  if (!invocation.Has("exposure")) {
    throw UsageError("option --exposure is required for a new rollout");
  }
  return fmt::format(
      "{{\"model\": {}, \"stable\": {}, \"candidate\": {}, \"exposure\": {}, "
      "\"state\": \"running\"}}",
      Quote(invocation.Text("model")), Quote(invocation.RequiredText("stable")),
      Quote(invocation.RequiredText("candidate")),
      invocation.options["exposure"].as<double>());
}

// Updates the fields of an existing rollout that are set in the command, and
// sets its state to running.
void RestartRollout(const Invocation& invocation,
                    const std::string& pointer,
                    SectionEditor* editor) {
  for (const char* name : {"candidate", "stable"}) {
    if (invocation.Has(name)) {
      editor->SetMember(pointer, name, Quote(invocation.Text(name)));
    }
  }
  if (invocation.Has("exposure")) {
    editor->SetMember(
        pointer, "exposure",
        fmt::format("{}", invocation.options["exposure"].as<double>()));
  }
  editor->SetMember(pointer, "state", Quote("running"));
}

ExitCode RunStart(const Invocation& invocation) {
  invocation.RequiredText("author");
  RunningSystem system(invocation);
  SectionTexts stored = system.ReadSections();
  std::string text = stored.at(Section::kRollouts).text;
  SectionEditor editor(DiffSections(text, "").empty() ? std::string("[]\n")
                                                      : text);
  std::string pointer =
      editor.FindElement("", "model", invocation.Text("model"));
  if (pointer.empty()) {
    editor.AppendElement("", NewRollout(invocation));
  } else {
    RestartRollout(invocation, pointer, &editor);
  }
  return ApplyEdit(invocation, system, stored, Section::kRollouts,
                   editor.text());
}

ExitCode RunPause(const Invocation& invocation) {
  invocation.RequiredText("author");
  RunningSystem system(invocation);
  SectionTexts stored = system.ReadSections();
  SectionEditor editor(stored.at(Section::kRollouts).text);
  std::string pointer = RequireRollout(editor, invocation.Text("model"));
  editor.SetMember(pointer, "state", Quote("paused"));
  return ApplyEdit(invocation, system, stored, Section::kRollouts,
                   editor.text());
}

// Marks the candidate as withdrawn in the section models. Its sessions move to
// the stable version, whose own successor must then not be the candidate.
std::string WithdrawVersion(const std::string& models,
                            const std::string& model,
                            const std::string& candidate,
                            const std::string& stable) {
  SectionEditor editor(models);
  std::string list =
      editor.FindElement("/models", "model", model) + "/versions";
  std::string pointer = editor.FindElement(list, "version", candidate);
  if (pointer.empty()) {
    throw UsageError(
        fmt::format("model \"{}\" has no version \"{}\"", model, candidate));
  }
  editor.SetMember(pointer, "withdrawn", "true");
  editor.SetMember(pointer, "successor", Quote(stable));
  std::string stable_pointer = editor.FindElement(list, "version", stable);
  if (!stable_pointer.empty() &&
      editor.StringMember(stable_pointer, "successor") == candidate) {
    editor.SetMember(stable_pointer, "successor", Quote(""));
  }
  return editor.text();
}

// Writes the section models before rollouts, because a withdrawn version
// receives no new work regardless of its rollout.
ExitCode RunWithdraw(const Invocation& invocation) {
  invocation.RequiredText("author");
  RunningSystem system(invocation);
  SectionTexts stored = system.ReadSections();
  const std::string model = invocation.Text("model");
  SectionEditor rollouts(stored.at(Section::kRollouts).text);
  std::string pointer = RequireRollout(rollouts, model);
  std::string models =
      WithdrawVersion(stored.at(Section::kModels).text, model,
                      rollouts.StringMember(pointer, "candidate"),
                      rollouts.StringMember(pointer, "stable"));
  ExitCode code =
      ApplyEdit(invocation, system, stored, Section::kModels, models);
  if (code != ExitCode::kOk && code != ExitCode::kTimedOut) {
    return code;
  }
  stored[Section::kModels].text = models;
  rollouts.SetMember(pointer, "state", Quote("stopped"));
  rollouts.SetMember(pointer, "exposure", "0");
  ExitCode second = ApplyEdit(invocation, system, stored, Section::kRollouts,
                              rollouts.text());
  if (second != ExitCode::kOk && second != ExitCode::kTimedOut) {
    invocation.environment.err
        << "the candidate was withdrawn, but its rollout was not stopped\n";
  }
  return second == ExitCode::kOk ? code : second;
}

}  // namespace

std::vector<Verb> EditVerbs() {
  const std::string comments_note = "Comments of the section are preserved.";
  return {
      {"rollout start",
       {"MODEL"},
       "start or resume a rollout",
       "For a new rollout, --candidate, --stable and --exposure are "
       "required. " +
           comments_note,
       AddStartOptions,
       RunStart},
      {"rollout pause",
       {"MODEL"},
       "pause a rollout without changing its exposure",
       comments_note,
       AddChangeOptions,
       RunPause},
      {"rollout withdraw",
       {"MODEL"},
       "withdraw the candidate and stop its rollout",
       "Writes the section models, then rollouts. Sessions move to the stable "
       "version.\n" +
           comments_note,
       AddChangeOptions,
       RunWithdraw},
      {"drain",
       {"DC"},
       "drain a data centre, so that it receives no new work",
       comments_note,
       AddChangeOptions,
       RunDrain},
      {"restore",
       {"DC"},
       "end the drain of a data centre",
       comments_note,
       AddChangeOptions,
       RunRestore},
  };
}

}  // namespace filbertshift
