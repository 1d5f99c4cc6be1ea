// Tests of the configuration document: findings and their positions,
// references, splitting and comparison.

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

#include "src/config/config.h"

namespace filbertshift {
namespace {

std::string ReadFile(const std::string& name) {
  std::ifstream file(FILBERTSHIFT_SOURCE_DIR "/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  std::size_t offset = text.find(from);
  REQUIRE(offset != std::string::npos);
  return text.replace(offset, from.size(), to);
}

SectionTexts ExampleSections() {
  SectionTexts sections;
  for (auto& [section, text] :
       SplitDocument("example", ReadFile("example/configuration.json"))) {
    sections[section] = {1, text};
  }
  return sections;
}

std::string Join(const std::vector<Finding>& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += FormatFinding(finding) + "\n";
  }
  return text;
}

// Guards against an example that operators cannot apply without changes.
TEST_CASE("the example document is valid", "[config]") {
  const std::string found =
      Join(ValidateDocument("example", ReadFile("example/configuration.json")));
  INFO(found);
  CHECK(found.empty());
  Configuration configuration = ParseConfiguration(ExampleSections());
  CHECK(configuration.Seats() == std::vector<int>{0, 1, 2, 3});
  CHECK(configuration.accounts.size() == 10);
  const ModelVersion* version =
      configuration.FindVersion(ModelId("drafter"), VersionId("v1"));
  REQUIRE(version != nullptr);
  CHECK(version->limits.warm_up == std::chrono::seconds(60));
  CHECK(version->successor == VersionId("v2"));
  CHECK(configuration.FindRollout(ModelId("drafter"))->state ==
        RolloutState::kPaused);
  CHECK_FALSE(
      configuration.FindService(ServiceId("ledger"))->routes.back().repeatable);
}

// Guards against work on a version that the account may not use (I1) or that
// is withdrawn (I2).
TEST_CASE("allowed versions", "[config]") {
  SectionTexts sections = ExampleSections();
  Configuration configuration = ParseConfiguration(sections);
  const ClientAccount* billing =
      configuration.FindAccount(AccountId("billing-office"));
  REQUIRE(billing != nullptr);
  const ModelId drafter("drafter");
  CHECK(configuration.IsAllowed(*billing, drafter, VersionId("v1")));
  CHECK_FALSE(configuration.IsAllowed(*billing, drafter, VersionId("v2")));
  CHECK_FALSE(
      configuration.IsAllowed(*billing, ModelId("sketcher"), VersionId("v1")));
  CHECK_FALSE(configuration.IsAllowed(*billing, drafter, VersionId("v9")));
  CHECK(configuration.FindAccountByKeyHash(billing->api_key_hashes[0]) ==
        billing);
  CHECK(configuration.FindAccountByKeyHash("") == nullptr);

  std::string& models = sections[Section::kModels].text;
  models = Replace(models, "\"version\": \"v1\",",
                   "\"version\": \"v1\", \"withdrawn\": true,");
  configuration = ParseConfiguration(sections);
  CHECK_FALSE(configuration.IsAllowed(
      *configuration.FindAccount(AccountId("billing-office")), drafter,
      VersionId("v1")));
}

// Guards against an error that is not found or is reported at the wrong
// position.
TEST_CASE("each field error has its position", "[config]") {
  const std::string text = R"({
  // é is one column
  "models": [
    {"model": "m", /* é */ "cost_per_1000_tokens": -1, "versions": [
      {"version": "v", "limits": {"max_concurrency": 2.5,
        "cold_start_concurrency": 1, "warm_up": "5"}, "oops": 1},
      {"version": "v", "limits": {"max_concurrency": 1,
        "cold_start_concurrency": 2, "warm_up": 5}, "withdrawn": "no"}
    ], "model": "n"}
  ],
  "seats_per_endpoint": 0,
  "services": {}
})";
  CHECK(Join(ValidateSection(Section::kModels, text, {})) ==
        "models:4:52: /models/0/cost_per_1000_tokens: out of range 0 to "
        "1000000\n"
        "models:5:54: /models/0/versions/0/limits/max_concurrency: expected "
        "an integer, found number\n"
        "models:6:49: /models/0/versions/0/limits/warm_up: not a duration: "
        "write a whole number with the unit ms, s, m or h, as in \"250ms\"\n"
        "models:6:55: /models/0/versions/0/oops: unknown key\n"
        "models:8:49: /models/0/versions/1/limits/warm_up: expected a duration "
        "with a unit, as in \"250ms\", found integer\n"
        "models:8:66: /models/0/versions/1/withdrawn: expected true or false, "
        "found string\n"
        "models:9:8: /models/0/model: duplicate key\n"
        "models:11:25: /seats_per_endpoint: out of range 1 to 9999\n"
        "models:12:15: /services: expected an array, found object\n"
        "models:7:19: /models/0/versions/1/version: duplicate version \"v\", "
        "first at /models/0/versions/0/version\n"
        "models:8:35: /models/0/versions/1/limits/cold_start_concurrency: "
        "greater than max_concurrency, which is 1\n");
}

