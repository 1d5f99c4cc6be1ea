#include "tests/soak/soak_caller.h"

#include <fmt/format.h>

#include <utility>

#include "tests/soak/soak_worker.h"

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kDeadline{4000};
constexpr milliseconds kPlainDeadline{1000};
constexpr milliseconds kMaxIdle{5000};
constexpr int kMaxRequestIntervalMs = 60;

struct RequestKind {
  SoakKind kind;
  std::string_view prefix;
};
constexpr RequestKind kRequestKinds[] = {{SoakKind::kNonIdempotent, "/once/"},
                                         {SoakKind::kIdempotent, "/again/"},
                                         {SoakKind::kStream, "/stream/"},
                                         {SoakKind::kStreamOnce, "/tale/"}};
constexpr RequestKind kPlainKinds[] = {
    {SoakKind::kNonIdempotent, "/plain/"},
    {SoakKind::kIdempotent, "/plain-again/"}};

}  // namespace

SoakCaller::SoakCaller(Transport* transport,
                       std::string name,
                       std::string api_key,
                       std::vector<std::string> addresses,
                       unsigned seed,
                       SoakRecord* record)
    : transport_(transport),
      name_(std::move(name)),
      api_key_(std::move(api_key)),
      addresses_(std::move(addresses)),
      random_(seed),
      record_(record),
      client_(transport, kConnectTimeout) {}

void SoakCaller::ScheduleNextRequest() {
  if (!stopped_) {
    transport_->After(
        milliseconds(1 + static_cast<int>(random_() % kMaxRequestIntervalMs)),
        [this] { SendRequest(); });
  }
}

milliseconds SoakCaller::deadline() const {
  return plain_ ? kPlainDeadline : kDeadline;
}

void SoakCaller::SendRequest() {
  if (!active_) {
    ScheduleNextRequest();
    return;
  }
  const RequestKind& kind =
      plain_ ? kPlainKinds[random_() % std::size(kPlainKinds)]
             : kRequestKinds[random_() % std::size(kRequestKinds)];
  id_ = fmt::format("{}-{}", name_, ++request_count_);
  SoakRequest request;
  request.kind = kind.kind;
  request.target = SoakTarget(kind.prefix, id_);
  request.instance = addresses_[random_() % addresses_.size()];
  request.started_at = transport_->Now();
  request.counts_for_served_ratio = counts_for_served_ratio_;
  request.key_revoked = key_revoked_;
  request.key_in_force = key_in_force_;
  request.deadline = deadline();
  request.plain = plain_;
  std::string body = SoakBody(id_);
  std::string message = fmt::format(
      "POST {} HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Bearer {}\r\n"
      "Filbertshift-Attempt-Id: {}\r\nFilbertshift-Deadline-Ms: {}\r\n"
      "Content-Length: {}\r\n\r\n{}",
      request.target, api_key_, id_, deadline().count(), body.size(), body);
  std::string instance = request.instance;
  record_->OnSent(id_, std::move(request));
  status_ = 0;
  sealed_ = false;
  body_.clear();
  call_ = client_.Start(instance, message, kMaxIdle, this);
  give_up_timer_ =
      transport_->After(deadline() + kSoakDeadlineSlack, [this] { GiveUp(); });
}

void SoakCaller::GiveUp() {
  client_.Cancel(call_);
  record_->OnGivenUp(id_, transport_->Now());
  FinishRequest();
}

HeadDecision SoakCaller::OnHead(CallId /*call*/, const HttpResponseHead& head) {
  status_ = head.status;
  sealed_ = head.headers.Find("Filbertshift-Response-Seal") != nullptr;
  if (head.headers.Find("Server-Leaving") != nullptr) {
    record_->OnLeavingPassedOn(id_, transport_->Now());
  }
  const std::string* id = head.headers.Find("Filbertshift-Attempt-Id");
  if (id != nullptr && *id != id_) {
    record_->ReportViolation("an answer belongs to its request",
                             fmt::format("{} got that of {}", id_, *id));
  }
  return HeadDecision::kAccept;
}

void SoakCaller::OnBody(CallId /*call*/, std::string_view data) {
  body_.append(data);
}

void SoakCaller::OnComplete(CallId /*call*/) {
  transport_->Cancel(give_up_timer_);
  record_->OnResponse(id_, status_, sealed_, body_);
  FinishRequest();
}

void SoakCaller::OnFailed(CallId /*call*/,
                          CallFailure /*failure*/,
                          std::string_view /*detail*/) {
  transport_->Cancel(give_up_timer_);
  status_ = 0;
  record_->OnNoResponse(id_);
  FinishRequest();
}

void SoakCaller::FinishRequest() {
  call_ = CallId{};
  ScheduleNextRequest();
}

}  // namespace filbertshift
