#include "tests/soak/plain_endpoint.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "tests/soak/soak_worker.h"

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr int kMinServiceMs = 15;
constexpr int kMaxServiceMs = 45;

}  // namespace

PlainEndpoint::PlainEndpoint(Transport* transport,
                             std::string id,
                             unsigned seed,
                             SoakRecord* record)
    : transport_(transport),
      id_(std::move(id)),
      server_(transport, this),
      random_(seed),
      record_(record) {
  record_->OnSlots(id_, true, transport_->Now());
}

void PlainEndpoint::OnRequest(ConnectionId caller,
                              HttpRequestHead head,
                              std::string body) {
  const std::string* endpoint =
      head.headers.Find("Filbertshift-Expect-Instance");
  if (endpoint == nullptr || *endpoint != id_) {
    server_.Respond(caller, {421, "X", {}}, "");
    return;
  }
  Waiting waiting{caller, *head.headers.Find("Filbertshift-Attempt-Id")};
  if (body != SoakBody(waiting.request)) {
    record_->ReportViolation("the endpoint gets the request unchanged",
                             waiting.request);
  }
  if (running_.size() < kSlots) {
    Run(waiting);
  } else if (queue_.size() < kQueue) {
    queue_.push_back(std::move(waiting));
  } else {
    ++refusals_;
    record_->OnRejected(waiting.request);
    HttpResponseHead refusal{503, "X", {}};
    refusal.headers.Add("Filbertshift-Attempt-Id", waiting.request);
    refusal.headers.Add("Filbertshift-Not-Executed", "1");
    server_.Respond(caller, refusal, "");
  }
}

void PlainEndpoint::Run(const Waiting& waiting) {
  record_->OnExecution(waiting.request, "", transport_->Now(), id_);
  milliseconds time(std::uniform_int_distribution<int>(kMinServiceMs,
                                                       kMaxServiceMs)(random_));
  running_[waiting.caller] = transport_->After(time, [this, waiting] {
    HttpResponseHead head{200, "X", {}};
    head.headers.Add("Filbertshift-Attempt-Id", waiting.request);
    head.headers.Add("Filbertshift-Response-Seal", "seal-" + id_);
    record_->OnExecutionEnded(waiting.request, id_, transport_->Now());
    server_.Respond(waiting.caller, head, SoakResponseBody(waiting.request));
    End(waiting.caller);
  });
  record_->OnSlots(id_, running_.size() < kSlots, transport_->Now());
}

void PlainEndpoint::End(ConnectionId caller) {
  auto found = running_.find(caller);
  if (found == running_.end()) {
    return;
  }
  transport_->Cancel(found->second);
  running_.erase(found);
  if (!queue_.empty()) {
    Waiting next = std::move(queue_.front());
    queue_.pop_front();
    Run(next);
  }
  record_->OnSlots(id_, running_.size() < kSlots, transport_->Now());
}

void PlainEndpoint::OnCallerDisconnected(ConnectionId caller,
                                         ConnectionEnd /*end*/) {
  queue_.erase(std::remove_if(queue_.begin(), queue_.end(),
                              [caller](const Waiting& waiting) {
                                return waiting.caller == caller;
                              }),
               queue_.end());
  End(caller);
}

void PlainEndpoint::OnRejected(int status, std::string_view reason) {
  record_->ReportViolation("endpoints get proper requests",
                           fmt::format("{} {}", status, reason));
}

}  // namespace filbertshift
