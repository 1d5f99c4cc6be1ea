#include "src/backing_services/backing_services_worker.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "src/backing_services/backing_service_requests.h"
#include "src/backing_services/instance_list_format.h"
#include "src/backing_services/table_protocol.h"

namespace filbertshift {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kMaxPollWait{50};
// Delay between attempts to push to the core's ring while it is full.
constexpr std::chrono::milliseconds kFullRingWait{1};
// Limits of the rounds of a read that leave keys unprocessed, and of the pages
// of a scan. A call that reaches its limit before it is complete fails.
constexpr int kMaxReadRounds = 8;
constexpr int kMaxScanPages = 1000;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

// Keeps the `limit` rows with the lowest keys and one more, whose presence
// shows that the result has been truncated.
void KeepLowest(std::size_t limit, std::vector<TableRow>* rows) {
  std::sort(rows->begin(), rows->end(),
            [](const TableRow& a, const TableRow& b) { return a.key < b.key; });
  if (rows->size() > limit + 1) {
    rows->resize(limit + 1);
  }
}

}  // namespace

BackingServicesClient::Worker::Worker(BackingServicesOptions options,
                                      CoreRing& core,
                                      EventLog& log)
    : options_(std::move(options)),
      core_(core),
      log_(log),
      calls_(options_.max_pending),
      multi_(curl_multi_init()),
      next_instance_poll_(Now()) {
  if (!multi_) {
    throw std::runtime_error("curl_multi_init failed");
  }
  // libcurl queues transfers beyond the limit; the time in its queue counts
  // towards their timeout.
  curl_multi_setopt(multi_.get(), CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(options_.max_parallel));
  curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS,
                    static_cast<long>(options_.max_parallel * 4));
  thread_ = std::thread([this] { Run(); });
}

BackingServicesClient::Worker::~Worker() {
  stopping_ = true;
  curl_multi_wakeup(multi_.get());
  thread_.join();
  for (auto& [handle, running] : running_calls_) {
    curl_multi_remove_handle(multi_.get(), handle);
  }
  running_calls_.clear();
}

bool BackingServicesClient::Worker::Enqueue(
    OperationId operation,
    decltype(BackingServiceCall::detail) detail) {
  if (pending_.fetch_add(1) >= options_.max_pending) {
    pending_.fetch_sub(1);
    return false;
  }
  BackingServiceCall call;
  call.operation = operation;
  call.deadline = Now() + options_.timeout;
  call.detail = std::move(detail);
  if (!calls_.TryPush(std::move(call))) {
    pending_.fetch_sub(1);
    return false;
  }
  return true;
}

void BackingServicesClient::Worker::Run() {
  while (!stopping_) {
    // Sockets are not read while the core's ring is full.
    if (!DeliverReplies()) {
      std::this_thread::sleep_for(kFullRingWait);
      continue;
    }
    StartQueuedCalls();
    PollInstanceList();
    int running = 0;
    curl_multi_perform(multi_.get(), &running);
    FinishTransfers();
    if (!replies_.empty()) {
      continue;
    }
    curl_waitfd descriptor{calls_.event_fd(), CURL_WAIT_POLLIN, 0};
    curl_multi_poll(multi_.get(), &descriptor, 1,
                    static_cast<int>(kMaxPollWait.count()), nullptr);
  }
}

void BackingServicesClient::Worker::StartQueuedCalls() {
  std::vector<BackingServiceCall> calls;
  calls_.PopAll(&calls);
  for (BackingServiceCall& call : calls) {
    Start(std::move(call));
  }
}

void BackingServicesClient::Worker::PollInstanceList() {
  const TimePoint now = Now();
  if (instance_poll_running_ || now < next_instance_poll_ ||
      options_.instance_list_address.empty()) {
    return;
  }
  instance_poll_running_ = true;
  next_instance_poll_ = now + options_.instance_list_poll_interval;
  BackingServiceCall call;
  call.deadline = now + options_.timeout;
  call.detail = ReadInstancesCall();
  Start(std::move(call));
}

void BackingServicesClient::Worker::FinishTransfers() {
  int waiting = 0;
  while (CURLMsg* message = curl_multi_info_read(multi_.get(), &waiting)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    CURL* handle = message->easy_handle;
    const CURLcode code = message->data.result;
    curl_multi_remove_handle(multi_.get(), handle);
    auto found = running_calls_.find(handle);
    RunningCall finished = std::move(found->second);
    running_calls_.erase(found);
    Finish(std::move(finished.call), finished.transfer->TakeResult(code));
  }
}

bool BackingServicesClient::Worker::DeliverReplies() {
  while (!replies_.empty()) {
    const bool counted =
        !std::holds_alternative<InstanceListRead>(replies_.front());
    if (!core_.TryPush(std::move(replies_.front()))) {
      return false;
    }
    replies_.pop_front();
    if (counted) {
      pending_.fetch_sub(1);
    }
  }
  return true;
}

void BackingServicesClient::Worker::Start(BackingServiceCall call) {
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - Now());
  if (remaining.count() <= 0) {
    FailUnsent(call, "the timeout passed before the call was sent");
    return;
  }
  try {
    HttpRequest request = MakeRequest(options_, call);
    request.timeout = remaining;
    auto transfer = std::make_unique<HttpTransfer>(std::move(request));
    CURL* handle = transfer->handle();
    if (curl_multi_add_handle(multi_.get(), handle) != CURLM_OK) {
      FailUnsent(call, "curl_multi_add_handle failed");
      return;
    }
    running_calls_.emplace(handle,
                           RunningCall{std::move(call), std::move(transfer)});
  } catch (const std::exception& error) {
    FailUnsent(call, error.what());
  }
}

