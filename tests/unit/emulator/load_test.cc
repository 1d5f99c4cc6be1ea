// Tests of the load plan and of the answer verification.

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

#include "emulator/engine/completion_format.h"
#include "emulator/load/load.h"
#include "emulator/tokens/tokens.h"

namespace filbertshift::emulator {
namespace {

LoadSettings TestSettings() {
  LoadSettings settings;
  settings.targets = {{"127.0.0.1", 1}};
  settings.rate = 100;
  settings.duration = std::chrono::seconds(10);
  settings.seed = 5;
  RequestClass first;
  first.name = "a";
  first.model = "m";
  first.idempotency_keys = true;
  first.repeat_share = 0.2;
  RequestClass second = first;
  second.name = "b";
  second.share = 3;
  settings.classes = {first, second};
  return settings;
}

std::vector<PlannedRequest> AllRequests(const LoadSettings& settings) {
  LoadPlan plan(settings);
  std::vector<PlannedRequest> requests;
  while (auto request = plan.Next()) {
    requests.push_back(*request);
  }
  return requests;
}

// Guards against a run that cannot be reproduced from its seed.
TEST_CASE("the plan is a function of its seed", "[emulator][load]") {
  LoadSettings settings = TestSettings();
  const auto first = AllRequests(settings);
  const auto again = AllRequests(settings);
  settings.seed = 6;
  const auto other = AllRequests(settings);
  REQUIRE(first.size() == again.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    CHECK(first[i].body == again[i].body);
    CHECK(first[i].send_time == again[i].send_time);
  }
  CHECK(first.front().body != other.front().body);
}

// Guards against a wrong rate, wrong class shares and repetitions that differ
// from the original request.
TEST_CASE("the plan keeps rate, shares and repetitions", "[emulator][load]") {
  std::size_t second_class = 0;
  std::size_t repeated = 0;
  std::map<std::string, std::string> bodies;
  const auto requests = AllRequests(TestSettings());
  for (const PlannedRequest& request : requests) {
    second_class += request.request_class;
    repeated += request.repeated ? 1 : 0;
    const auto added = bodies.emplace(request.idempotency_key, request.body);
    CHECK(added.second != request.repeated);
    CHECK(added.first->second == request.body);
  }
  // Four standard deviations around 1000 requests, 750 and 200 of them.
  CHECK(requests.size() > 873);
  CHECK(requests.size() < 1127);
  const double count = static_cast<double>(requests.size());
  CHECK(static_cast<double>(second_class) / count == Approx(0.75).margin(0.06));
  CHECK(static_cast<double>(repeated) / count == Approx(0.2).margin(0.06));
}

PlannedRequest ChatRequestOf(std::size_t answer_tokens) {
  PlannedRequest request;
  request.stream = true;
  request.model = "m";
  request.prompt = UserPrompt("hello");
  request.answer_tokens = answer_tokens;
  return request;
}

// Feeds the stream byte by byte, so that events are split across calls.
std::string CheckAnswer(const PlannedRequest& request,
                        const std::string& stream,
                        const std::string& label = "m:v1",
                        int status = 200) {
  AnswerCheck check(request);
  for (const char byte : stream) {
    check.OnBytes(std::string_view(&byte, 1), SteadyTime());
  }
  return check.Finish(status, label).code;
}

// Guards against accepting an answer that is incomplete, from another version
// or with its tokens out of order.
TEST_CASE("only the complete correct answer is accepted", "[emulator][load]") {
  const PlannedRequest request = ChatRequestOf(3);
  const CompletionFormat format("id", "m", 0);
  const Answer answer("m:v1", request.prompt);
  std::vector<std::string> chunks;
  for (std::size_t i = 0; i < 4; ++i) {
    chunks.push_back(format.TokenChunk(answer.Token(i, AnswerQuality::kGood)));
  }
  const std::string start = format.RoleChunk() + chunks[0] + chunks[1];
  const std::string end = format.FinalChunks("length", {});
  const std::string error =
      "data: {\"error\":{\"code\":\"no_endpoint\",\"run\":\"unknown\"}}\n\n";
  CHECK(CheckAnswer(request, start + chunks[2] + end) == "ok");
  CHECK(CheckAnswer(request, start + chunks[2] + end, "m:v2") ==
        "wrong_answer");
  CHECK(CheckAnswer(request, start + chunks[2] + end, "") ==
        "no_version_header");
  CHECK(CheckAnswer(request, start + chunks[2]) == "truncated");
  CHECK(CheckAnswer(request, start + chunks[2] + "data: [DONE]\n\n") ==
        "truncated");
  CHECK(CheckAnswer(request, start + end) == "too_short");
  CHECK(CheckAnswer(request, start + chunks[2] + chunks[3] + end) ==
        "too_long");
  CHECK(CheckAnswer(request, start + chunks[1] + end) == "wrong_answer");
  CHECK(CheckAnswer(request, start + chunks[2] + end + chunks[3]) ==
        "malformed");
  CHECK(CheckAnswer(request, start + CompletionFormat::InvalidChunk() + end) ==
        "malformed");
  CHECK(CheckAnswer(request, start + error) == "stream_error:no_endpoint");
  CHECK(CheckAnswer(request, "{\"error\":{\"code\":\"queue_full\"}}", "m:v1",
                    503) == "http_503:queue_full");
}

// Guards against sending load to other machines.
TEST_CASE("targets must be loopback addresses", "[emulator][load]") {
  LoadSettings settings = TestSettings();
  CHECK_NOTHROW(CheckLoadSettings(settings));
  settings.targets.push_back({"192.0.2.1", 80});
  CHECK_THROWS_AS(CheckLoadSettings(settings), LoadSettingsError);
}

}  // namespace
}  // namespace filbertshift::emulator
