// The event loop of the caller adapter. It processes the commands of the core,
// runs libmicrohttpd in external polling mode, and detects callers that
// disconnect while they wait for a response.

#ifndef SRC_FRONTEND_FRONTEND_LOOP_H_
#define SRC_FRONTEND_FRONTEND_LOOP_H_

#include <microhttpd.h>

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>

#include "src/frontend/caller_exchange.h"
#include "src/frontend/frontend.h"

namespace filbertshift {

struct ResponseBody {
  std::string bytes;
};
struct ResponseEnd {};
struct ResponseAbort {};
// Wakes the thread so that it checks its flags.
struct WakeUp {};

struct FrontendCommand {
  CallerId caller{};
  std::variant<ResponseHead, ResponseBody, ResponseEnd, ResponseAbort, WakeUp>
      action;
};

struct DaemonDeleter {
  void operator()(MHD_Daemon* daemon) const { MHD_stop_daemon(daemon); }
};

class FrontendLoop {
 public:
  FrontendLoop(const FrontendOptions& options,
               CoreRing& core_ring,
               const Clock& clock,
               EventLog& log);
  ~FrontendLoop();
  FrontendLoop(const FrontendLoop&) = delete;
  FrontendLoop& operator=(const FrontendLoop&) = delete;

  // Runs until a stop is requested or a drain is complete.
  void Run();

  // Thread-safe. If the ring is full, the command is lost and the connection of
  // its caller is closed, because the response would have a gap.
  void Submit(FrontendCommand command);
  // Thread-safe.
  void RequestDrain();
  // Thread-safe.
  void RequestStop();
  // Thread-safe.
  bool has_ended() const { return ended_; }
  const std::string& bound_address() const { return bound_address_; }

  // Callbacks of libmicrohttpd.
  CallerExchange* OnRequestLine(const char* target, MHD_Connection* connection);
  MHD_Result OnRequest(CallerExchange* exchange,
                       const char* method,
                       const char* upload,
                       std::size_t* upload_size);
  ssize_t OnReadResponse(CallerExchange* exchange,
                         char* buffer,
                         std::size_t max_bytes);
  void OnCompleted(CallerExchange* exchange, MHD_RequestTerminationCode code);
  void OnConnection(bool opened);

 private:
  void StartDaemon();
  void PollOnce();
  int PollTimeout() const;
  void RunDaemon();
  void Watch(int descriptor, unsigned events);
  void FlushOutbox();
  void CheckFlags();

  void RunCommands();
  void Apply(CallerExchange* exchange, ResponseHead head);
  void Apply(CallerExchange* exchange, ResponseBody body);
  void Apply(CallerExchange* exchange, ResponseEnd end);
  void Apply(CallerExchange* exchange, ResponseAbort abort);
  void Apply(CallerExchange* exchange, WakeUp wake_up);
  void CloseOverflowed();

  MHD_Result BeginRequest(CallerExchange* exchange);
  MHD_Result AddUpload(CallerExchange* exchange, std::string_view bytes);
  MHD_Result EndRequest(CallerExchange* exchange, const char* method);
  MHD_Result ForwardToCore(CallerExchange* exchange, const char* method);
  MHD_Result StartResponse(CallerExchange* exchange);
  MHD_Result RespondWithError(CallerExchange* exchange,
                              const CallerError& error);
  MHD_Result QueueResponse(CallerExchange* exchange,
                           int http_status,
                           MHD_Response* response);
  void RejectRequest(CallerExchange* exchange, CallerError error);

  void CheckSlowSenders();
  void TimeOutSlowSender(CallerExchange* exchange);
  void HandleDisconnect(CallerId caller);
  // Closes the connection and notifies the core if it is serving the request.
  void CloseConnection(CallerExchange* exchange);
  void ReportDisconnected(CallerExchange* exchange);
  void Suspend(CallerExchange* exchange);
  void Resume(CallerExchange* exchange);

  const FrontendOptions options_;
  CoreRing& core_ring_;
  const Clock& clock_;
  EventLog& log_;
  BoundedRing<FrontendCommand> commands_;
  std::atomic<bool> drain_requested_{false};
  std::atomic<bool> ended_{false};
  std::atomic<bool> stop_requested_{false};
  std::mutex overflow_mutex_;
  // Callers for which a command was lost because the ring was full.
  std::unordered_set<CallerId> overflowed_;
  std::atomic<bool> has_overflowed_{false};

  std::string bound_address_;
  int epoll_fd_ = -1;
  int daemon_fd_ = -1;
  bool draining_ = false;
  std::uint64_t next_caller_ = 1;
  std::size_t connection_count_ = 0;
  TimePoint next_timeout_check_;
  // CallerDisconnected messages that did not fit into the core's ring yet.
  std::deque<CoreMessage> outbox_;
  // Invariant: the daemon holds a pointer to an entry only between the
  // OnRequestLine and OnCompleted calls for it.
  std::unordered_map<CallerId, CallerExchange> exchanges_;
  // Declared last so that it is destroyed before the exchanges it points to.
  std::unique_ptr<MHD_Daemon, DaemonDeleter> daemon_;
};

}  // namespace filbertshift

#endif  // SRC_FRONTEND_FRONTEND_LOOP_H_
