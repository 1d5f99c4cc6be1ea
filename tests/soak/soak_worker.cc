#include "tests/soak/soak_worker.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kEventInterval{25};
constexpr int kMaxWorkMs = 40;
// Probabilities for each request, and for each event of a stream.
constexpr double kRefuses = 0.03;
constexpr double kFails = 0.03;
constexpr double kBreaksOff = 0.01;

std::string FieldOf(const HttpRequestHead& head, std::string_view name) {
  const std::string* value = head.headers.Find(name);
  return value == nullptr ? std::string() : *value;
}

std::string_view PrefixOf(const std::string& target) {
  return std::string_view(target).substr(0, target.find('/', 1) + 1);
}

}  // namespace

// Not decoded and not normalized on the way.
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

bool SoakWorker::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void SoakWorker::Later(ConnectionId caller,
                       milliseconds delay,
                       std::function<void()> action) {
  steps_[caller] =
      transport_->After(delay, [this, caller, action = std::move(action)] {
        steps_.erase(caller);
        action();
      });
}

HttpResponseHead SoakWorker::Head(int status,
                                  const std::string& request) const {
  HttpResponseHead head{status, "X", {}};
  head.headers.Add("Filbertshift-Attempt-Id", request);
  head.headers.Add("Filbertshift-Response-Seal", "seal-" + id_);
  return head;
}

void SoakWorker::OnRequest(ConnectionId caller,
                           HttpRequestHead head,
                           std::string body) {
  std::string request = FieldOf(head, "Filbertshift-Attempt-Id");
  if (FieldOf(head, "Filbertshift-Expect-Instance") != id_) {
    server_.Respond(caller, {421, "X", {}}, "");
    return;
  }
  if (Chance(kRefuses)) {
    HttpResponseHead refusal{503, "X", {}};
    refusal.headers.Add("Filbertshift-Attempt-Id", request);
    refusal.headers.Add("Filbertshift-Not-Executed", "1");
    server_.Respond(caller, refusal, "");
    return;
  }
  bool unchanged = head.target == SoakTarget(PrefixOf(head.target), request) &&
                   body == SoakBody(request) &&
                   FieldOf(head, "Filbertshift-Tenant") == kSoakAccount &&
                   head.headers.Find("Authorization") == nullptr;
  record_->OnRun(request,
                 unchanged
                     ? std::string()
                     : fmt::format("target {} body {}", head.target, body),
                 transport_->Now());
  if (left_) {
    record_->Violate("nothing reaches an endpoint whose record is gone",
                     fmt::format("{} at {}", request, id_));
  }
  milliseconds work(1 + static_cast<int>(random_() % kMaxWorkMs));
  bool is_stream = head.target.rfind("/stream/", 0) == 0;
  int status = Chance(kFails) ? 500 : 200;
  std::string last = FieldOf(head, "Last-Event-Id");
  int first = 1;
  std::from_chars(last.data(), last.data() + last.size(), first);
  first += last.empty() ? 0 : 1;
  Later(caller, work, [this, caller, request, status, is_stream, first] {
    if (status != 200) {
      server_.Respond(caller, Head(status, request), "failed");
    } else if (is_stream) {
      server_.BeginStream(caller, Head(status, request));
      SendEvent(caller, request, first);
    } else if (Chance(kBreaksOff)) {
      server_.AbortResponse(caller);
    } else {
      server_.Respond(caller, Head(status, request), SoakAnswer(request));
    }
  });
}

void SoakWorker::SendEvent(ConnectionId caller,
                           const std::string& request,
                           int number) {
  if (number > kSoakEvents) {
    server_.EndStream(caller);
    return;
  }
  std::string event = SoakEvent(request, number);
  if (Chance(kBreaksOff)) {
    server_.SendStream(caller, event.substr(0, random_() % event.size()));
    server_.AbortResponse(caller);
    return;
  }
  server_.SendStream(caller, event);
  Later(caller, kEventInterval, [this, caller, request, number] {
    SendEvent(caller, request, number + 1);
  });
}

void SoakWorker::OnCallerDisconnected(ConnectionId caller,
                                      ConnectionEnd /*end*/) {
  auto found = steps_.find(caller);
  if (found != steps_.end()) {
    transport_->Cancel(found->second);
    steps_.erase(found);
  }
}

void SoakWorker::OnRejected(int status, std::string_view reason) {
  record_->Violate("endpoints get proper requests",
                   fmt::format("{} {}", status, reason));
}

}  // namespace filbertshift
