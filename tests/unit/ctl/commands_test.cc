// Tests of the verbs against fake instances.

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "src/config/config.h"
#include "src/ctl/ctl.h"

namespace filbertshift {
namespace {

constexpr const char* kExample =
    FILBERTSHIFT_SOURCE_DIR "/example/configuration.json";

std::string ReadFile(const std::string& name) {
  std::ifstream file(name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Two instances, "a" and "b", that share one stored configuration. Calls to any
// other address are refused.
class FakeSystem : public OperatorClient {
 public:
  FakeSystem() {
    for (auto& [section, text] : SplitDocument("d", ReadFile(kExample))) {
      stored[std::string(SectionName(section))] = {5, text};
    }
  }

  CallReply Call(const CallSpec& call) override {
    calls.push_back(call);
    if (call.address != "a" && call.address != "b") {
      return {CallOutcome::kNotConnected, 0, "", "refused"};
    }
    if (call.method == "PUT") {
      return Put(call);
    }
    if (call.target == "/v1/configuration") {
      return Ok({{"sections", Sections()}});
    }
    if (call.target == "/v1/instance") {
      return Ok(Instance(call.address));
    }
    if (call.target.rfind("/v1/events", 0) == 0) {
      return {CallOutcome::kReplied, 200, events[call.address], ""};
    }
    return Ok({{"endpoints", {{{"endpoint", "e1"}, {"share", 4}}}},
               {"rollouts", nlohmann::json::array()}});
  }

  std::map<std::string, SectionText> stored;
  std::map<std::string, std::string> events;
  std::vector<CallSpec> calls;
  // Writes are stored, but their replies are lost.
  bool lose_replies = false;
  // Instance "b" keeps reporting the initial revisions.
  bool b_keeps_old_revisions = false;
  // Instance "a" cannot reach the table service and replies 503 to writes.
  bool a_lacks_table_service = false;
  // If not empty, another operator's write of this text precedes the next
  // write.
  std::string concurrent_text;

 private:
  static CallReply Ok(const nlohmann::json& body) {
    return {CallOutcome::kReplied, 200, body.dump(), ""};
  }

  nlohmann::json Sections() const {
    nlohmann::json sections;
    for (const auto& [name, text] : stored) {
      sections[name] = {{"revision", text.revision}, {"text", text.text}};
    }
    return sections;
  }

  nlohmann::json Instance(const std::string& address) const {
    nlohmann::json revisions;
    for (const auto& [name, text] : stored) {
      revisions[name] =
          b_keeps_old_revisions && address == "b" ? 5 : text.revision;
    }
    return {{"instance", "entry-" + address},
            {"data_centre", "dc"},
            {"seat", 0},
            {"ready", true},
            {"revisions", revisions},
            {"view",
             {{"configuration", 7},
              {"source", "store"},
              {"operator_age_ms", 12},
              {"in_progress", 3}}},
            {"peers", {{{"up", true}}}}};
  }

  CallReply Put(const CallSpec& call) {
    if (a_lacks_table_service && call.address == "a") {
      return {CallOutcome::kReplied, 503, R"({"error":{"code":"x"}})", ""};
    }
    std::size_t slash = call.target.rfind('/');
    std::size_t question = call.target.find('?');
    SectionText& section =
        stored[call.target.substr(slash + 1, question - slash - 1)];
    if (!concurrent_text.empty()) {
      section = {section.revision + 1, concurrent_text};
      concurrent_text.clear();
    }
    std::string base = "base_revision=" + std::to_string(section.revision);
    if (call.target.find(base + "&") == std::string::npos) {
      nlohmann::json body = {{"error", {{"code", "conflict"}}},
                             {"current",
                              {{"revision", section.revision},
                               {"author", "Béla"},
                               {"text", section.text}}}};
      return {CallOutcome::kReplied, 409, body.dump(), ""};
    }
    section = {section.revision + 1, call.body};
    if (lose_replies) {
      return {CallOutcome::kNoReply, 0, "", "timeout"};
    }
    return Ok({{"revision", section.revision}});
  }
};

class FakeClock : public Clock {
 public:
  TimePoint Now() const override { return TimePoint(now); }
  WallTime WallNow() const override { return WallTime(now); }
  std::chrono::milliseconds now{0};
};

// Runs commands and captures their output.
class CtlFixture {
 protected:
  ExitCode Run(std::vector<std::string> arguments) {
    out_.str("");
    err_.str("");
    CtlEnvironment environment{
        out_, err_, system_, clock_,
        [this](std::chrono::milliseconds time) { clock_.now += time; }};
    return RunCommand(arguments, environment);
  }

  // Adds the options for both instances.
  ExitCode RunOnBoth(std::vector<std::string> arguments) {
    for (const char* more : {"--instance", "a", "--instance", "b"}) {
      arguments.emplace_back(more);
    }
    return Run(arguments);
  }

  std::string WriteFile(const std::string& text) {
    std::string name = "ctl_test_input_" + std::to_string(++files_) + ".json";
    std::ofstream(name) << text;
    names_.push_back(name);
    return name;
  }

  ~CtlFixture() {
    for (const std::string& name : names_) {
      std::remove(name.c_str());
    }
  }

  FakeSystem system_;
  FakeClock clock_;
  std::ostringstream out_;
  std::ostringstream err_;

 private:
  int files_ = 0;
  std::vector<std::string> names_;
};

// Guards against changed exit codes, on which scripts rely, and against verbs
// missing from the help.
TEST_CASE_METHOD(CtlFixture, "usage errors and help", "[ctl]") {
  CHECK(Run({}) == ExitCode::kUsage);
  CHECK(Run({"nonsense"}) == ExitCode::kUsage);
  CHECK(Run({"validate"}) == ExitCode::kUsage);
  CHECK(Run({"validate", "no-such-file"}) == ExitCode::kUsage);
  CHECK(Run({"validate", kExample, "extra"}) == ExitCode::kUsage);
  CHECK(Run({"validate", kExample, "--settin"}) == ExitCode::kUsage);
  CHECK(Run({"status"}) == ExitCode::kUsage);
  CHECK(Run({"status", "--instance", "c"}) == ExitCode::kNotReachable);
  CHECK(RunOnBoth({"apply", kExample, "--section", "models"}) ==
        ExitCode::kUsage);
  CHECK(Run({"--help"}) == ExitCode::kOk);
  for (const char* verb :
       {"validate", "diff", "apply", "show", "status", "instances", "endpoints",
        "rollouts", "views", "rollout start", "rollout pause",
        "rollout withdraw", "drain", "restore", "timeline", "events",
        "settings"}) {
    INFO(verb);
    CHECK(out_.str().find(std::string("  ") + verb) != std::string::npos);
  }
  CHECK(Run({"rollout", "start", "--help"}) == ExitCode::kOk);
  CHECK(out_.str().find("--exposure") != std::string::npos);
}

// Guards against findings without a position, and against calls to instances by
// verbs that work on files.
TEST_CASE_METHOD(CtlFixture, "validate and diff need no system", "[ctl]") {
  CHECK(Run({"validate", kExample}) == ExitCode::kOk);
  CHECK(Run({"validate", "--settings",
             FILBERTSHIFT_SOURCE_DIR "/example/filbertshiftd.json"}) ==
        ExitCode::kOk);
  std::string wrong = WriteFile("{\n  \"rollouts\": [{\"model\": 1}]\n}");
  CHECK(Run({"validate", wrong}) == ExitCode::kFindings);
  CHECK(
      err_.str().find(wrong + ":2:26: /rollouts/0/model: expected a string") !=
      std::string::npos);
  CHECK(Run({"validate", wrong, "--json"}) == ExitCode::kFindings);
  CHECK(nlohmann::json::parse(out_.str())["findings"].size() == 5);
  std::string section = WriteFile("[{\"data_centre\": \"x\", \"region\": 1}]");
  CHECK(Run({"validate", section, "--section", "data_centres", "--context",
             kExample}) == ExitCode::kFindings);
  CHECK(Run({"validate", section, "--section", "data_centres"}) ==
        ExitCode::kUsage);

  std::string text = ReadFile(kExample);
  text.replace(text.find("0.05"), 4, "0.25");
  std::string changed = WriteFile(text);
  CHECK(Run({"diff", changed, "--against", kExample}) == ExitCode::kOk);
  CHECK(out_.str() == "rollouts:\n~ /drafter/exposure: 0.05 -> 0.25\n");
  CHECK(system_.calls.empty());
}

// Guards against comments being lost in the stored text, and against waiting
// for the wrong revision.
TEST_CASE_METHOD(CtlFixture, "apply writes one section and waits", "[ctl]") {
  std::string text = ReadFile(kExample);
  text.replace(text.find("0.05"), 4, "0.25");
  std::string changed = WriteFile(text);
  CHECK(RunOnBoth({"apply", changed, "--section", "rollouts", "--author",
                   "Ana K", "--wait"}) == ExitCode::kOk);
  CHECK(system_.stored["rollouts"].revision == 6);
  CHECK(system_.stored["rollouts"].text.find("// One in twenty") !=
        std::string::npos);
  CHECK(system_.stored["models"].revision == 5);
  CHECK(out_.str() ==
        "~ /drafter/exposure: 0.05 -> 0.25\n"
        "section rollouts is stored as revision 6\n"
        "in force at every instance given\n");
  CHECK(RunOnBoth({"apply", changed, "--section", "nothing", "--author",
                   "x"}) == ExitCode::kUsage);
}

// Guards against waiting forever for an instance that does not update.
TEST_CASE_METHOD(CtlFixture, "waiting for a change is bounded", "[ctl]") {
  system_.b_keeps_old_revisions = true;
  CHECK(RunOnBoth({"drain", "hu-central-b", "--author", "x", "--wait"}) ==
        ExitCode::kTimedOut);
  CHECK(clock_.now >= std::chrono::seconds(13));
  CHECK(clock_.now < std::chrono::seconds(14));
  CHECK(out_.str().find("not in force at b\n") != std::string::npos);
  CHECK(RunOnBoth({"status"}) == ExitCode::kFailure);
  CHECK(out_.str().find("5 (behind)") != std::string::npos);
}

// Guards against overwriting a concurrent change of another operator.
TEST_CASE_METHOD(CtlFixture, "a conflict shows both sides", "[ctl]") {
  system_.concurrent_text = "[]";
  CHECK(RunOnBoth({"drain", "hu-central-b", "--author", "x"}) ==
        ExitCode::kConflict);
  CHECK(out_.str().find("revision 6 by Béla") != std::string::npos);
  CHECK(out_.str().find("stored") != std::string::npos);
  CHECK(out_.str().find("hu-central-b") != std::string::npos);
  CHECK(system_.stored["data_centres"].text == "[]");
  CHECK(RunOnBoth({"apply", kExample, "--section", "data_centres", "--author",
                   "x", "--base-revision", "3", "--json"}) ==
        ExitCode::kConflict);
  auto conflict = nlohmann::json::parse(out_.str())["conflict"];
  CHECK(conflict["base_revision"] == 3);
  CHECK(conflict["stored"]["text"] == "[]");
  CHECK(conflict["yours"]["author"] == "x");
}

// Guards against reporting a stored write as failed or conflicting because its
// reply was lost.
TEST_CASE_METHOD(CtlFixture, "a lost reply is resolved by reading", "[ctl]") {
  system_.lose_replies = true;
  CHECK(RunOnBoth({"drain", "hu-central-c", "--author", "x"}) == ExitCode::kOk);
  CHECK(out_.str().find("stored as revision 6") != std::string::npos);
}

// Guards against sending invalid text to an instance.
TEST_CASE_METHOD(CtlFixture, "nothing is sent with findings", "[ctl]") {
  std::string wrong = WriteFile("[{\"model\": \"drafter\"}]");
  CHECK(RunOnBoth({"apply", wrong, "--section", "rollouts", "--author", "x"}) ==
        ExitCode::kFindings);
  // Positions refer to the file.
  std::string document = WriteFile(
      "{ /* é */ \"models\": {},\n \"rollouts\": [{\"model\": \"x\"}]}");
  CHECK(RunOnBoth({"apply", document, "--section", "rollouts", "--author",
                   "x"}) == ExitCode::kFindings);
  CHECK(err_.str().find(document + ":2:25: /0/model: no model \"x\"") !=
        std::string::npos);
  for (const CallSpec& call : system_.calls) {
    CHECK(call.method == "GET");
  }
}

// Guards against a write that fails because the first instance cannot reach the
// table service.
TEST_CASE_METHOD(CtlFixture, "a refused write is retried elsewhere", "[ctl]") {
  system_.a_lacks_table_service = true;
  CHECK(RunOnBoth({"drain", "hu-central-c", "--author", "x"}) == ExitCode::kOk);
  CHECK(system_.stored["data_centres"].revision == 6);
  CHECK(Run({"drain", "hu-central-b", "--author", "x", "--instance", "a"}) ==
        ExitCode::kFailure);
}

// Guards against terminal escape sequences injected through a log file.
TEST_CASE_METHOD(CtlFixture, "control characters are not printed", "[ctl]") {
  std::string log = WriteFile(
      "2026-12-04T08:00:01.000000Z FS1101 info request_refused instance=a "
      "data_centre=dc detail=\"\\x1b[2J\\x0a\"\n");
  CHECK(Run({"timeline", "--log", log}) == ExitCode::kOk);
  CHECK(out_.str().find("\\x1b[2J\\x0a") != std::string::npos);
  CHECK(out_.str().find('\x1b') == std::string::npos);
}

// Guards against editing the wrong value, and against lost comments.
TEST_CASE_METHOD(CtlFixture, "drain and restore edit one value", "[ctl]") {
  std::string before = system_.stored["data_centres"].text;
  CHECK(RunOnBoth({"drain", "nowhere", "--author", "x"}) == ExitCode::kUsage);
  CHECK(RunOnBoth({"drain", "hu-central-b", "--author", "x"}) == ExitCode::kOk);
  CHECK(out_.str().find("+ /hu-central-b/drained: true") != std::string::npos);
  CHECK(system_.stored["data_centres"].text.find("// Owner: data centre") !=
        std::string::npos);
  CHECK(RunOnBoth({"drain", "hu-central-b", "--author", "x"}) == ExitCode::kOk);
  CHECK(out_.str() == "nothing to change\n");
  CHECK(system_.stored["data_centres"].revision == 6);
  CHECK(RunOnBoth({"restore", "hu-central-b", "--author", "x"}) ==
        ExitCode::kOk);
  CHECK(DiffSections(before, system_.stored["data_centres"].text).size() == 1);
}

// Guards against a withdrawn version that still receives work, and against a
// configuration that is invalid after the edits.
TEST_CASE_METHOD(CtlFixture, "rollouts start, pause and withdraw", "[ctl]") {
  CHECK(RunOnBoth({"rollout", "start", "drafter", "--exposure", "0.2",
                   "--author", "x"}) == ExitCode::kOk);
  CHECK(out_.str().find("~ /drafter/state: \"paused\" -> \"running\"") !=
        std::string::npos);
  CHECK(RunOnBoth({"rollout", "start", "drafter", "--exposure", "1.5",
                   "--author", "x"}) == ExitCode::kFindings);
  CHECK(RunOnBoth({"rollout", "start", "sketcher", "--author", "x"}) ==
        ExitCode::kUsage);
  CHECK(RunOnBoth({"rollout", "pause", "drafter", "--author", "x"}) ==
        ExitCode::kOk);
  CHECK(RunOnBoth({"rollout", "withdraw", "drafter", "--author", "x"}) ==
        ExitCode::kOk);
  SectionTexts sections;
  for (Section section : ConfigurationSections()) {
    sections[section] = system_.stored[std::string(SectionName(section))];
  }
  Configuration configuration = ParseConfiguration(sections);
  const ModelVersion* candidate =
      configuration.FindVersion(ModelId("drafter"), VersionId("v2"));
  CHECK(candidate->withdrawn);
  CHECK(candidate->successor == VersionId("v1"));
  CHECK(configuration.FindRollout(ModelId("drafter"))->state ==
        RolloutState::kStopped);
  CHECK(ValidateSection(Section::kRollouts, sections[Section::kRollouts].text,
                        sections)
            .empty());
}

// Guards against omitting instances that do not reply.
TEST_CASE_METHOD(CtlFixture, "reads show every instance", "[ctl]") {
  std::string file = WriteFile("{ // ours\n \"instances\": [\"a\", \"c\"]}");
  CHECK(Run({"instances", "--instances", file}) == ExitCode::kNotReachable);
  CHECK(out_.str() ==
        "address  instance                data_centre  seat  ready  peers up\n"
        "a        entry-a                 dc           0     true   1/1\n"
        "c        not reachable: refused\n");
  CHECK(Run({"views", "--instances", file}) == ExitCode::kNotReachable);
  CHECK(out_.str() ==
        "address  instance                configuration  source  "
        "operator_age_ms  endpoints_age_ms  instances_age_ms  in_progress\n"
        "a        entry-a                 7              store   12        "
        "       -                 -                 3\n"
        "c        not reachable: refused\n");
  CHECK(RunOnBoth({"endpoints"}) == ExitCode::kOk);
  CHECK(out_.str().find("e1") != std::string::npos);
  CHECK(RunOnBoth({"rollouts", "--json"}) == ExitCode::kOk);
  CHECK(nlohmann::json::parse(out_.str()).size() == 2);
  CHECK(RunOnBoth({"status"}) == ExitCode::kOk);
  CHECK(RunOnBoth({"show", "rollouts"}) == ExitCode::kOk);
  CHECK(out_.str() == system_.stored["rollouts"].text);
  CHECK(RunOnBoth({"show"}) == ExitCode::kOk);
  CHECK(ValidateDocument("shown", out_.str()).empty());
}

// Guards against empty or incomplete tables of events and settings.
TEST_CASE_METHOD(CtlFixture, "events and settings print tables", "[ctl]") {
  CHECK(Run({"events"}) == ExitCode::kOk);
  CHECK(out_.str().find("FS1500") != std::string::npos);
  CHECK(Run({"settings", "--json"}) == ExitCode::kOk);
  CHECK(nlohmann::json::parse(out_.str()).size() ==
        DescribeProcessSettings().size());
  CHECK(Run({"settings", "--document"}) == ExitCode::kOk);
  CHECK(out_.str().find("rollouts[].exposure") != std::string::npos);
}

// Guards against duplicate, misordered or missing events.
TEST_CASE_METHOD(CtlFixture, "timeline merges instances and logs", "[ctl]") {
  const std::string line_1 =
      "2026-12-04T08:00:01.000000Z FS1110 debug attempt_started "
      "instance=entry-a data_centre=dc request=r1 attempt=t1 endpoint=e1 "
      "detail=\"\"\n";
  const std::string line_2 =
      "2026-12-04T08:00:02.000000Z FS1103 warning request_failed "
      "instance=entry-b data_centre=dc request=r1 detail=\"a \\\"b\\\" "
      "\\x0a\"\n";
  std::string log = WriteFile(line_2 + "rubbish\n" + line_1);
  nlohmann::json event = {{"time", "2026-12-04T08:00:01.000000Z"},
                          {"number", 1110},
                          {"severity", "debug"},
                          {"name", "attempt_started"},
                          {"instance", "entry-a"},
                          {"data_centre", "dc"},
                          {"request", "r1"},
                          {"attempt", "t1"},
                          {"endpoint", "e1"},
                          {"detail", ""}};
  system_.events["a"] =
      nlohmann::json({{"events", nlohmann::json::array({event})}}).dump();
  system_.events["b"] = R"({"events":[]})";
  CHECK(RunOnBoth({"timeline", "--request", "r1", "--log", log, "--json"}) ==
        ExitCode::kOk);
  auto shown = nlohmann::json::parse(out_.str());
  REQUIRE(shown.size() == 2);
  CHECK(shown[0] == event);
  CHECK(shown[1]["detail"] == "a \"b\" \n");
  CHECK(err_.str().find("1 lines are not events") != std::string::npos);
  CHECK(Run({"timeline", "--log", log, "--endpoint", "e1", "--json"}) ==
        ExitCode::kOk);
  CHECK(nlohmann::json::parse(out_.str()).size() == 1);
  CHECK(Run({"timeline", "--log", log, "--since", "2026-12-04T08:00:02Z",
             "--json"}) == ExitCode::kOk);
  CHECK(nlohmann::json::parse(out_.str()).size() == 1);
  CHECK(Run({"timeline", "--log", log, "--since", "soon"}) == ExitCode::kUsage);
  CHECK(Run({"timeline", "--log", log, "--instance", "c"}) ==
        ExitCode::kNotReachable);
  CHECK(out_.str().find("request_failed") != std::string::npos);
}

// Guards against sending a write twice because a lost reply is mistaken for a
// refused connection.
TEST_CASE("the client tells refused connections from lost replies", "[ctl]") {
  CurlOperatorClient client;
  // Nothing listens on port 1.
  CallReply reply = client.Call({"127.0.0.1:1", "PUT", "/", "x"});
  CHECK(reply.outcome == CallOutcome::kNotConnected);
  CHECK(EncodeQueryValue("a b&c/é") == "a%20b%26c%2F%C3%A9");
}

}  // namespace
}  // namespace filbertshift
