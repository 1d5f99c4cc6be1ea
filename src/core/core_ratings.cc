// Ratings of answers: escalation before delivery, training of the cascade
// policy, and stopping of poorly rated rollout candidates.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "src/core/core.h"

namespace filbertshift {

namespace {

constexpr std::chrono::milliseconds kStoppedCandidatePollInterval{5000};
constexpr std::string_view kStoppedCandidateKeyPrefix = "stopped/";
constexpr int kMaxStoppedCandidateRows = 100;

std::string StoppedCandidateKey(const StoppedCandidate& stop) {
  return fmt::format("{}{}/{}/{}", kStoppedCandidateKeyPrefix,
                     stop.model.value(), stop.version.value(), stop.generation);
}

std::string StoppedCandidateValue(const StoppedCandidate& stop) {
  return nlohmann::json({{"model", stop.model.value()},
                         {"version", stop.version.value()},
                         {"generation", stop.generation},
                         {"reason", stop.reason}})
      .dump();
}

// Throws nlohmann::json::exception if a field is missing or has the wrong type.
StoppedCandidate ParseStoppedCandidate(const std::string& value) {
  nlohmann::json row = nlohmann::json::parse(value);
  return {ModelId(row.at("model").get<std::string>()),
          VersionId(row.at("version").get<std::string>()),
          row.at("generation").get<int>(), row.value("reason", "")};
}

}  // namespace

bool Core::RequestRating(const Request& request, bool before_delivery) {
  OperationId operation{next_rating_id_++};
  RatingQuery query;
  query.request = request.id;
  query.model = request.model;
  query.version = request.version;
  query.quality_class = request.quality_class.name;
  query.prompt = request.chat_body["messages"].dump();
  query.answer = request.answer.text();
  if (!ports_.ratings.Rate(operation, std::move(query))) {
    return false;
  }
  pending_ratings_[operation] = {before_delivery ? request.id : RequestId(),
                                 request.quality_class, request.account,
                                 request.model, request.version};
  return true;
}

void Core::OnMessage(RatingReply&& reply) {
  auto found = pending_ratings_.find(reply.operation);
  if (found == pending_ratings_.end()) {
    return;
  }
  PendingRating rating = std::move(found->second);
  pending_ratings_.erase(found);
  rating_available_ = reply.ok;
  if (reply.ok) {
    cascade_.OnRating(rating.quality_class, rating.account, rating.model,
                      reply.score);
    if (rollouts_.OnRating(rating.model, rating.version, reply.score)) {
      PublishStoppedCandidates();
    }
  }
  Request* request = FindRequest(rating.awaiting_request);
  if (request != nullptr && request->stage == RequestStage::kAwaitingRating) {
    OnRatedBeforeDelivery(*request, reply);
  }
}

void Core::OnRatedBeforeDelivery(Request& request, const RatingReply& reply) {
  bool passed =
      !reply.ok || reply.score >= request.quality_class.quality_target;
  if (!passed && Escalate(request)) {
    return;
  }
  Complete(request);
}

// Runs the request on the next model of the cascade. Returns false if there is
// none or the retry budget is exhausted; the current answer is then delivered.
bool Core::Escalate(Request& request) {
  const std::vector<ModelId>& cascade = request.quality_class.cascade;
  const ClientAccount* account = configuration().FindAccount(request.account);
  auto current = std::find(cascade.begin(), cascade.end(), request.model);
  if (account == nullptr || current == cascade.end()) {
    return false;
  }
  for (auto next = current + 1; next != cascade.end(); ++next) {
    VersionId version = SelectVersion(configuration(), *account, *next, 0,
                                      StoppedVersions(*next));
    if (version.empty()) {
      continue;
    }
    if (!retry_budget_.TryTake()) {
      return false;
    }
    request.discarded_tokens += request.answer.answer_tokens();
    request.model = *next;
    request.version = VersionId();
    request.answer = ChatAnswer();
    request.excluded_endpoints.clear();
    request.stage = RequestStage::kPreparing;
    PrepareSession(request);
    return true;
  }
  return false;
}

void Core::CountRolloutAnswer(const Request& request, bool failed) {
  if (request.kind == RequestKind::kChat &&
      rollouts_.OnAnswer(request.model, request.version, failed)) {
    PublishStoppedCandidates();
  }
}

// Broadcasts stopped candidates to the peers and stores them for instances that
// start later.
void Core::PublishStoppedCandidates() {
  for (const StoppedCandidate& stop : rollouts_.Stops()) {
    if (stored_stopped_candidates_.count(stop) > 0) {
      continue;
    }
    ports_.log.Write(EventId::kCandidateStopped,
                     fmt::format("model={} version={} {}", stop.model.value(),
                                 stop.version.value(), stop.reason));
    ports_.peers.Broadcast(PeerCandidateStopped{stop.model, stop.version,
                                                stop.generation, stop.reason});
    table_calls_.Submit(
        {NewRandomId(),
         {{StoppedCandidateKey(stop), 0, StoppedCandidateValue(stop)}}},
        [](const TableReply&) {});
  }
  queue_drain_needed_ = true;
}

// Reads the stored candidates. A stopped candidate that is missing there could
// not be written before and is written again.
void Core::PollStoppedCandidates(TimePoint now) {
  if (now < next_stopped_candidate_poll_) {
    return;
  }
  next_stopped_candidate_poll_ = now + kStoppedCandidatePollInterval;
  table_calls_.Query(
      std::string(kStoppedCandidateKeyPrefix), "", kMaxStoppedCandidateRows,
      [this](const TableReply& reply) {
        if (reply.outcome != TableOutcome::kOk) {
          return;
        }
        for (const TableRow& row : reply.rows) {
          try {
            StoppedCandidate stop = ParseStoppedCandidate(row.value);
            rollouts_.AddStop(stop);
            stored_stopped_candidates_.insert(std::move(stop));
          } catch (const nlohmann::json::exception& error) {
            ports_.log.Write(EventId::kConfigurationRejected,
                             fmt::format("row {}: {}", row.key, error.what()));
          }
        }
        for (const StoppedCandidate& stop : rollouts_.Stops()) {
          if (stored_stopped_candidates_.count(stop) == 0) {
            table_calls_.Submit(
                {NewRandomId(),
                 {{StoppedCandidateKey(stop), 0, StoppedCandidateValue(stop)}}},
                [](const TableReply&) {});
          }
        }
      });
}

std::set<VersionId> Core::StoppedVersions(const ModelId& model) const {
  return rollouts_.StoppedVersions(model);
}

}  // namespace filbertshift
