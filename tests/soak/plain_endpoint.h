// An emulated plain endpoint of a soak: few slots, a short queue, and a refusal
// of what the queue cannot take.

#ifndef TESTS_SOAK_PLAIN_ENDPOINT_H_
#define TESTS_SOAK_PLAIN_ENDPOINT_H_

#include <deque>
#include <map>
#include <random>
#include <string>

#include "src/gateway/caller_server.h"
#include "src/net/net.h"
#include "tests/soak/soak_record.h"

namespace filbertshift {

class PlainEndpoint : public HttpRequestHandler {
 public:
  static constexpr std::size_t kSlots = 2;
  static constexpr std::size_t kQueue = 3;

  PlainEndpoint(Transport* transport,
                std::string id,
                unsigned seed,
                SoakRecord* record);
  AcceptListener* listener() { return &server_; }
  const std::string& id() const { return id_; }
  int refusals() const { return refusals_; }

  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string body) override;
  void OnCallerDisconnected(ConnectionId caller, ConnectionEnd end) override;
  void OnRejected(int status, std::string_view reason) override;

 private:
  struct Waiting {
    ConnectionId caller{};
    std::string request;
  };

  void Run(const Waiting& waiting);
  void End(ConnectionId caller);

  Transport* const transport_;
  const std::string id_;
  CallerServer server_;
  std::mt19937 random_;
  SoakRecord* const record_;
  // Invariant: at most kSlots.
  std::map<ConnectionId, TimerId> running_;
  // Invariant: at most kQueue, and empty unless all slots are taken.
  std::deque<Waiting> queue_;
  int refusals_ = 0;
};

}  // namespace filbertshift

#endif  // TESTS_SOAK_PLAIN_ENDPOINT_H_
