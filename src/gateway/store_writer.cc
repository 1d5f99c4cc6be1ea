#include "src/gateway/store_writer.h"

#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxQueuedWrites = 16;
constexpr milliseconds kWriteTimeout{1000};
constexpr milliseconds kMaxIdle{3600000};

}  // namespace

std::string_view StoreWriteResultName(StoreWriteResult result) {
  switch (result) {
    case StoreWriteResult::kCommitted:
      return "committed";
    case StoreWriteResult::kConflict:
      return "conflict";
    case StoreWriteResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

StoreWriter::StoreWriter(std::string store_address,
                         Transport* transport,
                         HttpClient* client,
                         const StoreProtocol& protocol,
                         GatewayMetrics* metrics,
                         StoreEra* era)
    : store_address_(std::move(store_address)),
      transport_(transport),
      client_(client),
      protocol_(protocol),
      metrics_(metrics),
      era_(era) {}

bool StoreWriter::Submit(StoreTransaction transaction, Done done) {
  if (queue_.size() >= kMaxQueuedWrites) {
    return false;
  }
  queue_.push_back(Write{std::move(transaction), std::move(done)});
  if (queue_.size() == 1) {
    Call();
  }
  return true;
}

void StoreWriter::Call() {
  const StoreTransaction& transaction = queue_.front().transaction;
  if (!transaction.expectations.empty() && transaction.era < era_->current()) {
    // The expected versions may have been given out again, to other rows.
    transport_->After(milliseconds(0),
                      [this] { Complete(StoreWriteResult::kConflict); });
    return;
  }
  StoreRequest request =
      protocol_.TransactionRequest(queue_.front().transaction);
  head_ = HttpResponseHead();
  call_ = client_->Start(store_address_,
                         SerializeRequestHead(request.head) + request.body,
                         kMaxIdle, this);
  timeout_ = transport_->After(kWriteTimeout, [this] {
    client_->Cancel(call_);
    Complete(StoreWriteResult::kUnknown);
  });
}

HeadDecision StoreWriter::OnHead(CallId /*call*/,
                                 const HttpResponseHead& head) {
  head_ = head;
  return HeadDecision::kAccept;
}

void StoreWriter::OnBody(CallId /*call*/, std::string_view /*data*/) {}

void StoreWriter::OnComplete(CallId /*call*/) {
  transport_->Cancel(timeout_);
  if (!era_->Observe(head_)) {
    // The store has lost what it wrote.
    Complete(StoreWriteResult::kUnknown);
  } else if (head_.status == kStoreOk) {
    Complete(StoreWriteResult::kCommitted);
  } else {
    Complete(head_.status == kStoreConflict ? StoreWriteResult::kConflict
                                            : StoreWriteResult::kUnknown);
  }
}

void StoreWriter::OnFailed(CallId /*call*/,
                           CallFailure /*failure*/,
                           std::string_view /*detail*/) {
  transport_->Cancel(timeout_);
  Complete(StoreWriteResult::kUnknown);
}

void StoreWriter::Complete(StoreWriteResult result) {
  metrics_->CountStoreCall("write", StoreWriteResultName(result));
  Done done = std::move(queue_.front().done);
  queue_.pop_front();
  if (!queue_.empty()) {
    Call();
  }
  if (done) {
    done(result);
  }
}

}  // namespace filbertshift
