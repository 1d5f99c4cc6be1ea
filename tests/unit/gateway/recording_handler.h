// Request handler that records what a CallerServer reports, for tests.

#ifndef TESTS_UNIT_GATEWAY_RECORDING_HANDLER_H_
#define TESTS_UNIT_GATEWAY_RECORDING_HANDLER_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/gateway/caller_server.h"

namespace filbertshift {

class RecordingHandler : public HttpRequestHandler {
 public:
  struct Request {
    ConnectionId caller{};
    HttpRequestHead head;
    std::string body;
  };

  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string body) override {
    requests.push_back({caller, std::move(head), std::move(body)});
  }
  void OnCallerDisconnected(ConnectionId /*caller*/,
                            ConnectionEnd end) override {
    disconnected.push_back(end);
  }
  void OnRejected(int status, std::string_view /*reason*/) override {
    rejected.push_back(status);
  }
  void OnConnectionClosed(CallerCloseReason reason,
                          std::size_t unanswered_bytes) override {
    closed.emplace_back(reason, unanswered_bytes);
  }

  std::vector<Request> requests;
  std::vector<ConnectionEnd> disconnected;
  std::vector<int> rejected;
  std::vector<std::pair<CallerCloseReason, std::size_t>> closed;
};

}  // namespace filbertshift

#endif  // TESTS_UNIT_GATEWAY_RECORDING_HANDLER_H_
