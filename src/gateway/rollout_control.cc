#include "src/gateway/rollout_control.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// How long an instance waits per rank for a lower-ranked instance to write a
// due step.
constexpr milliseconds kTurnInterval{250};
// A written step that is not in the view after this long is written again.
constexpr milliseconds kWriteRetryInterval{700};

}  // namespace

RolloutControl::RolloutControl(InstanceId instance,
                               const DocumentCodec& codec,
                               FleetView* view,
                               const ExposureLimit& limit,
                               Forwarder* forwarder,
                               StoreWriter* writer,
                               EventLog* log)
    : instance_(std::move(instance)),
      codec_(codec),
      view_(view),
      limit_(limit),
      forwarder_(forwarder),
      writer_(writer),
      log_(log) {}

void RolloutControl::Step(std::optional<milliseconds> store_time,
                          TimePoint now) {
  ImportKeptSessions();
  for (const auto& entry : view_->orders()) {
    const RolloutOrder& order = entry.second;
    auto known = known_orders_.find(order.service);
    if (known == known_orders_.end() || known->second != order.order_version) {
      known_orders_[order.service] = order.order_version;
      forwarder_->evidence().RemoveService(order.service);
      rates_.erase(order.service);
      written_.erase(order.service);
    }
    if (store_time.has_value()) {
      StepRollout(order, *store_time, now);
    }
  }
}

bool RolloutControl::InProgress() const {
  return std::any_of(
      view_->orders().begin(), view_->orders().end(),
      [this](const auto& entry) {
        const RolloutProgress* progress = view_->FindProgress(entry.first);
        return progress == nullptr ||
               progress->order_version != entry.second.order_version ||
               progress->state == RolloutPhase::kInProgress;
      });
}

RolloutEvidence RolloutControl::SharedEvidence() const {
  RolloutEvidence evidence = forwarder_->evidence();
  for (const auto& [instance, member] : view_->members()) {
    if (instance != instance_) {
      evidence.Add(member.state.evidence);
    }
  }
  return evidence;
}

std::map<ServiceId, int> RolloutControl::StableInFlight() const {
  std::map<ServiceId, int> counts;
  for (const auto& [service, order] : view_->orders()) {
    const RolloutProgress* progress = view_->FindProgress(service);
    if (progress != nullptr && progress->state == RolloutPhase::kInProgress) {
      counts[service] = forwarder_->CountOnOtherVersions(service, order.to);
    }
  }
  return counts;
}

std::vector<std::uint32_t> RolloutControl::KeptSessions(TimePoint now) const {
  std::vector<std::uint32_t> sessions;
  for (const auto& [service, order] : view_->orders()) {
    const RolloutProgress* progress = view_->FindProgress(service);
    if (progress != nullptr && progress->state == RolloutPhase::kInProgress &&
        progress->order_version == order.order_version) {
      std::vector<std::uint32_t> kept =
          forwarder_->versions().KeptSessions(order, *progress, now);
      sessions.insert(sessions.end(), kept.begin(), kept.end());
    }
  }
  return sessions;
}

void RolloutControl::ImportKeptSessions() {
  std::set<std::uint32_t> sessions;
  for (const auto& [instance, member] : view_->members()) {
    if (instance != instance_) {
      sessions.insert(member.state.kept_sessions.begin(),
                      member.state.kept_sessions.end());
    }
  }
  forwarder_->versions().SetKeptByPeers(std::move(sessions));
}

int RolloutControl::CountStableInFlight(const RolloutOrder& order) const {
  int total = forwarder_->CountOnOtherVersions(order.service, order.to);
  for (const auto& [instance, member] : view_->members()) {
    auto found = member.state.stable_in_flight.find(order.service);
    if (instance != instance_ && found != member.state.stable_in_flight.end()) {
      total += found->second;
    }
  }
  return total;
}

RolloutTraffic RolloutControl::MeasureTraffic(const RolloutOrder& order,
                                              const RolloutEvidence& evidence,
                                              TimePoint now) {
  RolloutTraffic traffic;
  traffic.candidate = evidence.SendsTo(order.service, order.to);
  traffic.all = evidence.SendsTo(order.service);
  RateMeter& rate = rates_[order.service];
  rate.Add(traffic.all, now);
  traffic.per_second = rate.PerSecond();
  return traffic;
}

