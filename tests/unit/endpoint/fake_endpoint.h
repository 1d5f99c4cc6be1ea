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
  // Whether this connection had answered a probe before.
  bool probed = false;
  std::string text;
};

class FakeEndpoint {
 public:
  // Answers one request that is not a probe. Returns false to close the
  // connection.
  using Handler = std::function<bool(const TestSocket&, const std::string&)>;

  FakeEndpoint(Incarnation incarnation, Handler handler);
  ~FakeEndpoint();
  FakeEndpoint(const FakeEndpoint&) = delete;
  FakeEndpoint& operator=(const FakeEndpoint&) = delete;

  std::string address() const;
  // Closes the listener and every connection.
  void Die();
  // Listens again on the same port as a new process.
  void Return(Incarnation incarnation);
  // The requests so far that are not probes.
  std::vector<RecordedRequest> requests() const;
  int probes() const { return probes_; }
  // Replaces the whole reply to a probe; empty for the regular one.
  void SetProbeReply(std::string reply);

 private:
  void Accept();
  void Serve(int connection, const TestSocket& socket);
  std::string ProbeReply() const;

  const Handler handler_;
  std::atomic<std::int64_t> start_ms_;
  std::atomic<bool> dying_{false};
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
