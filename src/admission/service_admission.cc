#include "src/admission/service_admission.h"

#include <algorithm>
#include <cmath>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Own traffic is counted over this time. At 340 instances an instance receives
// less than one request a second.
constexpr milliseconds kOwnTraffic{3000};
// Bounds of the credit for requests that wait. The lower one is far below the
// upper one, so that sends beyond the own rate are not forgotten.
constexpr double kMaxCredit = 2;
constexpr double kMinCredit = -10;
constexpr int kMaxWaiting = 1000;
constexpr milliseconds kUnknownWait{60000};
// Time that a response takes if nothing is known of the service.
constexpr double kUnknownResponseShare = 0.3;
// Fewer reported responses are not used to learn the service time.
constexpr double kMinReportedAnswers = 10;
constexpr char kTarget[] = "service";

milliseconds Rounded(double ms) {
  double bound = static_cast<double>(kUnknownWait.count());
  return milliseconds(static_cast<std::int64_t>(std::min(ms, bound)));
}

}  // namespace

std::string_view AdmissionReasonName(AdmissionReason reason) {
  switch (reason) {
    case AdmissionReason::kNone:
      return "none";
    case AdmissionReason::kOverload:
      return "overload";
    case AdmissionReason::kEndpointsFull:
      return "endpoints_full";
  }
  return "none";
}

ServiceAdmission::ServiceAdmission()
    : arrivals_(kOwnTraffic),
      admitted_(kOwnTraffic),
      answers_(kOwnTraffic),
      answer_ms_(kOwnTraffic),
      rejections_(kOwnTraffic) {}

bool ServiceAdmission::active() const {
  return state_.instances > 1 && !state_.endpoints.empty() &&
         state_.Slots() < state_.instances;
}

ServiceTraffic ServiceAdmission::OwnTraffic(TimePoint now) const {
  return {arrivals_.PerSecond(now), admitted_.PerSecond(now),
          answers_.PerSecond(now), answer_ms_.PerSecond(now),
          rejections_.PerSecond(now)};
}

ServiceTraffic ServiceAdmission::FleetTraffic(TimePoint now) const {
  ServiceTraffic fleet;
  if (state_.current) {
    fleet = state_.others;
    fleet.Add(OwnTraffic(now));
  } else {
    fleet.Add(OwnTraffic(now), state_.instances);
  }
  return fleet;
}

void ServiceAdmission::SetState(const ServiceState& state, TimePoint now) {
  state_ = state;
  if (!active()) {
    return;
  }
  FleetFigures figures;
  figures.traffic = FleetTraffic(now);
  figures.slots = state_.Slots();
  figures.samples = state_.current
                        ? figures.traffic.answers + figures.traffic.rejections
                        : answers_.ValueAt(now) + rejections_.ValueAt(now);
  if (state_.current) {
    figures.free_slots = state_.FreeSlots();
    figures.in_flight = state_.InFlight();
    if (figures.traffic.answers >= kMinReportedAnswers) {
      capacity_.OnReportedMean(
          figures.traffic.answer_ms / figures.traffic.answers, now);
    }
  }
  figures.service_ms = capacity_.ServiceMs(now);
  figures.objective_ms = objective_ms_;
  if (objective_ms_ > 0) {
    limit_.Update(figures, now);
  }
}

void ServiceAdmission::OnAnswer(const EndpointId& endpoint,
                                TimePoint sent_at,
                                TimePoint now) {
  auto time =
      std::chrono::duration_cast<std::chrono::microseconds>(now - sent_at);
  capacity_.OnAnswer(time, now);
  answers_.Add(1, now);
  answer_ms_.Add(static_cast<double>(time.count()) / 1000, now);
  full_.OnAnswer(endpoint, sent_at);
}

void ServiceAdmission::OnRejected(const EndpointId& endpoint, TimePoint now) {
  rejections_.Add(1, now);
  full_.OnRejected(endpoint, now);
}

double ServiceAdmission::OwnRate(TimePoint now) const {
  return limit_.admitted_fraction() * arrivals_.PerSecond(now);
}

TimePoint ServiceAdmission::FirstNotFull() const {
  TimePoint first = TimePoint::max();
  for (const EndpointOccupancy& entry : state_.endpoints) {
    first = std::min(first, full_.FullUntil(entry.endpoint));
  }
  return first;
}

milliseconds ServiceAdmission::ExpectedResponse(TimePoint now) {
  ServiceTraffic fleet = FleetTraffic(now);
  double mean = fleet.answers > 0 ? fleet.answer_ms / fleet.answers : 0;
  double unknown = objective_ms_ * kUnknownResponseShare;
  return Rounded(std::max(mean, capacity_.ServiceMs(now).value_or(unknown)));
}

void ServiceAdmission::Refill(TimePoint now) {
  if (refilled_at_ != TimePoint()) {
    double seconds = std::chrono::duration<double>(now - refilled_at_).count();
    credit_ = std::min(credit_ + seconds * OwnRate(now), kMaxCredit);
  }
  refilled_at_ = now;
}

