// Tests of the process settings and of the page docs/configuration.md.

#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <sstream>

#include "src/config/config.h"
#include "src/gateway/gateway_settings.h"

namespace filbertshift {
namespace {

std::string ReadFile(const std::string& name) {
  std::ifstream file(FILBERTSHIFT_SOURCE_DIR "/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string FindingsOf(const std::string& text,
                       const std::vector<std::string>& overrides) {
  try {
    ParseProcessSettings("s", text, overrides);
    return std::string();
  } catch (const FindingsError& error) {
    return error.what();
  }
}

// Guards against an example that the daemon would reject.
TEST_CASE("the example settings are valid", "[config]") {
  ProcessSettings settings = ParseProcessSettings(
      "s", ReadFile("example/filbertshiftd.json"), {"seat=3"});
  CHECK(settings.instance == InstanceId("entry-0"));
  CHECK(settings.seat == 3);
  CHECK(settings.table_timeout == std::chrono::milliseconds(1500));
  CHECK(settings.kept_events == 20000);
}

// Guards against an invalid setting that is silently replaced by its default.
TEST_CASE("every error in the settings is reported", "[config]") {
  std::string found = FindingsOf(R"({
  "instance": "entry 0", "data_centre": 7, "seat": -1,
  "caller_listen": "localhost:80", "peer_listen": "127.0.0.1:70000",
  "admin_listen": "[::1]:0", "table_address": "127.0.0.1:0",
  "max_connections": 1e3, "table_timeout": "2 s", "slow_sender_timeout": "1ms",
  "log_severity": "loud", "no_such": 1
})",
                                 {"object_store_address=127.0.0.1:1",
                                  "kept_events=many", "rubbish", "what=1"});
  CHECK(found ==
        "s:2:15: /instance: must be 1 to 64 letters, digits or . _ : -\n"
        "s:2:41: /data_centre: expected a string, found integer\n"
        "s:2:52: /seat: out of range 0 to 9999\n"
        "s:3:20: /caller_listen: must be IP number and port, port 0 to 65535\n"
        "s:3:51: /peer_listen: must be IP number and port, port 0 to 65535\n"
        "s:4:47: /table_address: must be IP number and port, port 1 to 65535\n"
        "s:5:22: /max_connections: expected an integer, found number\n"
        "s:5:44: /table_timeout: not a duration: write a whole number with the "
        "unit ms, s, m or h, as in \"250ms\"\n"
        "s:5:74: /slow_sender_timeout: out of range 100ms to 10m\n"
        "s:6:19: /log_severity: must be one of \"debug\", \"info\", "
        "\"warning\", \"error\"\n"
        "s:6:27: /no_such: unknown key\n"
        "s:1:1: missing key \"instance_list_address\"\n"
        "command line: /kept_events: expected an integer, found string\n"
        "command line: /rubbish: expected an override of the form name=value\n"
        "command line: /what: unknown setting");
}

// Guards against a unit being missing or misread.
TEST_CASE("durations need a known unit", "[config]") {
  using std::chrono::milliseconds;
  CHECK(ParseDuration("250ms") == milliseconds(250));
  CHECK(ParseDuration("2s") == milliseconds(2000));
  CHECK(ParseDuration("5m") == milliseconds(300000));
  CHECK(ParseDuration("1h") == milliseconds(3600000));
  for (const char* wrong : {"", "5", "s", "-1s", "1.5s", "1S", "1sec", " 1s",
                            "9999999999h", "1s "}) {
    INFO(wrong);
    CHECK_FALSE(ParseDuration(wrong).has_value());
  }
  CHECK(FormatDuration(milliseconds(90000)) == "90s");
  CHECK(FormatDuration(milliseconds(0)) == "0ms");
}

// Guards against malformed times, which would select the wrong events because
// times are compared as text.
TEST_CASE("prefixes of UTC times", "[config]") {
  for (const char* right :
       {"2026-12-04", "2026-12-04Z", "2026-12-04T08", "2026-12-04T08:01",
        "2026-12-04T08:01:02", "2026-12-04T08:01:02.1",
        "2026-12-04T08:01:02.123456Z"}) {
    INFO(right);
    CHECK(IsUtcTimePrefix(right));
  }
  for (const char* wrong :
       {"", "Z", "2026-12", "2026-12-04T", "2026-12-04T0", "2026-12-04 08",
        "2026-12-04T08:01:02.", "2026-12-04T08:01:02.1234567",
        "2026-12-04T08:01:02ZZ"}) {
    INFO(wrong);
    CHECK_FALSE(IsUtcTimePrefix(wrong));
  }
}

std::string Row(const std::vector<std::string>& cells) {
  std::string row = "|";
  for (const std::string& cell : cells) {
    row += " " + cell + (cell.empty() ? "|" : " |");
  }
  return row;
}

// Guards against fields missing from the page, and against rows for fields that
// do not exist.
TEST_CASE("docs/configuration.md lists every field", "[config]") {
  std::set<std::string> expected;
  for (const FieldDescription& field : DescribeProcessSettings()) {
    expected.insert(
        Row({"`" + field.name + "`", field.type, field.unit,
             "`" + field.default_value + "`", field.range, field.meaning}));
  }
  for (const FieldDescription& field : DescribeGatewaySettings()) {
    expected.insert(
        Row({"`" + field.name + "`", field.type, field.unit,
             "`" + field.default_value + "`", field.range, field.meaning}));
  }
  for (const DocumentFieldDescription& field : DescribeDocumentFields()) {
    expected.insert(
        Row({std::string(SectionName(field.section)),
             "`" + field.field.name + "`", field.field.type, field.field.unit,
             "`" + field.field.default_value + "`", field.field.range,
             field.field.meaning}));
  }
  std::istringstream page(ReadFile("docs/configuration.md"));
  std::set<std::string> found;
  std::string line;
  while (std::getline(page, line)) {
    if (line.find("| `") != std::string::npos) {
      found.insert(line);
    }
  }
  for (const std::string& row : expected) {
    INFO(row);
    CHECK(found.count(row) == 1);
  }
  CHECK(found.size() == expected.size());
}

}  // namespace
}  // namespace filbertshift
