// A TCP proxy that injects faults. Single-threaded, based on epoll.

#ifndef EMULATOR_PROXY_FAULT_PROXY_H_
#define EMULATOR_PROXY_FAULT_PROXY_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

#include "emulator/http/http.h"
#include "emulator/proxy/proxy_faults.h"
#include "emulator/proxy/proxy_flow.h"

namespace filbertshift::emulator {

struct ProxyCounters {
  std::uint64_t accepted = 0;
  std::uint64_t open = 0;
  std::uint64_t resets = 0;
  std::uint64_t bytes_to_target = 0;
  std::uint64_t bytes_to_client = 0;
};

class FaultProxy {
 public:
  // Binds the port and starts the thread. Throws std::system_error.
  FaultProxy(ListenAddress listen, ListenAddress target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const ListenAddress& address() const { return listen_; }

  // Thread-safe. Returns when the faults have been applied.
  void SetFaults(const ProxyFaults& faults);
  ProxyFaults faults() const;
  ProxyCounters counters() const;

 private:
  using Time = std::chrono::steady_clock::time_point;

  // Identifies a connection. The epoll tag of the client socket is twice this
  // number, that of the target socket one more.
  using ConnectionNumber = std::uint64_t;

  struct Connection {
    int client = -1;
    // -1 if the fault half_open has closed it or kept it from being opened.
    int target = -1;
    bool connecting = true;
    // Events registered with epoll for each socket; 0 if it is not registered.
    std::uint32_t client_events = 0;
    std::uint32_t target_events = 0;
    ProxyFlow to_target;
    ProxyFlow to_client;
  };

  void Run();
  void Wait();
  void HandleEvent(std::uint64_t tag, std::uint32_t events);
  void ApplyFaults();
  void OpenListener();
  void CloseListener();
  void AcceptAll();
  void Connect(int client);
  // Forwards data in both directions and closes the connection when it has
  // ended or failed. Returns false if the connection was closed.
  bool ProcessConnection(ConnectionNumber number);
  bool TransferBytes(Connection* connection, bool* dropped);
  // Returns true if the reply on this connection must be dropped, and counts
  // it.
  bool ConsumeReplyDrop();
  void ProcessAllConnections();
  void CloseTarget(Connection* connection);
  void Close(ConnectionNumber number, bool reset);
  void CloseAll();
  void UpdateInterest(ConnectionNumber number);
  void Watch(int fd,
             std::uint32_t wanted,
             std::uint32_t* current,
             std::uint64_t tag);
  // Returns the time at which the next delayed block becomes due, or
  // Time::max() if there is none.
  Time NextDue() const;

  ListenAddress listen_;
  const ListenAddress target_;
  // Bound but never listening; keeps the port while connections are refused.
  int reserved_socket_ = -1;
  int listener_ = -1;
  int epoll_fd_ = -1;
  int wakeup_fd_ = -1;

  // The members up to mutex_ are used by the proxy thread only.
  ProxyFaults active_faults_;
  std::uint32_t listener_events_ = 0;
  std::map<ConnectionNumber, Connection> connections_;
  ConnectionNumber last_number_ = 0;
  Time now_;

  mutable std::mutex mutex_;
  std::condition_variable faults_applied_;
  bool stopping_ = false;
  bool change_pending_ = false;
  ProxyFaults requested_faults_;
  ProxyCounters counters_;

  std::thread thread_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_PROXY_FAULT_PROXY_H_
