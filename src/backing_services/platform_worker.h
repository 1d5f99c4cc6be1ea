// The thread that calls the backing services with one libcurl multi handle.

#ifndef SRC_BACKING_SERVICES_PLATFORM_WORKER_H_
#define SRC_BACKING_SERVICES_PLATFORM_WORKER_H_

#include <curl/curl.h>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/backing_services/backing_services.h"
#include "src/backing_services/http_transfer.h"
#include "src/backing_services/platform_requests.h"

namespace filbertshift {

class PlatformClient::Worker {
 public:
  // Throws std::runtime_error if the thread or the multi handle cannot be
  // created.
  Worker(PlatformOptions options, CoreRing& core, EventLog& log);
  ~Worker();

  // Thread-safe. Returns false when max_pending calls are in progress.
  bool Enqueue(OperationId operation, decltype(PlatformCall::detail) detail);

 private:
  struct DeleteMulti {
    void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
  };
  struct RunningCall {
    PlatformCall call;
    std::unique_ptr<HttpTransfer> transfer;
  };

  void Run();
  void StartQueuedCalls();
  void PollInstanceList();
  void FinishTransfers();
  bool DeliverReplies();

  void Start(PlatformCall call);
  // Ends a call that cannot be sent.
  void FailUnsent(const PlatformCall& call, const std::string& reason);

  void Finish(PlatformCall call, const HttpResult& result);
  void FinishRows(PlatformCall call, const HttpResult& result);
  void FinishQuery(PlatformCall call, const HttpResult& result);
  void FinishObject(const PlatformCall& call, const HttpResult& result);
  void FinishRating(const PlatformCall& call, const HttpResult& result);
  void FinishInstances(const HttpResult& result);
  void Reply(CoreMessage message);

  const PlatformOptions options_;
  CoreRing& core_;
  EventLog& log_;
  BoundedRing<PlatformCall> calls_;
  // Accepted calls whose reply is not yet in the core's ring.
  std::atomic<std::size_t> pending_{0};
  std::atomic<bool> stopping_{false};

  // The members below are only used by the thread. The running transfers are
  // declared after the multi handle and are removed from it before they are
  // destroyed.
  std::unique_ptr<CURLM, DeleteMulti> multi_;
  std::map<CURL*, RunningCall> running_calls_;
  // Replies that are queued until the core's ring has room.
  std::deque<CoreMessage> replies_;
  TimePoint next_instance_poll_;
  bool instance_poll_running_ = false;
  bool instance_list_ok_ = true;

  std::thread thread_;
};

}  // namespace filbertshift

#endif  // SRC_BACKING_SERVICES_PLATFORM_WORKER_H_
