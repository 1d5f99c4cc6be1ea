#include "tests/soak/soak_worker.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kEventInterval{25};
constexpr int kMaxExecutionMs = 40;
// Applied to each request; kAbortProbability also to each event of a stream.
constexpr double kRefusalProbability = 0.03;
constexpr double kErrorProbability = 0.03;
constexpr double kAbortProbability = 0.01;

std::string HeaderValue(const HttpRequestHead& head, std::string_view name) {
  const std::string* value = head.headers.Find(name);
  return value == nullptr ? std::string() : *value;
}

std::string_view PrefixOf(const std::string& target) {
  return std::string_view(target).substr(0, target.find('/', 1) + 1);
}

}  // namespace

// Contains escapes and dot segments, which the router must forward unmodified.
std::string SoakTarget(std::string_view prefix, const std::string& id) {
  return fmt::format("{}a%20b/../{}?q=%41+c", prefix, id);
}

std::string SoakBody(const std::string& id) {
  return "body of " + id;
}

SoakWorker::SoakWorker(Transport* transport,
                       std::string id,
                       unsigned seed,
                       SoakRecord* record)
    : transport_(transport),
      id_(std::move(id)),
      server_(transport, this),
      random_(seed),
      record_(record) {}

bool SoakWorker::RandomBool(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void SoakWorker::ScheduleStep(ConnectionId caller,
                              milliseconds delay,
                              std::function<void()> action) {
  step_timers_[caller] =
      transport_->After(delay, [this, caller, action = std::move(action)] {
        step_timers_.erase(caller);
        action();
      });
}

HttpResponseHead SoakWorker::ResponseHead(int status,
                                          const std::string& request) const {
  HttpResponseHead head{status, "X", {}};
  head.headers.Add("Filbertshift-Attempt-Id", request);
  head.headers.Add("Filbertshift-Response-Seal", "seal-" + id_);
  AddLeaving(request, &head);
  return head;
}

void SoakWorker::AddLeaving(const std::string& request,
                            HttpResponseHead* head) const {
  if (leaving_) {
    record_->OnLeavingAnswered(request, Incarnation());
    head->headers.Add("Server-Leaving", "1");
  }
}

HttpResponseHead SoakWorker::Refusal(const std::string& request) const {
  HttpResponseHead head{503, "X", {}};
  head.headers.Add("Filbertshift-Attempt-Id", request);
  head.headers.Add("Filbertshift-Not-Executed", "1");
  AddLeaving(request, &head);
  if (pause_.has_value()) {
    head.headers.Add(
        "Retry-After",
        fmt::format("{}", std::chrono::duration<double>(*pause_).count()));
  }
  return head;
}

void SoakWorker::OnRequest(ConnectionId caller,
                           HttpRequestHead head,
                           std::string body) {
  std::string request = HeaderValue(head, "Filbertshift-Attempt-Id");
  if (HeaderValue(head, "Filbertshift-Expect-Instance") != id_) {
    server_.Respond(caller, {421, "X", {}}, "");
    return;
  }
  ++arrivals_;
  record_->OnArrival(request, Incarnation(), transport_->Now());
  if (pause_.has_value()) {
    record_->OnPauseAsked(request, Incarnation(), *pause_, transport_->Now());
    server_.Respond(caller, Refusal(request), "");
    return;
  }
  if (RandomBool(kRefusalProbability)) {
    server_.Respond(caller, Refusal(request), "");
    return;
  }
  bool unchanged = head.target == SoakTarget(PrefixOf(head.target), request) &&
                   body == SoakBody(request) &&
                   HeaderValue(head, "Filbertshift-Tenant") == kSoakAccount &&
                   head.headers.Find("Authorization") == nullptr;
  record_->OnExecution(
      request,
      unchanged ? std::string()
                : fmt::format("target {} body {}", head.target, body),
      transport_->Now());
  if (removed_) {
    record_->ReportViolation("nothing reaches an endpoint whose record is gone",
                             fmt::format("{} at {}", request, id_));
  }
  milliseconds execution(1 + static_cast<int>(random_() % kMaxExecutionMs));
  bool is_stream = head.target.rfind("/stream/", 0) == 0;
  int status = RandomBool(kErrorProbability) ? 500 : 200;
  std::string last_event_id = HeaderValue(head, "Last-Event-Id");
  int first_event = 1;
  std::from_chars(last_event_id.data(),
                  last_event_id.data() + last_event_id.size(), first_event);
  first_event += last_event_id.empty() ? 0 : 1;
  ScheduleStep(caller, execution,
               [this, caller, request, status, is_stream, first_event] {
                 if (status != 200) {
                   server_.Respond(caller, ResponseHead(status, request),
                                   "failed");
                 } else if (is_stream) {
                   server_.BeginStream(caller, ResponseHead(status, request));
                   SendEvent(caller, request, first_event);
                 } else if (RandomBool(kAbortProbability)) {
                   server_.AbortResponse(caller);
                 } else {
                   server_.Respond(caller, ResponseHead(status, request),
                                   SoakResponseBody(request));
                 }
               });
}

void SoakWorker::SendEvent(ConnectionId caller,
                           const std::string& request,
                           int number) {
  if (number > kSoakEventCount) {
    server_.EndStream(caller);
    return;
  }
  std::string event = SoakEvent(request, number);
  if (RandomBool(kAbortProbability)) {
    server_.SendStream(caller, event.substr(0, random_() % event.size()));
    server_.AbortResponse(caller);
    return;
  }
  server_.SendStream(caller, event);
  ScheduleStep(caller, kEventInterval, [this, caller, request, number] {
    SendEvent(caller, request, number + 1);
  });
}

void SoakWorker::OnCallerDisconnected(ConnectionId caller,
                                      ConnectionEnd /*end*/) {
  auto found = step_timers_.find(caller);
  if (found != step_timers_.end()) {
    transport_->Cancel(found->second);
    step_timers_.erase(found);
  }
}

void SoakWorker::OnRejected(int status, std::string_view reason) {
  record_->ReportViolation("endpoints get proper requests",
                           fmt::format("{} {}", status, reason));
}

}  // namespace filbertshift
