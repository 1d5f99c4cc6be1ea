// Tests of what a caller may conclude from a status: 408, 421, 429 and 503 say
// that the request has not run and never will.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "tests/unit/gateway/forwarder_fixture.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using Arrival = ForwarderFixture::Arrival;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

constexpr char kNotExecuted[] = "Filbertshift-Not-Executed: 1\r\n";

// Guards against a second run after a response that is no refusal.
TEST_CASE("a response that contradicts its refusal does not count as one",
          "[gateway]") {
  int status = GENERATE(200, 404, 408, 413, 500, 502, 504);
  bool sealed = GENERATE(false, true);
  INFO(status << " " << sealed);
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", "/once/x", "r1", "", "b");
  std::string body = "oops";
  f.Respond(
      f.NextArrival(),
      sealed ? ForwarderFixture::WholeResponse(status, "r1", body, kNotExecuted)
             : fmt::format("HTTP/1.1 {} X\r\nFilbertshift-Attempt-Id: "
                           "r1\r\n{}Content-Length: {}\r\n\r\n{}",
                           status, kNotExecuted, body.size(), body));
  CHECK(f.NothingArrives(milliseconds(100)));
  std::string response = f.transport.TakeSent(caller);
  CHECK_FALSE(response.empty());
  CHECK_FALSE(Contains(response, "HTTP/1.1 503"));
  CHECK_FALSE(Contains(response, "HTTP/1.1 408"));
  CHECK_FALSE(Contains(response, "Retry-After"));
}

}  // namespace
}  // namespace filbertshift
