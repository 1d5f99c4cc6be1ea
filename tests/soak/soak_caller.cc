#include "tests/soak/soak_caller.h"

#include <fmt/format.h>

#include <utility>

#include "tests/soak/soak_worker.h"

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kDeadline{4000};
// Beyond the deadline that the instance is told.
constexpr milliseconds kDeadlineMargin{700};
constexpr milliseconds kMaxIdle{5000};
constexpr int kMaxPauseMs = 60;

struct KindPrefix {
  SoakKind kind;
  std::string_view prefix;
};
constexpr KindPrefix kKinds[] = {{SoakKind::kOnce, "/once/"},
                                 {SoakKind::kRepeatable, "/again/"},
                                 {SoakKind::kStream, "/stream/"}};

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

void SoakCaller::Pause() {
  if (!stopped_) {
    transport_->After(
        milliseconds(1 + static_cast<int>(random_() % kMaxPauseMs)),
        [this] { Call(); });
  }
}

void SoakCaller::Call() {
  const KindPrefix& kind = kKinds[random_() % std::size(kKinds)];
  id_ = fmt::format("{}-{}", name_, ++calls_);
  SoakRequest request;
  request.kind = kind.kind;
  request.target = SoakTarget(kind.prefix, id_);
  request.begun_at = transport_->Now();
  request.counted = counted_;
  request.must_be_denied = must_be_denied_;
  std::string body = SoakBody(id_);
  std::string message = fmt::format(
      "POST {} HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Bearer {}\r\n"
      "Filbertshift-Attempt-Id: {}\r\nFilbertshift-Deadline-Ms: {}\r\n"
      "Content-Length: {}\r\n\r\n{}",
      request.target, api_key_, id_, kDeadline.count(), body.size(), body);
  record_->Begin(id_, std::move(request));
  status_ = 0;
  sealed_ = false;
  answer_.clear();
  call_ = client_.Start(addresses_[random_() % addresses_.size()], message,
                        kMaxIdle, this);
  leave_timer_ =
      transport_->After(kDeadline + kDeadlineMargin, [this] { Leave(); });
}

void SoakCaller::Leave() {
  client_.Cancel(call_);
  record_->OnBroken(id_);
  End();
}

HeadDecision SoakCaller::OnHead(CallId /*call*/, const HttpResponseHead& head) {
  status_ = head.status;
  sealed_ = head.headers.Find("Filbertshift-Response-Seal") != nullptr;
  const std::string* id = head.headers.Find("Filbertshift-Attempt-Id");
  if (id != nullptr && *id != id_) {
    record_->Violate("an answer belongs to its request",
                     fmt::format("{} got that of {}", id_, *id));
  }
  return HeadDecision::kAccept;
}

void SoakCaller::OnBody(CallId /*call*/, std::string_view data) {
  answer_.append(data);
}

void SoakCaller::OnComplete(CallId /*call*/) {
  transport_->Cancel(leave_timer_);
  record_->OnAnswer(id_, status_, sealed_, answer_);
  End();
}

void SoakCaller::OnFailed(CallId /*call*/,
                          CallFailure /*failure*/,
                          std::string_view /*detail*/) {
  transport_->Cancel(leave_timer_);
  status_ = 0;
  record_->OnBroken(id_);
  End();
}

void SoakCaller::End() {
  call_ = CallId{};
  Pause();
}

}  // namespace filbertshift
