// End-to-end requests from a caller to an endpoint with real processes.

#include <catch2/catch.hpp>

#include <thread>

#include "tests/process/deployment.h"

namespace filbertshift {
namespace {

using nlohmann::json;

// Guards against components that work in isolation but not together.
TEST_CASE("a request is answered from end to end", "[process]") {
  Deployment deployment{DeploymentSpec()};
  HttpResult streamed = Call(deployment.Chat(0, "condition report", 20));
  INFO(deployment.folder() << " " << streamed.body << streamed.error);
  REQUIRE(streamed.status == 200);
  StreamedAnswer answer = ReadStream(streamed.body);
  CHECK(answer.done);
  CHECK(answer.model == "small:v1");
  // Guards against buffering of the whole stream: 20 tokens take at least 100
  // ms.
  CHECK(streamed.first_byte + std::chrono::milliseconds(50) < streamed.total);

  HttpResult whole = Call(deployment.Chat(1, "condition report", 20, false));
  REQUIRE(whole.status == 200);
  CHECK(whole.Json()["choices"][0]["message"]["content"] == answer.text);
  CHECK(whole.Json()["usage"]["completion_tokens"] == 20);

  HttpResult booked = Call(
      deployment.Ledger(0, "POST", "/invoices", "invoice-1", "{\"sum\":1}"));
  CHECK(booked.status == 200);
  HttpResult again = Call(
      deployment.Ledger(1, "POST", "/invoices", "invoice-1", "{\"sum\":1}"));
  CHECK(again.status == 200);
  CHECK(again.body == booked.body);
}

// Guards against errors without a code for invalid input, and against an
// instance that crashes on it.
TEST_CASE("bad input gets a typed error", "[process]") {
  Deployment deployment{DeploymentSpec()};
  HttpCall call = deployment.Chat(0, "x", 5);
  call.body = "{\"messages\": [";
  HttpResult result = Call(call);
  CHECK(result.status == 400);
  CHECK(result.ErrorCode() == "invalid_json");
  CHECK(result.Run() == "not_run");

  call = deployment.Chat(0, "x", 5);
  call.headers.front() = "Authorization: Bearer wrong";
  CHECK(Call(call).ErrorCode() == "invalid_api_key");

  call = deployment.Chat(0, "x", 5);
  json body = json::parse(call.body);
  body["model"] = "unknown";
  call.body = body.dump();
  CHECK(Call(call).ErrorCode() == "model_not_found");

  CHECK(Call(deployment.Ledger(0, "POST", "/invoices", "", "{}")).ErrorCode() ==
        "idempotency_key_required");

  call = deployment.Chat(0, "x", 5);
  call.body = std::string(std::size_t{5} * 1024 * 1024, 'x');
  CHECK(Call(call).status == 413);

  CHECK(Call(deployment.Chat(0, "still serving", 5)).status == 200);
}

// Guards against a shutdown that truncates a stream or accepts new requests.
TEST_CASE("SIGTERM finishes what was accepted", "[process]") {
  Deployment deployment{DeploymentSpec()};
  HttpResult streamed;
  std::thread caller(
      [&] { streamed = Call(deployment.Chat(0, "long report", 300)); });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  deployment.instance(0).process->Terminate();
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  HttpResult late = Call(deployment.Chat(0, "late", 5));
  CHECK((late.status == 0 || late.Run() == "not_run"));
  caller.join();
  CHECK(ReadStream(streamed.body).done);
  auto status =
      deployment.instance(0).process->WaitExit(std::chrono::seconds(10));
  REQUIRE(status.has_value());
  CHECK(*status == 0);
}

}  // namespace
}  // namespace filbertshift
