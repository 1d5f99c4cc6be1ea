// A small HTTP endpoint for tests. It answers probes itself and records every
// request with the connection and the incarnation that received it.

#ifndef TESTS_UNIT_ENDPOINT_FAKE_ENDPOINT_H_
#define TESTS_UNIT_ENDPOINT_FAKE_ENDPOINT_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/ports/endpoint_port.h"
#include "tests/unit/support/loopback.h"

namespace filbertshift {

struct RecordedRequest {
  int connection = 0;
  Incarnation incarnation;
  // Whether a probe was answered on this connection before.
  bool probed = false;
  std::string text;
};

class FakeEndpoint {
 public:
  // Responds to one request that is not a probe. Returns false to close the
  // connection.
  using Handler = std::function<bool(const TestSocket&, const std::string&)>;

  FakeEndpoint(Incarnation incarnation, Handler handler);
  ~FakeEndpoint();
  FakeEndpoint(const FakeEndpoint&) = delete;
  FakeEndpoint& operator=(const FakeEndpoint&) = delete;

  std::string address() const;
  // Closes the listener and every connection.
  void Stop();
  // Listens on the same port again, as a new incarnation.
  void Restart(Incarnation incarnation);
  // Returns all requests received so far except probes.
  std::vector<RecordedRequest> requests() const;
  int probes() const { return probes_; }
  // From now on the handler runs once the head of a request has arrived.
  void RespondBeforeBody() { respond_before_body_ = true; }
  // Replaces the whole response to probes; an empty one restores the default.
  void SetProbeReply(std::string reply);

 private:
  void Accept();
  void Serve(int connection, const TestSocket& socket);
  std::string ProbeReply() const;

  const Handler handler_;
  std::atomic<std::int64_t> start_ms_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> respond_before_body_{false};
  std::atomic<int> probes_{0};
  int port_ = 0;
  TestSocket listener_;
  std::thread acceptor_;
  mutable std::mutex mutex_;
  std::string probe_reply_;
  std::vector<RecordedRequest> requests_;
  std::list<TestSocket> sockets_;
  std::vector<std::thread> servers_;
};

}  // namespace filbertshift

#endif  // TESTS_UNIT_ENDPOINT_FAKE_ENDPOINT_H_