AdmissionDecision ServiceAdmission::Decide(const AdmissionRequest& request,
                                           TimePoint now) {
  // The strictest objective of the routes decides for the service.
  double objective = static_cast<double>(request.objective.count());
  objective_ms_ =
      objective_ms_ > 0 ? std::min(objective_ms_, objective) : objective;
  arrivals_.Add(1, now);
  shares_.OnArrival(request.account, request.priority, request.hash, now);
  AdmissionDecision decision;
  bool all_full = active() && FirstNotFull() > now;
  bool admitted = !active() || !limit_.shedding() ||
                  shares_.Take(request.account, request.priority,
                               limit_.admitted_fraction(), now);
  if (admitted && !all_full) {
    Refill(now);
    credit_ = std::max(credit_ - 1, kMinCredit);
    admitted_.Add(1, now);
    return decision;
  }
  return WaitOrRefuse(
      request,
      all_full ? AdmissionReason::kEndpointsFull : AdmissionReason::kOverload,
      now);
}

AdmissionDecision ServiceAdmission::DecideRejected(
    const AdmissionRequest& request,
    TimePoint now) {
  return WaitOrRefuse(request, AdmissionReason::kEndpointsFull, now);
}

milliseconds ServiceAdmission::ExpectedWait(int priority, TimePoint now) const {
  double wait_ms = 0;
  if (limit_.shedding()) {
    double ahead = 1;
    for (const auto& entry : waiting_) {
      ahead += entry.second.priority <= priority ? 1 : 0;
    }
    double rate = OwnRate(now);
    double missing = std::max(0.0, ahead - credit_);
    wait_ms = rate > 0 ? missing * 1000 / rate
                       : static_cast<double>(kUnknownWait.count());
  }
  milliseconds until_free =
      std::chrono::ceil<milliseconds>(std::max(FirstNotFull(), now) - now);
  return std::max(Rounded(wait_ms), until_free);
}

AdmissionDecision ServiceAdmission::WaitOrRefuse(
    const AdmissionRequest& request,
    AdmissionReason reason,
    TimePoint now) {
  Refill(now);
  AdmissionDecision decision;
  decision.reason = reason;
  decision.wait = ExpectedWait(request.priority, now);
  decision.response = ExpectedResponse(now);
  TimePoint latest_send =
      std::min(request.arrived_at + request.objective, request.deadline) -
      decision.response;
  if (now + decision.wait > latest_send || waiting_.size() >= kMaxWaiting) {
    Refuse(request, &decision, now);
    return decision;
  }
  decision.verdict = AdmissionVerdict::kWait;
  QueuedRequest queued;
  queued.request = request.key;
  queued.account = request.account;
  queued.priority = request.priority;
  queued.deadline = latest_send;
  queued.target = kTarget;
  queue_.Push(queued, kMaxWaiting);
  waiting_[request.key.value()] = request;
  return decision;
}

void ServiceAdmission::Refuse(const AdmissionRequest& request,
                              AdmissionDecision* decision,
                              TimePoint now) {
  decision->verdict = AdmissionVerdict::kRefuse;
  decision->retry_after = RetryAfter(request, now);
}

milliseconds ServiceAdmission::RetryAfter(const AdmissionRequest& request,
                                          TimePoint now) {
  RetryAfterPlanner::Refusal refusal;
  refusal.hash = request.hash;
  refusal.priority = request.priority;
  refusal.time_left = std::max(
      milliseconds(0),
      std::chrono::duration_cast<milliseconds>(request.deadline - now));
  refusal.admitted_per_second = OwnRate(now);
  refusal.first_free =
      std::chrono::ceil<milliseconds>(std::max(FirstNotFull(), now) - now);
  return retries_.Plan(refusal, now);
}

std::vector<AdmissionRelease> ServiceAdmission::Release(TimePoint now) {
  std::vector<AdmissionRelease> released;
  if (waiting_.empty()) {
    return released;
  }
  Refill(now);
  // Requests that cannot be in time any more come first: an instance that was
  // suspended must not send them.
  for (const QueuedRequest& expired : queue_.Expire(now)) {
    AdmissionRelease release{expired.request, {}};
    release.decision.reason = FirstNotFull() > now
                                  ? AdmissionReason::kEndpointsFull
                                  : AdmissionReason::kOverload;
    release.decision.wait = ExpectedWait(expired.priority, now);
    release.decision.response = ExpectedResponse(now);
    Refuse(waiting_.at(expired.request.value()), &release.decision, now);
    waiting_.erase(expired.request.value());
    released.push_back(release);
  }
  if (active() && FirstNotFull() > now) {
    return released;
  }
  queue_.Drain([&](const QueuedRequest& request) {
    if (active() && limit_.shedding() && credit_ < 1) {
      return false;
    }
    credit_ = std::max(credit_ - 1, kMinCredit);
    admitted_.Add(1, now);
    waiting_.erase(request.request.value());
    released.push_back({request.request, {}});
    return true;
  });
  return released;
}

bool ServiceAdmission::Remove(const RequestId& key) {
  waiting_.erase(key.value());
  return queue_.Remove(key);
}

}  // namespace filbertshift
