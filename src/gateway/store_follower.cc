#include "src/gateway/store_follower.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Time for an answer beyond the wait.
constexpr milliseconds kAnswerTimeout{700};
// Pause after a failed call, doubled with each one in a row.
constexpr milliseconds kRetryBase{100};
constexpr int kMaxRetryDoublings = 3;
// A kept connection is used again whatever its age.
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
                             StoreFollowerListener* listener)
    : table_(table),
      min_interval_(min_interval),
      changes_wait_(changes_wait),
      store_address_(std::move(store_address)),
      transport_(transport),
      client_(client),
      protocol_(protocol),
      metrics_(metrics),
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

void StoreFollower::Call() {
  if (paused_) {
    call_due_ = true;
    return;
  }
  StoreRequest request;
  milliseconds timeout = kAnswerTimeout;
  if (listing_) {
    if (pages_.rows.empty()) {
      pages_ = TableSnapshot{table_, 0, {}};
    }
    request = protocol_.ListRequest(
        table_, pages_.rows.empty() ? std::string() : pages_.rows.back().key);
  } else {
    request = protocol_.ChangesRequest(table_, listener_->KnownVersion(table_),
                                       changes_wait_);
    timeout += changes_wait_;
  }
  status_ = 0;
  body_.clear();
  called_at_ = transport_->Now();
  call_ = client_->Start(store_address_,
                         SerializeRequestHead(request.head) + request.body,
                         kMaxIdle, this);
  timeout_ = transport_->After(timeout, [this] {
    client_->Cancel(call_);
    Trouble("timeout");
  });
}

HeadDecision StoreFollower::OnHead(CallId /*call*/,
                                   const HttpResponseHead& head) {
  status_ = head.status;
  return HeadDecision::kTake;
}

void StoreFollower::OnBody(CallId /*call*/, std::string_view data) {
  body_.append(data);
}

void StoreFollower::OnComplete(CallId /*call*/) {
  transport_->Cancel(timeout_);
  TakeAnswer();
}

void StoreFollower::OnFailed(CallId /*call*/,
                             CallFailure /*failure*/,
                             std::string_view detail) {
  transport_->Cancel(timeout_);
  Trouble(detail);
}

void StoreFollower::TakeAnswer() {
  if (status_ == kStoreHistoryLost) {
    metrics_->CountStoreCall(StoreTableName(table_), "history_lost");
    listing_ = true;
    pages_.rows.clear();
    CallAfter(milliseconds(0));
    return;
  }
  if (status_ != kStoreOk) {
    Trouble(fmt::format("status {}", status_));
    return;
  }
  RowsAnswer answer;
  try {
    answer = protocol_.DecodeRows(body_);
  } catch (const FindingsError& error) {
    Trouble(error.what());
    return;
  }
  metrics_->CountStoreCall(StoreTableName(table_), "ok");
  troubles_in_a_row_ = 0;
  listener_->OnStoreTime(answer.store_time);
  if (listing_) {
    TakeListPage(std::move(answer));
  } else {
    TakeChanges(answer);
  }
}

void StoreFollower::TakeListPage(RowsAnswer answer) {
  // Pages are of different moments: the changes after the first one follow.
  if (pages_.rows.empty()) {
    pages_.as_of = answer.as_of;
  }
  pages_.rows.insert(pages_.rows.end(),
                     std::make_move_iterator(answer.rows.begin()),
                     std::make_move_iterator(answer.rows.end()));
  if (answer.has_more && !answer.rows.empty()) {
    Call();
    return;
  }
  listing_ = false;
  listener_->OnTable(std::exchange(pages_, TableSnapshot{table_, 0, {}}));
  CallAfter(milliseconds(0));
}

void StoreFollower::TakeChanges(const RowsAnswer& answer) {
  listener_->OnChanges(table_, answer);
  auto taken = transport_->Now() - called_at_;
  milliseconds rest = duration_cast<milliseconds>(min_interval_ - taken);
  interval_timer_ = transport_->After(std::max(rest, milliseconds(1)), [this] {
    interval_timer_.reset();
    Call();
  });
}

void StoreFollower::Trouble(std::string_view detail) {
  metrics_->CountStoreCall(StoreTableName(table_), "failed");
  listener_->OnStoreTrouble(table_, detail);
  pages_.rows.clear();
  int doublings = std::min(troubles_in_a_row_, kMaxRetryDoublings);
  ++troubles_in_a_row_;
  CallAfter(kRetryBase * (1 << doublings));
}

void StoreFollower::CallAfter(milliseconds delay) {
  transport_->After(std::max(delay, milliseconds(1)), [this] { Call(); });
}

}  // namespace filbertshift
