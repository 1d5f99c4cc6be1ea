// rollout, drain and restore: edit one value of a section and apply it. The
// edit is made in the stored text, so that comments stay.

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
  const std::string place = editor.FindElement("", "data_centre", name);
  if (place.empty()) {
    throw UsageError("no data centre \"" + name + "\" in the configuration");
  }
  editor.SetMember(place, "drained", drained ? "true" : "false");
  return ApplyEdit(invocation, system, stored, Section::kDataCentres,
                   editor.text());
}

ExitCode RunDrain(const Invocation& invocation) {
  return SetDrained(invocation, true);
}

ExitCode RunRestore(const Invocation& invocation) {
  return SetDrained(invocation, false);
}

// The place of a model's rollout. Throws UsageError if it has none.
std::string RequireRollout(const SectionEditor& editor,
                           const std::string& model) {
  std::string place = editor.FindElement("", "model", model);
  if (place.empty()) {
    throw UsageError("model \"" + model + "\" has no rollout");
  }
  return place;
}

void AddStartOptions(po::options_description& options) {
  options.add_options()("candidate", po::value<std::string>(),
                        "version to roll out")(
      "stable", po::value<std::string>(), "version to compare with")(
      "exposure", po::value<double>(),
      "share of new sessions for the candidate, from 0 to 1");
  AddChangeOptions(options);
}

std::string NewRollout(const Invocation& invocation) {
  if (!invocation.Has("exposure")) {
    throw UsageError("a new rollout needs --exposure");
  }
  return fmt::format(
      "{{\"model\": {}, \"stable\": {}, \"candidate\": {}, \"exposure\": {}, "
      "\"state\": \"running\"}}",
      Quote(invocation.Text("model")), Quote(invocation.RequiredText("stable")),
      Quote(invocation.RequiredText("candidate")),
      invocation.options["exposure"].as<double>());
}

// Changes what is given of an existing rollout and sets it running.
void RestartRollout(const Invocation& invocation,
                    const std::string& place,
                    SectionEditor* editor) {
  for (const char* name : {"candidate", "stable"}) {
    if (invocation.Has(name)) {
      editor->SetMember(place, name, Quote(invocation.Text(name)));
    }
  }
  if (invocation.Has("exposure")) {
    editor->SetMember(
        place, "exposure",
        fmt::format("{}", invocation.options["exposure"].as<double>()));
  }
  editor->SetMember(place, "state", Quote("running"));
}

ExitCode RunStart(const Invocation& invocation) {
  invocation.RequiredText("author");
  RunningSystem system(invocation);
  SectionTexts stored = system.ReadSections();
  std::string text = stored.at(Section::kRollouts).text;
  SectionEditor editor(DiffSections(text, "").empty() ? std::string("[]\n")
                                                      : text);
  std::string place = editor.FindElement("", "model", invocation.Text("model"));
  if (place.empty()) {
    editor.AppendElement("", NewRollout(invocation));
  } else {
    RestartRollout(invocation, place, &editor);
  }
  return ApplyEdit(invocation, system, stored, Section::kRollouts,
                   editor.text());
}

ExitCode RunPause(const Invocation& invocation) {
  invocation.RequiredText("author");
  RunningSystem system(invocation);
  SectionTexts stored = system.ReadSections();
  SectionEditor editor(stored.at(Section::kRollouts).text);
  std::string place = RequireRollout(editor, invocation.Text("model"));
  editor.SetMember(place, "state", Quote("paused"));
  return ApplyEdit(invocation, system, stored, Section::kRollouts,
                   editor.text());
}

// Withdraws the version in the section models. Its sessions go back to the
// stable version, whose own successor must then not be the withdrawn one.
std::string WithdrawVersion(const std::string& models,
                            const std::string& model,
                            const std::string& candidate,
                            const std::string& stable) {
  SectionEditor editor(models);
  std::string list =
      editor.FindElement("/models", "model", model) + "/versions";
  std::string place = editor.FindElement(list, "version", candidate);
  if (place.empty()) {
    throw UsageError(
        fmt::format("model \"{}\" has no version \"{}\"", model, candidate));
  }
  editor.SetMember(place, "withdrawn", "true");
  editor.SetMember(place, "successor", Quote(stable));
  std::string stable_place = editor.FindElement(list, "version", stable);
  if (!stable_place.empty() &&
      editor.StringMember(stable_place, "successor") == candidate) {
    editor.SetMember(stable_place, "successor", Quote(""));
  }
  return editor.text();
}

// Two writes: the version first, because a withdrawn version gets no new work
// whatever its rollout says, then the rollout.
ExitCode RunWithdraw(const Invocation& invocation) {
  invocation.RequiredText("author");
  RunningSystem system(invocation);
  SectionTexts stored = system.ReadSections();
  const std::string model = invocation.Text("model");
  SectionEditor rollouts(stored.at(Section::kRollouts).text);
  std::string place = RequireRollout(rollouts, model);
  std::string models =
      WithdrawVersion(stored.at(Section::kModels).text, model,
                      rollouts.StringMember(place, "candidate"),
                      rollouts.StringMember(place, "stable"));
  ExitCode code =
      ApplyEdit(invocation, system, stored, Section::kModels, models);
  if (code != ExitCode::kOk && code != ExitCode::kTimedOut) {
    return code;
  }
  stored[Section::kModels].text = models;
  rollouts.SetMember(place, "state", Quote("stopped"));
  rollouts.SetMember(place, "exposure", "0");
  ExitCode second = ApplyEdit(invocation, system, stored, Section::kRollouts,
                              rollouts.text());
  if (second != ExitCode::kOk && second != ExitCode::kTimedOut) {
    invocation.environment.err
        << "the version is withdrawn, but its rollout is not stopped\n";
  }
  return second == ExitCode::kOk ? code : second;
}

}  // namespace

std::vector<Verb> EditVerbs() {
  const std::string kept = "Comments of the section are kept.";
  return {
      {"rollout start",
       {"MODEL"},
       "start or go on with a rollout",
       "A model without rollout needs --candidate, --stable and --exposure. " +
           kept,
       AddStartOptions,
       RunStart},
      {"rollout pause",
       {"MODEL"},
       "pause a rollout; its exposure stays",
       kept,
       AddChangeOptions,
       RunPause},
      {"rollout withdraw",
       {"MODEL"},
       "withdraw the candidate and stop its rollout",
       "Writes the section models, then rollouts. Sessions move to the stable "
       "version.\n" +
           kept,
       AddChangeOptions,
       RunWithdraw},
      {"drain",
       {"DC"},
       "take a data centre out: no new work there",
       kept,
       AddChangeOptions,
       RunDrain},
      {"restore",
       {"DC"},
       "bring a data centre back",
       kept,
       AddChangeOptions,
       RunRestore},
  };
}

}  // namespace filbertshift
