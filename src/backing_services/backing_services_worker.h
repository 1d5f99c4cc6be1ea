// The thread that calls the backing services with one libcurl multi handle.

#ifndef SRC_BACKING_SERVICES_BACKING_SERVICES_WORKER_H_
#define SRC_BACKING_SERVICES_BACKING_SERVICES_WORKER_H_

#include <curl/curl.h>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/backing_services/backing_service_requests.h"
#include "src/backing_services/backing_services.h"
#include "src/backing_services/http_transfer.h"

namespace filbertshift {

class BackingServicesClient::Worker {
 public:
  // Throws std::runtime_error if the thread or the multi handle cannot be
  // created.
  Worker(BackingServicesOptions options, CoreRing& core, EventLog& log);
  ~Worker();

  // Thread-safe. Returns false when max_pending calls are in progress.
  bool Enqueue(OperationId operation,
               decltype(BackingServiceCall::detail) detail);

 private:
  struct DeleteMulti {
    void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
  };
  struct RunningCall {
    BackingServiceCall call;
    std::unique_ptr<HttpTransfer> transfer;
  };

  void Run();
  void StartQueuedCalls();
  void PollInstanceList();
  void FinishTransfers();
  bool DeliverReplies();

  void Start(BackingServiceCall call);
  // Ends a call that cannot be sent.
  void FailUnsent(const BackingServiceCall& call, const std::string& reason);

  void Finish(BackingServiceCall call, const HttpResult& result);
  void FinishRows(BackingServiceCall call, const HttpResult& result);
  void FinishQuery(BackingServiceCall call, const HttpResult& result);
  void FinishObject(const BackingServiceCall& call, const HttpResult& result);
  void FinishRating(const BackingServiceCall& call, const HttpResult& result);
  void FinishInstances(const HttpResult& result);
  void Reply(CoreMessage message);

  const BackingServicesOptions options_;
  CoreRing& core_;
  EventLog& log_;
  BoundedRing<BackingServiceCall> calls_;
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
  // What was last logged about entries that were ignored.
  std::string entry_findings_;

  std::thread thread_;
};

}  // namespace filbertshift

#endif  // SRC_BACKING_SERVICES_BACKING_SERVICES_WORKER_H_
