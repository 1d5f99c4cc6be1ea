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

// Guards against a caller that repeats a request which an endpoint has run and
// failed.
TEST_CASE("a failure of a run is not passed on as a promise not to have run",
          "[gateway]") {
  int status = GENERATE(503, 429, 408);
  std::string target = GENERATE("/once/x", "/sized-once/x", "/safe/x");
  std::string fields = GENERATE("", "Retry-After: 1\r\n");
  INFO(status << " " << target << " " << fields);
  ForwarderFixture f;
  ConnectionId caller = f.Request("POST", target, "r1", "", "b");
  std::string response;
  for (int i = 0; i < 4 && response.empty(); ++i) {
    f.Respond(f.NextArrival(),
              ForwarderFixture::WholeResponse(status, "r1", "oops", fields));
    response = f.transport.TakeSent(caller);
  }
  CHECK(Contains(response, "HTTP/1.1 502"));
  CHECK(Contains(response, "\"unknown\""));
  CHECK_FALSE(Contains(response, "Filbertshift-Response-Seal"));
  CHECK_FALSE(Contains(response, "Retry-After"));
  CHECK(f.NothingArrives(milliseconds(100)));
}

// Guards against the loss of an answer that bears no promise.
TEST_CASE("an earlier failure is kept beside one that promises", "[gateway]") {
  ForwarderFixture f;
  ConnectionId caller = f.Request("GET", "/safe/x", "r1");
  f.Respond(f.NextArrival(),
            ForwarderFixture::WholeResponse(500, "r1", "first"));
  f.Respond(f.NextArrival(),
            ForwarderFixture::WholeResponse(503, "r1", "second"));
  std::string response = f.transport.TakeSent(caller);
  CHECK(Contains(response, "HTTP/1.1 500"));
  CHECK(Contains(response, "first"));
}

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
