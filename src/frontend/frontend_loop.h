// The event loop of the caller adapter: commands of the core, libmicrohttpd in
// external polling mode, and hang-ups of callers that wait.

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

struct AnswerBody {
  std::string bytes;
};
struct AnswerEnd {};
struct AnswerAbort {};
// Wakes the thread up, so that it looks at its flags.
struct WakeUp {};

struct FrontendCommand {
  CallerId caller{};
  std::variant<AnswerHead, AnswerBody, AnswerEnd, AnswerAbort, WakeUp> action;
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

  // Runs until a stop, or until a drain is complete.
  void Run();

  // Any thread. A command that finds the ring full cuts its caller, because
  // the answer would have a gap.
  void Submit(FrontendCommand command);
  void RequestDrain();
  void RequestStop();
  const std::string& bound_address() const { return bound_address_; }

  // Callbacks of libmicrohttpd.
  CallerExchange* OnRequestLine(const char* target, MHD_Connection* connection);
  MHD_Result OnRequest(CallerExchange* exchange,
                       const char* method,
                       const char* upload,
                       std::size_t* upload_size);
  ssize_t OnReadAnswer(CallerExchange* exchange, char* buffer, std::size_t max);
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
  void Apply(CallerExchange* exchange, AnswerHead head);
  void Apply(CallerExchange* exchange, AnswerBody body);
  void Apply(CallerExchange* exchange, AnswerEnd end);
  void Apply(CallerExchange* exchange, AnswerAbort abort);
  void Apply(CallerExchange* exchange, WakeUp wake_up);
  void CutOverflowed();

  MHD_Result BeginRequest(CallerExchange* exchange);
  MHD_Result AddUpload(CallerExchange* exchange, std::string_view bytes);
  MHD_Result EndRequest(CallerExchange* exchange, const char* method);
  MHD_Result HandOver(CallerExchange* exchange, const char* method);
  MHD_Result Answer(CallerExchange* exchange);
  MHD_Result AnswerError(CallerExchange* exchange, const CallerError& error);
  MHD_Result Queue(CallerExchange* exchange,
                   int http_status,
                   MHD_Response* response);
  void Refuse(CallerExchange* exchange, CallerError error);

  void CheckSlowSenders();
  void CutSlowSender(CallerExchange* exchange);
  void HandleHangUp(CallerId caller);
  // Cuts the connection and tells the core, if it waits.
  void Drop(CallerExchange* exchange);
  void ReportGone(CallerExchange* exchange);
  void Suspend(CallerExchange* exchange);
  void Resume(CallerExchange* exchange);

  const FrontendOptions options_;
  CoreRing& core_ring_;
  const Clock& clock_;
  EventLog& log_;
  BoundedRing<FrontendCommand> commands_;
  std::atomic<bool> drain_requested_{false};
  std::atomic<bool> stop_requested_{false};
  std::mutex overflow_mutex_;
  // Callers whose command was lost because the ring was full.
  std::unordered_set<CallerId> overflowed_;
  std::atomic<bool> has_overflowed_{false};

  std::string bound_address_;
  int epoll_fd_ = -1;
  int daemon_fd_ = -1;
  bool draining_ = false;
  std::uint64_t next_caller_ = 1;
  std::size_t connection_count_ = 0;
  TimePoint next_check_;
  // CallerDisconnected messages for which the core's ring had no room.
  std::deque<CoreMessage> outbox_;
  // Invariant: the daemon refers to entries only between OnRequestLine and
  // OnCompleted of the same exchange.
  std::unordered_map<CallerId, CallerExchange> exchanges_;
  // Declared last, so that exchanges outlive it.
  std::unique_ptr<MHD_Daemon, DaemonDeleter> daemon_;
};

}  // namespace filbertshift

#endif  // SRC_FRONTEND_FRONTEND_LOOP_H_
