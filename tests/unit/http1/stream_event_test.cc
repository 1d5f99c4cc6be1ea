// Tests of single stream events: separation, ids and order.

#include <catch2/catch.hpp>

#include "src/http1/http1.h"

namespace filbertshift {
namespace {

TEST_CASE("events are taken one by one", "[http1]") {
  std::string_view events = "id: 1\ndata: a\n\nid: 2\r\n\r\ndata: x\r\r";
  CHECK(TakeEvent(&events) == "id: 1\ndata: a\n\n");
  CHECK(TakeEvent(&events) == "id: 2\r\n\r\n");
  CHECK(TakeEvent(&events) == "data: x\r\r");
  CHECK(events.empty());
}

TEST_CASE("the id of an event is found on any line", "[http1]") {
  CHECK(EventIdOf("id: 7\ndata: a\n\n") == "7");
  CHECK(EventIdOf("weights: 3\r\nid:8\r\ndata: id: 9\r\n\r\n") == "8");
  CHECK(EventIdOf("data: id: 9\n\n").empty());
  CHECK(EventIdOf("").empty());
}

// Guards against an event that is dropped or delivered twice because "10" sorts
// before "9" as text.
TEST_CASE("events are ordered by number", "[http1]") {
  CHECK(IsNotAfter("9", "10"));
  CHECK(IsNotAfter("10", "10"));
  CHECK_FALSE(IsNotAfter("10", "9"));
  CHECK(IsNotAfter("x", "x"));
  CHECK_FALSE(IsNotAfter("x", "y"));
}

}  // namespace
}  // namespace filbertshift
