// An endpoint of a soak: it fails now and then, and records what it runs.

#ifndef TESTS_SOAK_SOAK_WORKER_H_
#define TESTS_SOAK_SOAK_WORKER_H_

#include <map>
#include <random>
#include <string>

#include "src/gateway/caller_server.h"
#include "src/net/net.h"
#include "tests/soak/soak_record.h"

namespace filbertshift {

// Client account that holds the callers' keys.
constexpr char kSoakAccount[] = "account-1";

std::string SoakTarget(std::string_view prefix, const std::string& id);
std::string SoakBody(const std::string& id);

class SoakWorker : public HttpRequestHandler {
 public:
  SoakWorker(Transport* transport,
             std::string id,
             unsigned seed,
             SoakRecord* record);
  AcceptListener* listener() { return &server_; }
  const std::string& id() const { return id_; }
  // While set, each run is a violation: the endpoint's record is gone.
  void SetLeft(bool left) { left_ = left; }

  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string body) override;
  void OnCallerDisconnected(ConnectionId caller, ConnectionEnd end) override;
  void OnRejected(int status, std::string_view reason) override;

 private:
  bool Chance(double probability);
  void Later(ConnectionId caller,
             std::chrono::milliseconds delay,
             std::function<void()> action);
  void SendEvent(ConnectionId caller, const std::string& request, int number);
  HttpResponseHead Head(int status, const std::string& request) const;

  Transport* const transport_;
  const std::string id_;
  CallerServer server_;
  std::mt19937 random_;
  SoakRecord* const record_;
  // The next step of each request in progress.
  std::map<ConnectionId, TimerId> steps_;
  bool left_ = false;
};

}  // namespace filbertshift

#endif  // TESTS_SOAK_SOAK_WORKER_H_
