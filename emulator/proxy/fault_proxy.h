// A TCP proxy that injects faults, on one thread with epoll.

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

  // Thread-safe. Returns when the faults are in force.
  void SetFaults(const ProxyFaults& faults);
  ProxyFaults faults() const;
  ProxyCounters counters() const;

 private:
  using Time = std::chrono::steady_clock::time_point;

  // Identifies a connection; the events of its two sockets carry twice this
  // number, plus one for the target.
  using ConnectionNumber = std::uint64_t;

  struct Connection {
    int client = -1;
    // -1 after the target side was closed by the fault half_open.
    int target = -1;
    bool connecting = true;
    // Events that epoll watches for each socket; 0 if it is not watched.
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
  // Moves bytes; closes the connection at its end. Returns false if it is
  // gone.
  bool Pump(ConnectionNumber number);
  bool MoveBytes(Connection* connection, bool* dropped);
  // Returns true if the replies of this connection are to be lost.
  bool TakeDroppedReply();
  void PumpAll();
  void LoseTarget(Connection* connection);
  void Close(ConnectionNumber number, bool reset);
  void CloseAll();
  void UpdateInterest(ConnectionNumber number);
  void Watch(int fd,
             std::uint32_t wanted,
             std::uint32_t* current,
             std::uint64_t tag);
  // When delayed bytes have to be moved next; Time::max() if there are none.
  Time NextDue() const;

  ListenAddress listen_;
  const ListenAddress target_;
  // Bound and never listening; keeps the port while connections are refused.
  int reserved_ = -1;
  int listener_ = -1;
  int epoll_ = -1;
  int wakeup_ = -1;

  // The members up to mutex_ belong to the proxy thread.
  ProxyFaults active_;
  std::uint32_t listener_events_ = 0;
  std::map<ConnectionNumber, Connection> connections_;
  ConnectionNumber last_number_ = 0;
  Time now_;

  mutable std::mutex mutex_;
  std::condition_variable applied_;
  bool stopping_ = false;
  bool change_pending_ = false;
  ProxyFaults wanted_;
  ProxyCounters counters_;

  std::thread thread_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_PROXY_FAULT_PROXY_H_