void RolloutControl::StepRollout(const RolloutOrder& order,
                                 milliseconds store_time,
                                 TimePoint now) {
  RolloutInputs inputs;
  inputs.order = order;
  const RolloutProgress* progress = view_->FindProgress(order.service);
  if (progress != nullptr) {
    inputs.progress = *progress;
  }
  inputs.store_now = store_time;
  UpdateLoadTest(order, progress, store_time, now);
  RolloutEvidence evidence = SharedEvidence();
  inputs.verdict = EvaluateCandidate(evidence, order.service, order.to);
  inputs.candidate_endpoints =
      forwarder_->pool().CountReady(order.service, order.to, true);
  inputs.stable_in_flight = CountStableInFlight(order);
  inputs.limit = limit_;
  inputs.traffic = MeasureTraffic(order, evidence, now);
  bool completed = progress != nullptr &&
                   progress->order_version == order.order_version &&
                   progress->state == RolloutPhase::kCompleted;
  if (inputs.verdict == CandidateVerdict::kBad && !completed &&
      !forwarder_->versions().IsStopped(order)) {
    forwarder_->versions().Stop(order.service, order.order_version);
    log_->Write(EventId::kRolloutStopped,
                fmt::format("service={} to={}", order.service.value(),
                            order.to.value()));
  }
  std::optional<RolloutProgress> next = NextRolloutProgress(inputs);
  if (!next.has_value() && view_->rollouts().MustWriteAgain(order.service)) {
    next = inputs.progress;
  }
  if (!next.has_value()) {
    due_since_.erase(order.service);
    return;
  }
  if (IsMyTurn(order, now) && !IsWritePending(order, *next, now)) {
    written_[order.service] = {next->exposure_permille, next->state,
                               next->load_test.has_value(), now};
    WriteProgress(order, *next);
  }
}

void RolloutControl::UpdateLoadTest(const RolloutOrder& order,
                                    const RolloutProgress* progress,
                                    milliseconds store_time,
                                    TimePoint now) {
  std::optional<LoadTestWindow> window;
  if (progress != nullptr && progress->load_test.has_value() &&
      progress->order_version == order.order_version &&
      progress->state == RolloutPhase::kInProgress) {
    window = {now + (progress->load_test->from - store_time),
              now + (progress->load_test->until - store_time)};
  }
  forwarder_->versions().SetLoadTest(order.service, window);
}

bool RolloutControl::IsWritePending(const RolloutOrder& order,
                                    const RolloutProgress& next,
                                    TimePoint now) {
  const WrittenStep& written = written_[order.service];
  return written.exposure_permille == next.exposure_permille &&
         written.state == next.state &&
         written.has_load_test == next.load_test.has_value() &&
         now - written.at < kWriteRetryInterval;
}

bool RolloutControl::IsMyTurn(const RolloutOrder& order, TimePoint now) {
  TimePoint due_since = due_since_.emplace(order.service, now).first->second;
  int rank = 0;
  for (const auto& entry : view_->members()) {
    rank += entry.first < instance_ ? 1 : 0;
  }
  return !writing_ && now - due_since >= kTurnInterval * rank;
}

void RolloutControl::WriteProgress(const RolloutOrder& order,
                                   const RolloutProgress& progress) {
  std::string key = std::string(kProgressKeyPrefix) + order.service.value();
  StoreTransaction transaction;
  transaction.era = view_->as_of(StoreTable::kInstances).era;
  transaction.expectations.push_back(
      {key, view_->ProgressRowVersion(order.service)});
  RolloutProgress written = progress;
  written.order_version = view_->rollouts().VersionToWrite(order.service);
  transaction.puts.push_back({key, EncodeRolloutProgress(written), 0, false});
  transaction.status_puts.push_back(
      codec_.EncodeRolloutStatus(order.service, order.to, progress.state));
  std::string detail =
      fmt::format("service={} to={} exposure={} state={}",
                  order.service.value(), order.to.value(),
                  progress.exposure_permille, static_cast<int>(progress.state));
  if (progress.load_test.has_value()) {
    detail += fmt::format(
        " load_test={}+{}ms permille={} endpoints={}",
        progress.load_test->from.count(),
        (progress.load_test->until - progress.load_test->from).count(),
        progress.load_test->permille, progress.load_test->endpoints);
  }
  RolloutEvidence evidence = SharedEvidence();
  for (const auto& [evidence_key, counts] : evidence.counts()) {
    if (evidence_key.service == order.service) {
      detail += fmt::format(" {}@{}={}/{}/{}", evidence_key.version.value(),
                            evidence_key.route, counts.failures, counts.answers,
                            counts.sends);
    }
  }
  writing_ = writer_->Submit(
      std::move(transaction), [this, detail, service = order.service,
                               progress](StoreWriteResult result) {
        writing_ = false;
        if (result == StoreWriteResult::kCommitted) {
          view_->rollouts().OnProgressWritten(service, progress);
        }
        log_->Write(
            EventId::kRolloutDecided,
            fmt::format("{} result={}", detail, StoreWriteResultName(result)));
      });
}

}  // namespace filbertshift
