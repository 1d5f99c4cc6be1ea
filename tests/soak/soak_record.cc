#include "tests/soak/soak_record.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace filbertshift {

namespace {

// Statuses that guarantee that the request is never executed.
bool MeansNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool RunsOnce(SoakKind kind) {
  return kind == SoakKind::kNonIdempotent || kind == SoakKind::kStreamOnce;
}

}  // namespace

std::string SoakResponseBody(const std::string& id) {
  return "answer of " + id;
}

std::string SoakEvent(const std::string& id, int number) {
  return fmt::format("id: {}\ndata: {} {}\n\n", number, id, number);
}

void SoakRecord::OnSent(const std::string& id, SoakRequest request) {
  requests_[id] = std::move(request);
}

void SoakRecord::OnExecution(const std::string& id,
                             std::string_view detail,
                             TimePoint now,
                             const std::string& endpoint) {
  auto found = requests_.find(id);
  if (found == requests_.end()) {
    ReportViolation("no request runs that no caller sent", id);
    return;
  }
  SoakRequest& request = found->second;
  request.executions.push_back({endpoint, now, std::nullopt});
  if (!detail.empty()) {
    ReportViolation("the endpoint gets the request unchanged",
                    fmt::format("{}: {}", id, detail));
  }
  if (request.plain &&
      now > request.started_at + request.deadline + kSoakDeadlineSlack &&
      !IsExcused(request.instance, endpoint, now)) {
    ReportViolation("no request waits beyond its deadline",
                    fmt::format("{} runs at {}", id, endpoint));
  }
  if (RunsOnce(request.kind) && request.executions.size() > 1) {
    ReportViolation("a request that cannot be repeated runs once", id);
  }
}

void SoakRecord::OnExecutionEnded(const std::string& id,
                                  const std::string& endpoint,
                                  TimePoint now) {
  auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  SoakRequest& request = found->second;
  for (std::size_t i = 0; i < request.executions.size(); ++i) {
    SoakExecution& execution = request.executions[i];
    if (execution.endpoint != endpoint || execution.ended_at.has_value()) {
      continue;
    }
    execution.ended_at = now;
    bool is_last = i + 1 == request.executions.size();
    // An idempotent request may run at several endpoints.
    if (!is_last && request.kind != SoakKind::kIdempotent &&
        now > request.executions[i + 1].started_at + kSoakMaxOverlap &&
        !IsExcused(request.instance, endpoint, now)) {
      ReportViolation("a stream goes on at one endpoint at a time",
                      fmt::format("{} at {}", id, endpoint));
    }
    return;
  }
}

void SoakRecord::OnResponse(const std::string& id,
                            int status,
                            bool sealed,
                            const std::string& body) {
  SoakRequest& request = requests_.at(id);
  request.status = status;
  request.sealed = sealed;
  request.body = body;
  request.ended = true;
  CountIfFaultFree(request, sealed);
  CheckResponse(id, request);
  CheckFreeSlots(id, request);
}

void SoakRecord::OnRejected(const std::string& id) {
  auto found = requests_.find(id);
  if (found != requests_.end()) {
    found->second.rejected = true;
  }
}

void SoakRecord::OnSlots(const std::string& endpoint,
                         bool free,
                         TimePoint now) {
  if (free) {
    free_since_.emplace(endpoint, now);
  } else {
    free_since_.erase(endpoint);
  }
}

void SoakRecord::CheckFreeSlots(const std::string& id,
                                const SoakRequest& request) {
  if (!request.plain || request.rejected || !MeansNotExecuted(request.status) ||
      !fault_free_ || request.started_at < fault_free_since_) {
    return;
  }
  for (const auto& [endpoint, since] : free_since_) {
    if (since <= request.started_at) {
      ReportViolation(
          "nothing is refused while slots are free throughout",
          fmt::format("{} status {}, {}", id, request.status, endpoint));
    }
  }
}

void SoakRecord::OnNoResponse(const std::string& id) {
  SoakRequest& request = requests_.at(id);
  request.ended = true;
  CountIfFaultFree(request, false);
}

void SoakRecord::OnGivenUp(const std::string& id, TimePoint now) {
  OnNoResponse(id);
  const std::string& instance = requests_.at(id).instance;
  if (!IsExcused(instance, std::string(), now)) {
    ReportViolation("no request waits beyond its deadline",
                    fmt::format("{} at {}", id, instance));
  }
}

void SoakRecord::CheckResponse(const std::string& id,
                               const SoakRequest& request) {
  if (request.key_revoked && request.sealed && !MayKnowCopyOnly(request)) {
    ReportViolation("a withdrawn key opens nothing", id);
  }
  constexpr int kDenied = 401;
  if (request.key_in_force && request.status == kDenied &&
      !MayKnowCopyOnly(request)) {
    ReportViolation("a key in force opens",
                    fmt::format("{} at {}", id, request.instance));
  }
  if (request.status / 100 != 2) {
    return;
  }
  if (!request.sealed) {
    ReportViolation("a success bears a seal", id);
  } else if (request.kind == SoakKind::kStream ||
             request.kind == SoakKind::kStreamOnce) {
    CheckStream(id, request);
  } else if (request.body != SoakResponseBody(id)) {
    ReportViolation("a success is the whole answer",
                    fmt::format("{}: \"{}\"", id, request.body));
  }
}

