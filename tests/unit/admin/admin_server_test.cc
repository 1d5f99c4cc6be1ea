// Tests the operator interface over real sockets, with a fake core thread.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "src/admin/admin.h"

namespace filbertshift {
namespace {

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns a port that was free when it was checked; another process may take it
// before it is used.
int FreePort() {
  int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof(address);
  REQUIRE(bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) == 0);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
  close(descriptor);
  return ntohs(address.sin_port);
}

int Connect(int port) {
  int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  timeval timeout{5, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  sockaddr_in address = Loopback(port);
  REQUIRE(connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0);
  return descriptor;
}

std::string ReadAll(int descriptor) {
  std::string reply;
  char buffer[4096];
  ssize_t count = 0;
  while ((count = recv(descriptor, buffer, sizeof(buffer), 0)) > 0) {
    reply.append(buffer, static_cast<std::size_t>(count));
  }
  return reply;
}

struct HttpReply {
  int status = 0;
  std::string head;
  std::string body;
};

HttpReply SendRaw(int port, const std::string& bytes) {
  int descriptor = Connect(port);
  for (std::size_t sent = 0; sent < bytes.size();) {
    ssize_t count = send(descriptor, bytes.data() + sent, bytes.size() - sent,
                         MSG_NOSIGNAL);
    if (count <= 0) {
      break;
    }
    sent += static_cast<std::size_t>(count);
  }
  std::string text = ReadAll(descriptor);
  close(descriptor);
  HttpReply reply;
  std::size_t end = text.find("\r\n\r\n");
  if (end != std::string::npos) {
    reply.status = std::atoi(text.c_str() + 9);
    reply.head = text.substr(0, end);
    reply.body = text.substr(end + 4);
  }
  return reply;
}

HttpReply Send(int port,
               const std::string& method,
               const std::string& target,
               const std::string& body = "") {
  return SendRaw(port, method + " " + target +
                           " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                           "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::string ErrorCode(const HttpReply& reply) {
  return nlohmann::json::parse(reply.body)["error"]["code"];
}

// Runs an operator interface whose fake core replies with the section it
// received.
class AdminFixture {
 public:
  AdminFixture()
      : ring_(16),
        log_(clock_,
             InstanceId("entry-0"),
             DataCentreId("dc"),
             Severity::kError,
             10),
        metrics_(registry_),
        port_(FreePort()),
        server_(Options(port_), ring_, log_, registry_, ready_) {
    server_.Start();
    core_ = std::thread([this] { RunCore(); });
  }
  ~AdminFixture() {
    stop_ = true;
    core_.join();
  }

 protected:
  static AdminServerOptions Options(int port) {
    AdminServerOptions options;
    options.listen = "127.0.0.1:" + std::to_string(port);
    options.instance = InstanceId("entry-0");
    options.data_centre = DataCentreId("dc");
    options.max_body_bytes = 10000;
    options.reply_timeout = std::chrono::milliseconds(300);
    return options;
  }

  void RunCore() {
    while (!stop_) {
      ring_.Wait(std::chrono::milliseconds(20));
      std::vector<CoreMessage> messages;
      ring_.PopAll(&messages);
      for (CoreMessage& message : messages) {
        ReplyTo(std::get<OperatorRequest>(message));
      }
    }
  }

  void ReplyTo(const OperatorRequest& request) {
    if (suppress_replies_) {
      return;
    }
    OperatorReply reply{request.call, 200, R"({"shown":true})"};
    if (const auto* apply = std::get_if<ApplySection>(&request.command)) {
      nlohmann::json body = {{"section", apply->section},
                             {"base", apply->base_revision},
                             {"author", apply->author},
                             {"text", apply->text}};
      reply = {request.call, 409, body.dump()};
    }
    server_.Reply(reply);
  }

  SystemClock clock_;
  CoreRing ring_;
  StderrEventLog log_;
  prometheus::Registry registry_;
  Metrics metrics_;
  std::atomic<bool> ready_{false};
  std::atomic<bool> suppress_replies_{false};
  std::atomic<bool> stop_{false};
  const int port_;
  AdminServer server_;
  std::thread core_;
};

// Guards against operator calls that do not reach the core and replies that are
// lost.
TEST_CASE_METHOD(AdminFixture,
                 "operator calls are forwarded to the core",
                 "[admin]") {
  for (const char* path :
       {"/v1/instance", "/v1/endpoints", "/v1/configuration", "/v1/rollouts"}) {
    HttpReply reply = Send(port_, "GET", path);
    CHECK(reply.status == 200);
    CHECK(reply.body == R"({"shown":true})");
  }
  HttpReply reply = Send(
      port_, "PUT", "/v1/configuration/rollouts?base_revision=7&author=Ana%20K",
      "[] // x");
  CHECK(reply.status == 409);
  auto body = nlohmann::json::parse(reply.body);
  CHECK(body["section"] == "rollouts");
  CHECK(body["base"] == 7);
  CHECK(body["author"] == "Ana K");
  CHECK(body["text"] == "[] // x");
}

// Guards against invalid input that reaches the core or is refused without an
// error code.
TEST_CASE_METHOD(AdminFixture, "invalid requests get error codes", "[admin]") {
  const std::string apply = "/v1/configuration/models?base_revision=1&author=a";
  CHECK(ErrorCode(Send(port_, "GET", "/nowhere")) == "unknown_path");
  CHECK(ErrorCode(Send(port_, "POST", "/v1/instance")) == "method_not_allowed");
  CHECK(ErrorCode(Send(port_, "GET", apply)) == "method_not_allowed");
  CHECK(Send(port_, "GET", apply).head.find("Allow: PUT") != std::string::npos);
  CHECK(ErrorCode(Send(port_, "PUT", "/v1/configuration/x", "{}")) ==
        "unknown_section");
  CHECK(ErrorCode(Send(port_, "PUT", "/v1/configuration/models?author=a",
                       "{}")) == "invalid_parameter");
  CHECK(ErrorCode(Send(port_, "PUT",
                       "/v1/configuration/models?base_revision=-1&author=a",
                       "{}")) == "invalid_parameter");
  CHECK(ErrorCode(Send(port_, "PUT", "/v1/configuration/models?base_revision=1",
                       "{}")) == "invalid_parameter");
  CHECK(ErrorCode(Send(port_, "PUT", apply + "&force=1", "{}")) ==
        "unknown_parameter");
  CHECK(ErrorCode(Send(port_, "PUT", apply)) == "empty_body");
  CHECK(ErrorCode(Send(port_, "PUT", apply, std::string(10001, ' '))) ==
        "body_too_large");
  CHECK(ErrorCode(Send(port_, "GET", "/v1/events?limit=many")) ==
        "invalid_parameter");
  CHECK(ErrorCode(Send(port_, "GET", "/v1/events?since=noon")) ==
        "invalid_parameter");
  HttpReply reply = Send(port_, "PUT", apply, "{\n  \"models\": [}");
  CHECK(reply.status == 422);
  auto finding = nlohmann::json::parse(reply.body)["error"]["findings"][0];
  CHECK(finding["line"] == 2);
  CHECK(finding["column"] == 14);
}

// Guards against malformed HTTP that crashes the server or uses up its memory
// or threads.
TEST_CASE_METHOD(AdminFixture,
                 "malformed HTTP does not stop the server",
                 "[admin]") {
  SendRaw(port_, "\x16\x03\x01\r\n\r\n");
  SendRaw(port_,
          "GET / HTTP/1.1\r\nA: " + std::string(100000, 'a') + "\r\n\r\n");
  CHECK(ErrorCode(Send(port_, "GET", "/" + std::string(100000, 'a'))) ==
        "target_too_long");
  SendRaw(port_,
          "PUT /v1/configuration/models HTTP/1.1\r\n"
          "Connection: close\r\nContent-Length: -5\r\n\r\n");
  SendRaw(port_,
          "PUT /v1/configuration/models HTTP/1.1\r\n"
          "Connection: close\r\nContent-Length: many\r\n\r\n");
  SendRaw(port_, "GET /%zz?%zz HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(Send(port_, "GET", "/healthz").status == 200);
}

// Guards against calls that wait for the core without a timeout, and against a
// timeout of a write that is reported as if nothing had been stored.
TEST_CASE_METHOD(AdminFixture, "waiting for the core is bounded", "[admin]") {
  suppress_replies_ = true;
  CHECK(ErrorCode(Send(port_, "GET", "/v1/instance")) == "no_reply");
  HttpReply reply =
      Send(port_, "PUT", "/v1/configuration/rollouts?base_revision=1&author=a",
           "[]");
  CHECK(reply.status == 504);
  CHECK(reply.body.find("may or may not be stored") != std::string::npos);
  server_.Reply({OperatorCallId{1}, 200, "late"});
}

// Guards against an instance that reports ready while it does not accept
// requests.
TEST_CASE_METHOD(AdminFixture, "readiness follows the flag", "[admin]") {
  CHECK(Send(port_, "GET", "/readyz").status == 503);
  ready_ = true;
  CHECK(Send(port_, "GET", "/readyz").status == 200);
}

// Guards against a query that misses events by request, endpoint or time.
TEST_CASE_METHOD(AdminFixture, "events are filtered by the query", "[admin]") {
  CountingEventLog log(log_, metrics_);
  log.Write(EventId::kRequestAccepted,
            {RequestId("r1"), AttemptId(), EndpointId()}, "one");
  log.Write(EventId::kAttemptStarted,
            {RequestId("r1"), AttemptId("a1"), EndpointId("e1")}, "two");
  log.Write(EventId::kPeerUp, "three \"\xff\"");
  auto events = [this](const std::string& query) {
    HttpReply reply = Send(port_, "GET", "/v1/events" + query);
    return nlohmann::json::parse(reply.body)["events"];
  };
  CHECK(events("").size() == 3);
  CHECK(events("?request=r1").size() == 2);
  CHECK(events("?endpoint=e1")[0]["name"] == "attempt_started");
  CHECK(events("?limit=1")[0]["number"] == 1500);
  CHECK(events("?since=2020-01-01").size() == 3);
  CHECK(events("?since=2999-01-01T00:00:00Z").empty());
  std::string text = Send(port_, "GET", "/metrics").body;
  CHECK(text.find("filbertshift_events_total{event=\"FS1100\"} 1") !=
        std::string::npos);
}

// Guards against a Stop that has no effect because the thread has not started
// yet.
TEST_CASE_METHOD(AdminFixture, "stop directly after start", "[admin]") {
  for (int i = 0; i < 50; ++i) {
    AdminServer server(Options(FreePort()), ring_, log_, registry_, ready_);
    server.Start();
    server.Stop();
  }
}

// Guards against a daemon that keeps running although its operator interface
// could not listen.
TEST_CASE_METHOD(AdminFixture, "an address in use is an error", "[admin]") {
  AdminServer second(Options(port_), ring_, log_, registry_, ready_);
  CHECK_THROWS_AS(second.Start(), std::exception);
  AdminServerOptions options = Options(port_);
  options.listen = "127.0.0.1";
  AdminServer third(options, ring_, log_, registry_, ready_);
  CHECK_THROWS_AS(third.Start(), std::invalid_argument);
}

// Guards against a Stop that blocks until a waiting call times out.
TEST_CASE_METHOD(AdminFixture, "stop unblocks waiting calls", "[admin]") {
  suppress_replies_ = true;
  std::thread caller([this] { Send(port_, "GET", "/v1/instance"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  server_.Stop();
  caller.join();
}

}  // namespace
}  // namespace filbertshift
