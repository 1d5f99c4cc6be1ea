// The event loop of the endpoint adapter. It processes the commands of the
// core, the sockets of libcurl and the idle connections on one epoll
// descriptor.

#ifndef SRC_ENDPOINT_ENDPOINT_LOOP_H_
#define SRC_ENDPOINT_ENDPOINT_LOOP_H_

#include <curl/curl.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "src/endpoint/connection_table.h"
#include "src/endpoint/endpoint.h"
#include "src/endpoint/transfer.h"

namespace filbertshift {

struct CancelCommand {
  AttemptId attempt;
};
struct ProbeCommand {
  EndpointId endpoint;
  std::string address;
  std::chrono::milliseconds timeout{0};
};
struct ForgetCommand {
  EndpointId endpoint;
};
struct StopCommand {};

using EndpointCommand = std::variant<AttemptSpec,
                                     CancelCommand,
                                     ProbeCommand,
                                     ForgetCommand,
                                     StopCommand>;

// Whether `address` is an IP address and a port. Anything else could make
// libcurl resolve a host name or parse part of the address as another URL
// component.
bool IsTcpAddress(const std::string& address);

struct MultiDeleter {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

class EndpointLoop {
 public:
  EndpointLoop(const EndpointClientOptions& options,
               CoreRing& core_ring,
               const Clock& clock);
  ~EndpointLoop();
  EndpointLoop(const EndpointLoop&) = delete;
  EndpointLoop& operator=(const EndpointLoop&) = delete;

  // Runs until a StopCommand arrives.
  void Run();

  // Thread-safe.
  BoundedRing<EndpointCommand>& commands() { return commands_; }
  // Thread-safe. Reserves one of `max_attempts`; returns false if none is free.
  bool ReserveAttempt();
  void ReleaseAttempt() { --attempt_count_; }

  // Callbacks of libcurl. Those that return bool abort the transfer by
  // returning false.
  bool OnHeaderLine(Transfer* transfer, std::string_view line);
  bool OnBody(Transfer* transfer, std::string_view bytes);
  bool OnBeforeWrite(Transfer* transfer, int local_port);
  bool OnProgress(Transfer* transfer);
  int OnOpenSocket(Transfer* transfer, const curl_sockaddr& address);
  void OnCloseSocket(int descriptor);
  void OnWatchSocket(int descriptor, int what);
  void OnTimer(long timeout_ms);

 private:
  struct Attempt {
    AttemptSpec spec;
    // The current transfer of the attempt.
    TransferId transfer = TransferId::kNone;
    // When the search for a verified connection ends.
    TimePoint connect_deadline;
    int verification_count = 0;
    bool sent = false;
  };

  void Push(CoreMessage message);
  bool FlushOutbox();
  void PollOnce();
  int PollTimeout() const;
  void HandleEvent(int descriptor, unsigned events);
  void RunTimers();
  void SetWatch(int descriptor, unsigned events);

  void RunCommands();
  void Execute(AttemptSpec spec);
  void Execute(const CancelCommand& command);
  void Execute(const ProbeCommand& command);
  void Execute(const ForgetCommand& command);
  void Execute(const StopCommand& command);

  Transfer* AddTransfer(TransferKind kind,
                        const EndpointId& endpoint,
                        const std::string& address);
  void StartTransfer(Transfer* transfer);
  // Removes the transfer from libcurl and marks its connection as idle.
  void EndTransfer(Transfer* transfer);
  void CollectFinished();
  void Finish(Transfer* transfer, CURLcode result);

  void StartSend(Attempt* attempt);
  void StartVerification(Attempt* attempt);
  void FinishSend(Transfer* transfer, CURLcode result);
  void FinishVerification(Transfer* transfer,
                          ProbeResult probe,
                          CURLcode result);
  void FinishSentAttempt(Transfer* transfer, Attempt* attempt, CURLcode result);
  void EndAttempt(Attempt* attempt, AttemptOutcome outcome, std::string detail);

  // Evaluates the response to a probe and marks its connection as verified.
  void DropAfterUnnamedRefusal(const Transfer& transfer);
  ProbeResult EvaluateProbe(Transfer* transfer, CURLcode result);
  void MarkVerified(const Transfer& transfer, Incarnation incarnation);
  void MakeIdle(int descriptor);
  void HandleIdleReadable(Connection* connection);
  void ReportLost(const EndpointId& endpoint, Incarnation incarnation);

  const EndpointClientOptions options_;
  CoreRing& core_ring_;
  const Clock& clock_;
  BoundedRing<EndpointCommand> commands_;
  std::atomic<std::size_t> attempt_count_{0};
  int epoll_fd_ = -1;
  bool stopping_ = false;
  // Messages that did not fit into the core's ring yet. While there are any, no
  // socket is read.
  std::deque<CoreMessage> outbox_;
  // When libcurl's timer expires.
  std::optional<TimePoint> timer_;
  std::uint64_t next_transfer_ = 1;
  ConnectionTable connections_;
  // Invariant: each attempt has exactly one transfer, and each transfer that
  // is not a probe belongs to an attempt.
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::unordered_map<TransferId, Transfer> transfers_;
  // Declared last so that it closes its connections before the table is
  // destroyed.
  std::unique_ptr<CURLM, MultiDeleter> multi_;
};

}  // namespace filbertshift

#endif  // SRC_ENDPOINT_ENDPOINT_LOOP_H_
