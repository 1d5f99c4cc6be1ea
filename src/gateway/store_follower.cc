#include "src/gateway/store_follower.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Time for a response in addition to the long-poll wait.
constexpr milliseconds kResponseTimeout{700};
// Delay after a failed call, doubled for each consecutive failure.
constexpr milliseconds kBaseRetryDelay{100};
constexpr int kMaxRetryDoublings = 10;
// Connections to the store are reused regardless of their idle time.
constexpr milliseconds kMaxIdle{3600000};

}  // namespace

std::string_view StoreTableName(StoreTable table) {
  switch (table) {
    case StoreTable::kOperator:
      return "operator";
    case StoreTable::kEndpoints:
      return "endpoints";
    case StoreTable::kInstances:
      return "instances";
  }
  return "instances";
}

StoreFollower::StoreFollower(StoreTable table,
                             milliseconds min_interval,
                             milliseconds changes_wait,
                             std::string store_address,
                             Transport* transport,
                             HttpClient* client,
                             const StoreProtocol& protocol,
                             GatewayMetrics* metrics,
                             StoreEra* era,
                             StoreFollowerListener* listener)
    : table_(table),
      min_interval_(min_interval),
      changes_wait_(changes_wait),
      store_address_(std::move(store_address)),
      transport_(transport),
      client_(client),
      protocol_(protocol),
      metrics_(metrics),
      era_(era),
      listener_(listener) {}

void StoreFollower::Start() {
  Call();
}

void StoreFollower::SetMinInterval(milliseconds interval) {
  bool shorter = interval < min_interval_;
  min_interval_ = interval;
  if (shorter && interval_timer_.has_value()) {
    transport_->Cancel(*interval_timer_);
    interval_timer_.reset();
    Call();
  }
}

void StoreFollower::SetPaused(bool paused) {
  paused_ = paused;
  if (!paused && std::exchange(call_due_, false)) {
    Call();
  }
}

bool StoreFollower::IsOutdated() const {
  return listener_->KnownVersion(table_).era < era_->current();
}

void StoreFollower::StartListing() {
  listing_ = true;
  pages_.rows.clear();
}

void StoreFollower::OnEraRisen() {
  if (calling_ && IsOutdated()) {
    transport_->Cancel(timeout_);
    client_->Cancel(call_);
    calling_ = false;
    StartListing();
    CallAfter(relist_delay_);
  }
}

void StoreFollower::Call() {
  if (paused_) {
    call_due_ = true;
    return;
  }
  if (!listing_ && IsOutdated()) {
    StartListing();
    if (relist_delay_.count() > 0) {
      CallAfter(relist_delay_);
      return;
    }
  }
  StoreRequest request;
  milliseconds timeout = kResponseTimeout;
  if (listing_) {
    if (pages_.rows.empty()) {
      pages_ = TableSnapshot{table_, {}, {}};
    }
    request = protocol_.ListRequest(
        table_, pages_.rows.empty() ? std::string() : pages_.rows.back().key);
  } else {
    request = protocol_.ChangesRequest(
        table_, listener_->KnownVersion(table_).number, changes_wait_);
    timeout += changes_wait_;
  }
  head_ = HttpResponseHead();
  body_.clear();
  called_at_ = transport_->Now();
  calling_ = true;
  call_ = client_->Start(store_address_,
                         SerializeRequestHead(request.head) + request.body,
                         kMaxIdle, this);
  timeout_ = transport_->After(timeout, [this] {
    client_->Cancel(call_);
    calling_ = false;
    RetryAfterError("timeout");
  });
}

HeadDecision StoreFollower::OnHead(CallId /*call*/,
                                   const HttpResponseHead& head) {
  head_ = head;
  return HeadDecision::kAccept;
}

void StoreFollower::OnBody(CallId /*call*/, std::string_view data) {
  body_.append(data);
}

