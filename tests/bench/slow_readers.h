// Load of peers that read slowly, on both sides of an instance: callers of
// streams and of large answers that read a few bytes now and then, and
// endpoints that do so with large bodies.

#ifndef TESTS_BENCH_SLOW_READERS_H_
#define TESTS_BENCH_SLOW_READERS_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/net/net.h"
#include "tests/soak/slow_peers.h"

namespace filbertshift {

// What the process has resident now; 0 if it has ended.
std::int64_t ResidentBytes(int process);

struct SocketBytes {
  // Arrived and not read by the process.
  std::int64_t unread = 0;
  // Written by the process and not acknowledged by its peer.
  std::int64_t unsent = 0;
};

// Of all connections with one of these local ports, or of these remote ports.
SocketBytes BytesInSockets(const std::set<int>& local_ports,
                           const std::set<int>& remote_ports);

// Counts what its callers and endpoints saw.
class SlowReaderLoad {
 public:
  SlowReaderLoad(TcpLoop* loop, int caller_port);
  ~SlowReaderLoad();
  // Ports on which the endpoints of the services "flow" and "slow" listen.
  int flow_port() const { return flow_port_; }
  std::vector<int> slow_ports() const;
  void Start();
  // Prints what was seen. Returns whether each light stream goes on, each
  // upload was answered, and no refused one was seen by an endpoint.
  bool Report() const;

 private:
  class Upload;

  void ReadOften();

  TcpLoop* const loop_;
  const int caller_port_;
  FlowEndpoint flow_;
  int flow_port_ = 0;
  std::vector<SlowEndpoint> slow_;
  // Ids of the uploads that slow endpoints have begun to read.
  std::set<std::string> seen_;
  std::vector<SlowCaller> light_;
  std::vector<SlowCaller> heavy_;
  std::vector<SlowCaller> large_;
  std::vector<std::unique_ptr<Upload>> uploads_;
};

}  // namespace filbertshift

#endif  // TESTS_BENCH_SLOW_READERS_H_
