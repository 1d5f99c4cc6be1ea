// Tests of the store's replies.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "platform/platform.h"

namespace filbertshift {
namespace {

// Guards against a page that is read again and again, or ends the process,
// because the value of one row is not base64.
TEST_CASE("a row with an odd value costs only itself", "[fleet]") {
  for (const char* value : {"\"====\"", "\"A===\"", "\"=\"", "\"AA=A\"",
                            "\"QUJD=QUJD\"", "\"\xc3\xa9\"", "\"A\"", "7",
                            "null", "{}", "\"        ====\"", "\"\""}) {
    INFO(value);
    RowsResponse response =
        RowProtocol("127.0.0.1:1")
            .DecodeRows(fmt::format(
                R"({{"rows":[{{"key":"e1","value":"QQ==","row_version":1}},)"
                R"({{"key":"e2","value":{},"row_version":2}},)"
                R"({{"key":"e3","value":"QUI=","row_version":3}}],)"
                R"("has_more":false,"row_version":4,"now_ms":5.5}})",
                value));
    REQUIRE(response.rows.size() == 3);
    CHECK(response.rows[0].value == "A");
    CHECK(response.rows[1].value.empty());
    CHECK(response.rows[2].value == "AB");
    CHECK(response.as_of.number == 4);
  }
}

}  // namespace
}  // namespace filbertshift