void StoreFollower::OnComplete(CallId /*call*/) {
  transport_->Cancel(timeout_);
  calling_ = false;
  if (CheckEra()) {
    HandleResponse();
  }
}

void StoreFollower::OnFailed(CallId /*call*/,
                             CallFailure /*failure*/,
                             std::string_view detail) {
  transport_->Cancel(timeout_);
  calling_ = false;
  RetryAfterError(detail);
}

bool StoreFollower::CheckEra() {
  if (!era_->Observe(head_)) {
    RetryAfterError("earlier era");
    return false;
  }
  bool same_list =
      listing_ && (pages_.rows.empty() || pages_.as_of.era == era_->current());
  if (same_list || !IsOutdated()) {
    return true;
  }
  StartListing();
  CallAfter(relist_delay_);
  return false;
}

void StoreFollower::HandleResponse() {
  if (head_.status == kStoreHistoryLost) {
    metrics_->CountStoreCall(StoreTableName(table_), "history_lost");
    listener_->OnHistoryLost(table_);
    StartListing();
    // Once in a while, the store drops its history; again and again only in
    // trouble.
    CallAfter(consecutive_losses_ == 0 ? milliseconds(0)
                                       : RetryDelay(consecutive_losses_ - 1));
    ++consecutive_losses_;
    return;
  }
  if (head_.status != kStoreOk) {
    RetryAfterError(fmt::format("status {}", head_.status));
    return;
  }
  RowsResponse response;
  try {
    response = protocol_.DecodeRows(body_);
  } catch (const FindingsError& error) {
    RetryAfterError(error.what());
    return;
  }
  response.as_of.era = era_->current();
  metrics_->CountStoreCall(StoreTableName(table_), "ok");
  listener_->OnStoreTime(response.store_time);
  if (listing_) {
    HandleListPage(std::move(response));
  } else {
    HandleChanges(response);
  }
}

void StoreFollower::HandleListPage(RowsResponse response) {
  // Pages are read at different versions; changes are polled from the first
  // page's version, so that none is missed.
  if (pages_.rows.empty()) {
    pages_.as_of = response.as_of;
  }
  pages_.rows.insert(pages_.rows.end(),
                     std::make_move_iterator(response.rows.begin()),
                     std::make_move_iterator(response.rows.end()));
  if (response.has_more && !response.rows.empty()) {
    Call();
    return;
  }
  listing_ = false;
  if (!listener_->OnTable(
          std::exchange(pages_, TableSnapshot{table_, {}, {}}))) {
    metrics_->CountStoreCall(StoreTableName(table_), "refused_snapshot");
    // The changes after the known version would be lost again.
    RetryAfterError("older snapshot");
    return;
  }
  CallAfter(milliseconds(0));
}

void StoreFollower::HandleChanges(const RowsResponse& response) {
  consecutive_errors_ = 0;
  consecutive_losses_ = 0;
  listener_->OnChanges(table_, response);
  auto elapsed = transport_->Now() - called_at_;
  milliseconds remaining = duration_cast<milliseconds>(min_interval_ - elapsed);
  interval_timer_ =
      transport_->After(std::max(remaining, milliseconds(1)), [this] {
        interval_timer_.reset();
        Call();
      });
}

void StoreFollower::RetryAfterError(std::string_view detail) {
  metrics_->CountStoreCall(StoreTableName(table_), "failed");
  listener_->OnStoreError(table_, detail);
  pages_.rows.clear();
  CallAfter(RetryDelay(consecutive_errors_));
  ++consecutive_errors_;
}

milliseconds StoreFollower::RetryDelay(int earlier) const {
  int doublings = std::min(earlier, kMaxRetryDoublings);
  return std::min(kBaseRetryDelay * (1 << doublings), max_retry_delay_);
}

void StoreFollower::CallAfter(milliseconds delay) {
  transport_->After(std::max(delay, milliseconds(1)), [this] { Call(); });
}

}  // namespace filbertshift