// Guards against syntax errors without a position, and against follow-up
// findings about a section that cannot be parsed.
TEST_CASE("syntax errors have their position", "[config]") {
  SectionTexts sections = ExampleSections();
  sections[Section::kModels].text = "{\n  \"models\": [}\n}";
  try {
    ParseConfiguration(sections);
    FAIL("no error");
  } catch (const FindingsError& error) {
    REQUIRE(error.findings().size() == 1);
    CHECK(error.findings()[0].source == "models");
    CHECK(error.findings()[0].line == 2);
    CHECK(error.findings()[0].column == 14);
  }
  CHECK(SyntaxFindings("s", std::string(100000, '['))[0].message ==
        "nested more than 32 levels");
  CHECK(SyntaxFindings("s", "1e999").size() == 1);
  CHECK(SyntaxFindings("s", "{\"a\": \"\xff\"}").size() == 1);
}

// Guards against dangling references.
TEST_CASE("references to undeclared ids are found", "[config]") {
  SectionTexts sections = ExampleSections();
  std::string accounts = R"([
  {"account": "a", "api_key_hashes": [], "max_in_flight": 1,
   "models": [{"model": "none"}, {"model": "drafter", "versions": ["v9"]}],
   "services": ["nowhere"], "default_class": "fast"}])";
  CHECK(Join(ValidateSection(Section::kClientAccounts, accounts, sections)) ==
        "client_accounts:3:25: /0/models/0/model: no model \"none\"\n"
        "client_accounts:3:68: /0/models/1/versions/0: model \"drafter\" has "
        "no version \"v9\"\n"
        "client_accounts:4:17: /0/services/0: no service \"nowhere\"\n"
        "client_accounts:4:46: /0/default_class: no class \"fast\"\n");
  std::string models = sections[Section::kModels].text;
  models = Replace(models, "\"successor\": \"v2\"", "\"successor\": \"v3\"");
  models = Replace(models, "[\"sketcher\"]", "[\"pencil\"]");
  CHECK(Join(ValidateSection(Section::kModels, models, sections)) ==
        "models:13:26: /models/0/versions/0/successor: the model has no "
        "version \"v3\"\n"
        "models:72:21: /classes/0/cascade/0: no model \"pencil\"\n");
}

// Guards against removing an id that another section refers to: every instance
// would reject the combined configuration.
TEST_CASE("removing what another section refers to is a finding", "[config]") {
  SectionTexts sections = ExampleSections();
  std::string models =
      Replace(sections[Section::kModels].text, "\"service\": \"ledger\"",
              "\"service\": \"book\"");
  std::vector<Finding> findings =
      ValidateSection(Section::kModels, models, sections);
  REQUIRE(findings.size() == 7);
  CHECK(findings[0].source == "client_accounts");
  CHECK(findings[0].path == "/0/services/0");
}

// Guards against two instances with one seat, which together would exceed the
// limits of endpoints, and against duplicate ids in the other sections.
TEST_CASE("duplicates are found", "[config]") {
  std::string centres = R"([
  {"data_centre": "a", "region": "r", "seats": [0, 1]},
  {"data_centre": "a", "region": "r", "seats": [1]}])";
  CHECK(Join(ValidateSection(Section::kDataCentres, centres, {})) ==
        "data_centres:3:19: /1/data_centre: duplicate data centre \"a\", "
        "first at /0/data_centre\n"
        "data_centres:3:49: /1/seats/0: duplicate seat \"1\", first at "
        "/0/seats/1\n");
  centres =
      R"([{"data_centre": "a", "region": "r", "seats": [-1, "x", 3, 3]}])";
  CHECK(Join(ValidateSection(Section::kDataCentres, centres, {})) ==
        "data_centres:1:48: /0/seats/0: out of range 0 to 9999\n"
        "data_centres:1:52: /0/seats/1: expected an integer, found string\n"
        "data_centres:1:60: /0/seats/3: duplicate seat \"3\", first at "
        "/0/seats/2\n");
  SectionTexts sections = ExampleSections();
  std::string accounts = sections[Section::kClientAccounts].text;
  accounts = Replace(accounts, "state-gallery", "city-museum");
  CHECK(ValidateSection(Section::kClientAccounts, accounts, sections).size() ==
        1);
}

