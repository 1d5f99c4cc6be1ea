// Tests of replies of the backing services that end within their head: an
// acknowledgement that is cut there must not count.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <string>
#include <thread>

#include "src/backing_services/http_transfer.h"
#include "src/ctl/operator_client.h"
#include "tests/unit/support/loopback.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

const std::string kReplies[] = {
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
    "Transfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"};

// Accepts one connection, reads the request, sends `reply` and closes.
class OneReply {
 public:
  explicit OneReply(const std::string& reply)
      : socket_(ListenOnLoopback()), thread_([this, reply] {
          TestSocket peer = AcceptFrom(socket_, milliseconds(2000));
          peer.ReadMessage();
          peer.Write(reply);
        }) {}
  ~OneReply() { thread_.join(); }
  std::string address() const {
    return fmt::format("127.0.0.1:{}", LocalPortOf(socket_));
  }

 private:
  TestSocket socket_;
  std::thread thread_;
};

TEST_CASE("a reply cut within its head is no reply", "[backing_services]") {
  for (const std::string& reply : kReplies) {
    for (std::size_t bytes = 1; bytes < reply.size(); ++bytes) {
      INFO(reply.substr(0, bytes));
      OneReply server(reply.substr(0, bytes));
      HttpRequest request;
      request.method = "GET";
      request.url = "http://" + server.address() + "/";
      request.timeout = milliseconds(2000);
      HttpTransfer transfer(request);
      CURLcode code = curl_easy_perform(transfer.handle());
      CHECK_FALSE(transfer.TakeResult(code).complete);
    }
  }
}

TEST_CASE("a reply to an operator cut within its head is no reply", "[ctl]") {
  CurlOperatorClient client;
  for (const std::string& reply : kReplies) {
    for (std::size_t bytes = 1; bytes < reply.size(); ++bytes) {
      INFO(reply.substr(0, bytes));
      OneReply server(reply.substr(0, bytes));
      CallSpec call;
      call.method = "GET";
      call.address = server.address();
      call.target = "/";
      CHECK(client.Call(call).outcome != CallOutcome::kReplied);
    }
  }
}

TEST_CASE("a whole reply is complete", "[backing_services]") {
  OneReply server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  HttpRequest request;
  request.method = "GET";
  request.url = "http://" + server.address() + "/";
  request.timeout = milliseconds(2000);
  HttpTransfer transfer(request);
  HttpResult result = transfer.TakeResult(curl_easy_perform(transfer.handle()));
  CHECK(result.complete);
  CHECK(result.body == "ok");
}

}  // namespace
}  // namespace filbertshift
