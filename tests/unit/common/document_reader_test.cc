// Tests of the reader of documents from other processes.

#include <catch2/catch.hpp>

#include <limits>
#include <nlohmann/json.hpp>

#include "src/common/document_reader.h"

namespace filbertshift {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

TEST_CASE("the depth of a document is limited", "[common]") {
  CHECK(ParseJson(Nested(kMaxDocumentDepth)).is_array());
  CHECK_THROWS_AS(ParseJson(Nested(kMaxDocumentDepth + 1)), DocumentError);
  std::string packed(kMaxDocumentDepth, '\x91');
  CHECK(ParseMessagePack(packed + "\x01").is_array());
  CHECK_THROWS_AS(ParseMessagePack(packed + "\x91\x01"), DocumentError);
}

TEST_CASE("a document is read as it was written", "[common]") {
  const std::string text =
      R"({"a":[1,-2,2.5,"x",true,null,{},[]],"b":{"c":{"d":[[]]}},"e":""})";
  CHECK(ParseJson(text) == json::parse(text));
  json value = json::parse(text);
  value["binary"] = json::binary({1, 2});
  std::vector<std::uint8_t> bytes = json::to_msgpack(value);
  CHECK(ParseMessagePack(std::string(bytes.begin(), bytes.end())) == value);
  CHECK(ParseJson(R"({"a":1,"a":2})", RepeatedKeys::kUseLast) ==
        json({{"a", 2}}));
}

// Guards against readers that disagree about a document.
TEST_CASE("a malformed document is refused", "[common]") {
  for (const char* text :
       {"", " ", "{", "[1,]", "1 2", "{\"a\":1,\"a\":2}", "\"\xff\"", "1e400",
        "nan", "{\"a\":{\"b\":1,\"b\":1}}", "\xef\xbb", "[1]x"}) {
    INFO(text);
    CHECK_THROWS_AS(ParseJson(text), DocumentError);
  }
  for (const std::string& bytes :
       {std::string(), std::string("\xc1"), std::string("\x92\x01"),
        std::string("\xdd\xff\xff\xff\xff"), std::string("\x01\x02")}) {
    CHECK_THROWS_AS(ParseMessagePack(bytes), DocumentError);
  }
}

// Guards against conversions whose result is undefined or differs between
// processors.
TEST_CASE("numbers are converted within their range", "[common]") {
  CHECK(ToInteger(json(7), 0, 10) == 7);
  CHECK(ToInteger(json(7.0), 0, 10) == 7);
  CHECK(ToInteger(json(-7), -10, 10) == -7);
  CHECK(ToInteger(json(kMaxCount), 0, kMaxCount) == kMaxCount);
  const json odd[] = {json(11),
                      json(-1),
                      json(2.5),
                      json(1e300),
                      json(-1e300),
                      json(std::numeric_limits<std::uint64_t>::max()),
                      json(std::numeric_limits<std::int64_t>::min()),
                      json(std::numeric_limits<double>::quiet_NaN()),
                      json(std::numeric_limits<double>::infinity()),
                      json("7"),
                      json(true),
                      json(),
                      json::array({7})};
  for (const json& value : odd) {
    INFO(value);
    CHECK_THROWS_AS(ToInteger(value, 0, 10), DocumentError);
    CHECK_THROWS_AS(ToDuration(value, milliseconds(kMaxDuration) * 2),
                    DocumentError);
  }
  CHECK(ToUnsigned(json(std::numeric_limits<std::uint64_t>::max())) ==
        std::numeric_limits<std::uint64_t>::max());
  CHECK_THROWS_AS(ToUnsigned(json(-1)), DocumentError);
  CHECK(ToDuration(json(1.5), std::chrono::seconds(1)) == milliseconds(1500));
  CHECK(DurationOr(json::object(), "a", milliseconds(3)) == milliseconds(3));
  CHECK(std::chrono::steady_clock::now() + kMaxDuration >
        std::chrono::steady_clock::now());
}

}  // namespace
}  // namespace filbertshift