void SoakRecord::CheckStream(const std::string& id,
                             const SoakRequest& request) {
  std::string expected;
  for (int i = 1; i <= kSoakEventCount; ++i) {
    expected += SoakEvent(id, i);
  }
  if (request.body != expected) {
    ReportViolation("a stream that ends has each event once, in order",
                    fmt::format("{}: \"{}\"", id, request.body));
  }
}

void SoakRecord::CountIfFaultFree(const SoakRequest& request, bool served) {
  if (fault_free_ && request.started_at >= fault_free_since_ &&
      request.counts_for_served_ratio) {
    ++fault_free_requests_;
    fault_free_served_ += served ? 1 : 0;
  }
}

bool SoakRecord::IsExcused(const std::string& instance,
                           const std::string& endpoint,
                           TimePoint now) const {
  for (const std::string& name : {instance, endpoint}) {
    auto found = excused_until_.find(name);
    if (found != excused_until_.end() && now < found->second) {
      return true;
    }
  }
  return false;
}

bool SoakRecord::MayKnowCopyOnly(const SoakRequest& request) const {
  auto found = copied_state_until_.find(request.instance);
  return found != copied_state_until_.end() &&
         request.started_at < found->second;
}

void SoakRecord::ExcuseCopiedState(const std::string& instance,
                                   TimePoint until) {
  TimePoint& copied_state_until = copied_state_until_[instance];
  copied_state_until = std::max(copied_state_until, until);
}

void SoakRecord::OnExecutionAfterLeaving(const std::string& id,
                                         const std::string& endpoint) {
  auto request = requests_.find(id);
  if (request != requests_.end() && !MayKnowCopyOnly(request->second)) {
    ReportViolation("nothing reaches an endpoint whose record is gone",
                    fmt::format("{} at {} from {}", id, endpoint,
                                request->second.instance));
  }
}

void SoakRecord::ExcuseNotices(const std::string& instance_or_endpoint,
                               TimePoint until) {
  TimePoint& excused_until = excused_until_[instance_or_endpoint];
  excused_until = std::max(excused_until, until);
  auto concerns = [&](const Pair& pair) {
    return pair.first == instance_or_endpoint ||
           pair.second.endpoint == instance_or_endpoint;
  };
  for (auto entry = leaving_passed_on_.begin();
       entry != leaving_passed_on_.end();) {
    entry = concerns(entry->first) ? leaving_passed_on_.erase(entry)
                                   : std::next(entry);
  }
  for (auto entry = pauses_.begin(); entry != pauses_.end();) {
    entry = concerns(entry->first) ? pauses_.erase(entry) : std::next(entry);
  }
}

void SoakRecord::OnArrival(const std::string& id,
                           const SoakIncarnation& endpoint,
                           TimePoint now) {
  auto request = requests_.find(id);
  if (request == requests_.end()) {
    return;
  }
  Pair pair(request->second.instance, endpoint);
  auto leaving = leaving_passed_on_.find(pair);
  if (leaving != leaving_passed_on_.end() &&
      request->second.started_at > leaving->second + kSoakDrainTime) {
    ReportViolation("nothing reaches an endpoint that said it leaves",
                    fmt::format("{} at {}", id, endpoint.endpoint));
  }
  for (Pause& pause : pauses_[pair]) {
    if (now >= pause.from && now < pause.until &&
        ++pause.arrivals > kSoakMaxInPause) {
      ReportViolation("an endpoint is left alone for its Retry-After",
                      fmt::format("{} at {}", id, endpoint.endpoint));
    }
  }
}

void SoakRecord::OnPauseAsked(const std::string& id,
                              const SoakIncarnation& endpoint,
                              std::chrono::milliseconds pause,
                              TimePoint now) {
  auto request = requests_.find(id);
  if (request != requests_.end() &&
      !IsExcused(request->second.instance, endpoint.endpoint, now)) {
    pauses_[{request->second.instance, endpoint}].push_back(
        {now + kSoakPauseSlack, now + pause, 0});
  }
}

void SoakRecord::OnLeavingAnswered(const std::string& id,
                                   const SoakIncarnation& endpoint) {
  auto request = requests_.find(id);
  if (request != requests_.end()) {
    request->second.leaving = endpoint;
  }
}

void SoakRecord::OnLeavingPassedOn(const std::string& id, TimePoint now) {
  const SoakRequest& request = requests_.at(id);
  if (!IsExcused(request.instance, request.leaving.endpoint, now)) {
    leaving_passed_on_.emplace(Pair(request.instance, request.leaving), now);
  }
}

void SoakRecord::SetFaultFree(bool fault_free, TimePoint now) {
  if (fault_free && !fault_free_) {
    fault_free_since_ = now;
  }
  fault_free_ = fault_free;
}

void SoakRecord::ReportViolation(std::string_view guarantee,
                                 const std::string& detail) {
  violations_.push_back(fmt::format("{}: {}", guarantee, detail));
}

void SoakRecord::CheckRefusedRequests() {
  for (const auto& [id, request] : requests_) {
    if (MeansNotExecuted(request.status) && !request.executions.empty()) {
      ReportViolation("a refused request never runs",
                      fmt::format("{} status {}{}", id, request.status,
                                  request.sealed ? " sealed" : ""));
    }
  }
}

}  // namespace filbertshift
