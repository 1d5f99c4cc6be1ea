// Fuzz tests: malformed documents and settings result in findings and nothing
// else.

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
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

// FILBERTSHIFT_SEED reproduces a run.
std::uint64_t FuzzSeed() {
  const char* given = std::getenv("FILBERTSHIFT_SEED");
  std::uint64_t seed = given == nullptr ? SystemRandom(0).seed()
                                        : std::strtoull(given, nullptr, 10);
  std::cerr << "FILBERTSHIFT_SEED=" << seed << "\n";
  return seed;
}

// Applies one to four edits: deletions, repetitions, replacements or
// insertions.
std::string Mutate(std::string text, Random& random) {
  static const std::string kTokens[] = {"{",      "}",
                                        "[",      "]",
                                        ",",      ":",
                                        "\"",     "//",
                                        "/*",     "*/",
                                        "null",   "-1",
                                        "1e400",  "true",
                                        "\"5x\"", "\\u0000",
                                        "\xff",   "\"v1\"",
                                        "{}",     "[]",
                                        "\n",     "9999999999999999999999",
                                        "0.5",    "\"model\""};
  std::uint64_t changes = 1 + random.Next() % 4;
  for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
    std::size_t offset = random.Next() % text.size();
    std::size_t length = random.Next() % 40;
    const std::string& token = kTokens[random.Next() % std::size(kTokens)];
    switch (random.Next() % 4) {
      case 0:
        text.erase(offset, length);
        break;
      case 1:
        text.insert(offset, text.substr(offset, length));
        break;
      case 2:
        text.replace(offset, length, token);
        break;
      default:
        text.insert(offset, token);
    }
  }
  return text;
}

// True if the call returned, or threw findings that each have a message and a
// line number.
template <class Call>
bool OnlyFindings(Call call) {
  try {
    call();
    return true;
  } catch (const FindingsError& error) {
    bool ok = !error.findings().empty();
    for (const Finding& finding : error.findings()) {
      ok = ok && !finding.message.empty() && finding.line > 0;
    }
    return ok;
  }
}

// Guards against crashes and other exceptions than FindingsError on malformed
// input.
TEST_CASE("damaged input only gives findings", "[config][fuzz]") {
  constexpr int kRuns = 1500;
  SystemRandom random(FuzzSeed());
  const std::string document = ReadFile("example/configuration.json");
  const std::string settings = ReadFile("example/filbertshiftd.json");
  SectionTexts sections;
  for (auto& [section, text] : SplitDocument("d", document)) {
    sections[section] = {1, text};
  }
  for (int i = 0; i < kRuns; ++i) {
    std::string damaged = Mutate(document, random);
    std::string damaged_settings = Mutate(settings, random);
    Section section = ConfigurationSections()[random.Next() % 4];
    SectionTexts damaged_sections = sections;
    damaged_sections[section].text = Mutate(sections[section].text, random);
    INFO("run " << i);
    REQUIRE(OnlyFindings([&] { ValidateDocument("d", damaged); }));
    REQUIRE(OnlyFindings([&] { SplitDocument("d", damaged); }));
    REQUIRE(OnlyFindings([&] { ParseConfiguration(damaged_sections); }));
    REQUIRE(
        OnlyFindings([&] { ParseProcessSettings("s", damaged_settings, {}); }));
    REQUIRE(OnlyFindings([&] {
      DiffSections(sections[section].text, damaged_sections[section].text);
    }));
  }
}

// Guards against crashes and other exceptions than FindingsError on malformed
// overrides.
TEST_CASE("damaged overrides only give findings", "[config][fuzz]") {
  SystemRandom random(FuzzSeed());
  const std::string settings = ReadFile("example/filbertshiftd.json");
  for (int i = 0; i < 1000; ++i) {
    std::string override_text = Mutate("table_timeout=1500ms", random);
    try {
      ParseProcessSettings("s", settings, {override_text});
    } catch (const FindingsError&) {
    }
  }
}

}  // namespace
}  // namespace filbertshift