void BackingServicesClient::Worker::FailUnsent(const BackingServiceCall& call,
                                               const std::string& reason) {
  HttpResult unsent;
  unsent.detail = reason;
  Finish(call, unsent);
}

void BackingServicesClient::Worker::Finish(BackingServiceCall call,
                                           const HttpResult& result) {
  if (std::holds_alternative<TransactCall>(call.detail)) {
    TableReply reply = DecodeTransaction(result);
    reply.operation = call.operation;
    Reply(std::move(reply));
  } else if (std::holds_alternative<GetRowsCall>(call.detail)) {
    FinishRows(std::move(call), result);
  } else if (std::holds_alternative<QueryCall>(call.detail)) {
    FinishQuery(std::move(call), result);
  } else if (std::holds_alternative<RateCall>(call.detail)) {
    FinishRating(call, result);
  } else if (std::holds_alternative<ReadInstancesCall>(call.detail)) {
    FinishInstances(result);
  } else {
    FinishObject(call, result);
  }
}

void BackingServicesClient::Worker::FinishRows(BackingServiceCall call,
                                               const HttpResult& result) {
  auto& get = std::get<GetRowsCall>(call.detail);
  ReadPage page = DecodeBatchGet(options_.table_name, result);
  TableReply reply;
  reply.operation = call.operation;
  reply.outcome = page.outcome;
  reply.detail = std::move(page.detail);
  if (page.outcome == TableOutcome::kOk) {
    std::move(page.rows.begin(), page.rows.end(), std::back_inserter(get.rows));
    const std::size_t requested = std::min(get.keys.size(), kMaxBatchGetKeys);
    get.keys.erase(get.keys.begin(),
                   get.keys.begin() + static_cast<std::ptrdiff_t>(requested));
    get.keys.insert(get.keys.end(), page.unprocessed.begin(),
                    page.unprocessed.end());
    get.rounds += page.unprocessed.empty() ? 0 : 1;
    if (!get.keys.empty() && get.rounds < kMaxReadRounds) {
      Start(std::move(call));
      return;
    }
    if (!get.keys.empty()) {
      reply.outcome = TableOutcome::kNotApplied;
      reply.detail = "the service left keys unprocessed";
    } else {
      reply.rows = std::move(get.rows);
    }
  }
  Reply(std::move(reply));
}

void BackingServicesClient::Worker::FinishQuery(BackingServiceCall call,
                                                const HttpResult& result) {
  auto& query = std::get<QueryCall>(call.detail);
  ReadPage page = DecodeScan(result);
  TableReply reply;
  reply.operation = call.operation;
  reply.outcome = page.outcome;
  reply.detail = std::move(page.detail);
  if (page.outcome == TableOutcome::kOk) {
    std::move(page.rows.begin(), page.rows.end(),
              std::back_inserter(query.rows));
    // The service does not scan in key order, so every page must be read.
    KeepLowest(query.limit, &query.rows);
    query.start_key = page.last_key;
    ++query.pages;
    if (!query.start_key.empty() && query.pages < kMaxScanPages) {
      Start(std::move(call));
      return;
    }
    if (!query.start_key.empty()) {
      reply.outcome = TableOutcome::kNotApplied;
      reply.detail = "the scan has too many pages";
    } else {
      reply.has_more = query.rows.size() > query.limit;
      query.rows.resize(std::min(query.rows.size(), query.limit));
      reply.rows = std::move(query.rows);
    }
  }
  Reply(std::move(reply));
}

void BackingServicesClient::Worker::FinishObject(const BackingServiceCall& call,
                                                 const HttpResult& result) {
  ObjectReply reply;
  reply.operation = call.operation;
  reply.detail = result.detail;
  if (result.complete) {
    if (result.status == 200 || result.status == 204) {
      reply.outcome = ObjectOutcome::kOk;
      reply.bytes = result.body;
    } else if (result.status == 404) {
      reply.outcome = ObjectOutcome::kMissing;
    } else {
      reply.detail = "status " + std::to_string(result.status);
    }
  }
  Reply(std::move(reply));
}

void BackingServicesClient::Worker::FinishRating(const BackingServiceCall& call,
                                                 const HttpResult& result) {
  RatingReply reply;
  reply.operation = call.operation;
  if (result.complete && result.status == 200) {
    try {
      reply.score = ToNumber(ParseJson(result.body).at("score"), 0, 1);
      reply.ok = true;
    } catch (const std::exception&) {
      // A rating that cannot be read is none.
    }
  }
  Reply(reply);
}

void BackingServicesClient::Worker::FinishInstances(const HttpResult& result) {
  instance_poll_running_ = false;
  InstanceListRead list;
  if (result.complete && result.status == 200) {
    list = DecodeInstanceList(result.body);
  } else {
    list.detail = result.complete ? "status " + std::to_string(result.status)
                                  : result.detail;
  }
  if (instance_list_ok_ && !list.ok) {
    log_.Write(EventId::kInstanceListStale, list.detail);
  }
  if (list.ok && !list.detail.empty() && list.detail != entry_findings_) {
    log_.Write(EventId::kInstanceEntriesIgnored, list.detail);
  }
  if (list.ok) {
    entry_findings_ = list.detail;
  }
  instance_list_ok_ = list.ok;
  Reply(std::move(list));
}

void BackingServicesClient::Worker::Reply(CoreMessage message) {
  replies_.push_back(std::move(message));
}

}  // namespace filbertshift
