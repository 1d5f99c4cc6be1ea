// Tests of the emulated engine over loopback.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

#include "emulator/engine/engine.h"
#include "tests/unit/emulator/test_socket.h"

namespace filbertshift::emulator {
namespace {

using std::chrono::milliseconds;

// Allows for a heavily loaded machine.
constexpr milliseconds kReceiveTimeout{5000};

ServicePorts TestPorts() {
  return {{"127.0.0.1", 0}, ListenAddress{"127.0.0.1", 0}};
}

EngineSettings TestSettings() {
  EngineSettings settings;
  settings.model = "m";
  settings.version = "v1";
  settings.base_token_time = milliseconds(2);
  settings.cold_concurrency = 2;
  settings.cold_duration = std::chrono::minutes(10);
  settings.restart_duration = milliseconds(100);
  return settings;
}

std::string HttpPost(const std::string& path, const std::string& body) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: test\r\nX-Request-Id: r1\r\n"
      "Content-Length: {}\r\n\r\n{}",
      path, body.size(), body);
}

std::string ChatPost(const std::string& content, int max_tokens) {
  const Json body{
      {"model", "m"},
      {"stream", true},
      {"max_tokens", max_tokens},
      {"messages", Json::array({{{"role", "user"}, {"content", content}}})}};
  return HttpPost("/v1/chat/completions", body.dump());
}

Json History(const EngineService& service) {
  TestSocket socket(TestSocket::Connect(*service.control_address()));
  socket.Send(
      "GET /_history HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n");
  const std::string reply = socket.ReceiveUntil("\n\n", kReceiveTimeout);
  return Json::parse(reply.substr(reply.find("\r\n\r\n") + 4));
}

// Waits until the engine has started the incarnation with this number.
bool WaitForIncarnation(const EngineService& service, std::size_t number) {
  const auto deadline = std::chrono::steady_clock::now() + kReceiveTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (History(service)["lives"].size() >= number) {
      return true;
    }
  }
  return false;
}

// Guards against an emulated crash that loses the port, leaves connections open
// or does not record the request that caused it.
TEST_CASE("an overloaded cold engine closes all connections and restarts",
          "[emulator][engine]") {
  EngineService service(TestPorts(), TestSettings());
  service.Start();
  std::vector<std::unique_ptr<TestSocket>> clients;
  for (int i = 0; i < 2; ++i) {
    clients.push_back(
        std::make_unique<TestSocket>(TestSocket::Connect(service.address())));
    clients.back()->Send(ChatPost("hello", 100000));
    CHECK(clients.back()->ReceiveUntil(" w1-", kReceiveTimeout).find(" w1-") !=
          std::string::npos);
  }
  TestSocket third(TestSocket::Connect(service.address()));
  third.Send(ChatPost("hello", 1));
  CHECK(third.ClosedWithin(kReceiveTimeout));
  for (const auto& client : clients) {
    CHECK(client->ClosedWithin(kReceiveTimeout));
  }
  REQUIRE(WaitForIncarnation(service, 2));
  const Json history = History(service);
  CHECK(history["lives"][0]["high_water"] == 3);
  CHECK(history["lives"][0]["end_cause"] == "overload while cold");
  for (const Json& request : history["requests"]) {
    CHECK(request["outcome"] == "crashed");
  }
}

// Guards against an engine that answers a crash prompt.
TEST_CASE("a crash prompt crashes the engine at its first token",
          "[emulator][engine]") {
  EngineService service(TestPorts(), TestSettings());
  service.Start();
  TestSocket client(TestSocket::Connect(service.address()));
  client.Send(ChatPost("please CRASH-ENGINE now", 5));
  CHECK(client.ClosedWithin(kReceiveTimeout));
  REQUIRE(WaitForIncarnation(service, 2));
  const Json history = History(service);
  CHECK(history["lives"][0]["end_cause"] == "crash by prompt");
  CHECK(history["requests"][0]["tokens"] == 0);
}

// Guards against an engine that keeps generating after the caller disconnects.
TEST_CASE("a disconnect cancels the request", "[emulator][engine]") {
  EngineService service(TestPorts(), TestSettings());
  service.Start();
  TestSocket client(TestSocket::Connect(service.address()));
  client.Send(ChatPost("hello", 1000000));
  client.ReceiveUntil(" w1-", kReceiveTimeout);
  client.Close();
  const auto deadline = std::chrono::steady_clock::now() + kReceiveTimeout;
  Json history = History(service);
  while (history["requests"][0]["outcome"] == "running" &&
         std::chrono::steady_clock::now() < deadline) {
    history = History(service);
  }
  CHECK(history["requests"][0]["outcome"] == "cancelled");
}

// Guards against a stream without usage, [DONE] event or request id.
TEST_CASE("a streamed answer is complete and carries the request id",
          "[emulator][engine]") {
  EngineService service(TestPorts(), TestSettings());
  service.Start();
  TestSocket client(TestSocket::Connect(service.address()));
  client.Send(ChatPost("hello", 2));
  const std::string reply = client.ReceiveUntil("[DONE]", kReceiveTimeout);
  CHECK(reply.find("X-Request-Id: r1\r\n") != std::string::npos);
  CHECK(reply.find(" w0-bc0f13") != std::string::npos);
  CHECK(reply.find("\"finish_reason\":\"length\"") != std::string::npos);
  CHECK(reply.find("\"completion_tokens\":2") != std::string::npos);
  CHECK(reply.find("[DONE]") != std::string::npos);
}

// Guards against an engine that cannot play a planned stop or an overload.
TEST_CASE("an engine announces its leaving and asks to be spared",
          "[emulator][engine]") {
  EngineService service(TestPorts(), TestSettings());
  service.ApplyControl(R"({"headers":{"Leaving":"1"}})");
  service.Start();
  TestSocket stream(TestSocket::Connect(service.address()));
  stream.Send(ChatPost("hello", 2));
  CHECK(stream.ReceiveUntil("[DONE]", kReceiveTimeout).find("Leaving: 1\r\n") !=
        std::string::npos);
  TestSocket control(TestSocket::Connect(*service.control_address()));
  control.Send(HttpPost("/_control", R"({"refuse":true,"retry_after":"1.5"})"));
  control.ReceiveUntil("true", kReceiveTimeout);
  TestSocket refused(TestSocket::Connect(service.address()));
  refused.Send(ChatPost("hello", 2));
  const std::string reply = refused.ReceiveUntil("refused", kReceiveTimeout);
  CHECK(reply.find(" 503 ") != std::string::npos);
  CHECK(reply.find("Retry-After: 1.5\r\n") != std::string::npos);
  CHECK(reply.find("Leaving: 1\r\n") != std::string::npos);
}

}  // namespace
}  // namespace filbertshift::emulator