// Guards against an endless loop when successors are followed.
TEST_CASE("successor cycles are found", "[config]") {
  SectionTexts sections = ExampleSections();
  std::string models =
      Replace(sections[Section::kModels].text, "\"version\": \"v2\",",
              "\"version\": \"v2\", \"successor\": \"v1\",");
  std::vector<Finding> findings =
      ValidateSection(Section::kModels, models, sections);
  REQUIRE(findings.size() == 2);
  CHECK(findings[0].message == "the successors of \"v1\" lead back to it");
}

// Guards against a rollout whose candidate cannot receive requests, and against
// a running rollout that prevents the withdrawal of a faulty version.
TEST_CASE("rollout of a withdrawn candidate", "[config]") {
  SectionTexts sections = ExampleSections();
  std::string& models = sections[Section::kModels].text;
  models = Replace(models, "\"version\": \"v2\",",
                   "\"version\": \"v2\", \"withdrawn\": true,");
  CHECK(ValidateSection(Section::kModels, models, sections).empty());
  CHECK_NOTHROW(ParseConfiguration(sections));
  std::string rollouts = sections[Section::kRollouts].text;
  std::vector<Finding> findings =
      ValidateSection(Section::kRollouts, rollouts, sections);
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].path == "/0/candidate");
  rollouts = Replace(rollouts, "paused", "stopped");
  CHECK(ValidateSection(Section::kRollouts, rollouts, sections).empty());
  rollouts = Replace(rollouts, "0.05", "1.05");
  rollouts = Replace(rollouts, "stopped", "gone");
  rollouts =
      Replace(rollouts, "\"candidate\": \"v2\"", "\"candidate\": \"v1\"");
  CHECK(ValidateSection(Section::kRollouts, rollouts, sections).size() == 3);
}

// Guards against lost comments and undetected unknown sections.
TEST_CASE("a document is split into sections with comments", "[config]") {
  auto texts = SplitDocument("d", R"({
  // Owner: sites.
  "data_centres": [
    // Old hall.
  ], /* last */ "rollouts": // none yet
   []
})");
  CHECK(texts.size() == 2);
  CHECK(texts[Section::kDataCentres] ==
        "// Owner: sites.\n  [\n    // Old hall.\n  ]\n");
  CHECK(texts[Section::kRollouts] == "/* last */ // none yet\n   []\n");
  CHECK_THROWS_AS(SplitDocument("d", "{\"rollouts\": [], \"x\": 1}"),
                  FindingsError);
  CHECK_THROWS_AS(SplitDocument("d", "[]"), FindingsError);
}

// Guards against a comparison that reports unchanged elements or misses
// changes.
TEST_CASE("sections are compared by value and id", "[config]") {
  std::string before = R"([{"data_centre": "a", "drained": false},
                           {"data_centre": "b"}] // old)";
  std::string after = R"([{"data_centre": "n"}, {"data_centre": "b"},
                          {"data_centre": "a", "drained": true}])";
  std::vector<SectionChange> changes = DiffSections(before, after);
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].path == "/a/drained");
  CHECK(changes[0].before == "false");
  CHECK(changes[0].after == "true");
  CHECK(changes[1].path == "/n");
  CHECK(changes[1].before.empty());
  CHECK(DiffSections("", "[]").size() == 1);
  CHECK(DiffSections("[1, 2]", "[1,2] // same").empty());
  CHECK(DiffSections("[1, 2]", "[2, 1]").size() == 1);
  CHECK_THROWS_AS(DiffSections("[", "[]"), FindingsError);
}

// Guards against edits that drop comments or other values.
TEST_CASE("an edit leaves the rest of a section as it is", "[config]") {
  SectionEditor editor("[ // sites\n  {\"data_centre\": \"a\"}\n]");
  CHECK(editor.FindElement("", "data_centre", "x").empty());
  std::string element = editor.FindElement("", "data_centre", "a");
  CHECK(element == "/0");
  editor.SetMember(element, "drained", "true");
  editor.SetMember(element, "drained", "false");
  editor.AppendElement("", "{}");
  editor.SetMember("/1", "region", "\"r\"");
  CHECK(editor.text() ==
        "[ // sites\n  {\"data_centre\": \"a\", \"drained\": false},\n"
        "  {\"region\": \"r\"}\n]");
  CHECK_THROWS_AS(editor.SetMember("/7", "a", "1"), std::invalid_argument);
}

}  // namespace
}  // namespace filbertshift
