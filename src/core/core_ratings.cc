// Ratings of answers: judging before delivery, learning, and stopping bad
// candidates.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "src/core/core.h"

namespace filbertshift {

namespace {

constexpr std::chrono::milliseconds kStopPollInterval{5000};
constexpr std::string_view kStopPrefix = "stopped/";
constexpr int kMaxStops = 100;

std::string StopKey(const StoppedCandidate& stop) {
  return fmt::format("{}{}/{}/{}", kStopPrefix, stop.model.value(),
                     stop.version.value(), stop.generation);
}

std::string StopValue(const StoppedCandidate& stop) {
  return nlohmann::json({{"model", stop.model.value()},
                         {"version", stop.version.value()},
                         {"generation", stop.generation},
                         {"reason", stop.reason}})
      .dump();
}

// Throws nlohmann::json::exception for a row of another shape.
StoppedCandidate ParseStop(const std::string& value) {
  nlohmann::json row = nlohmann::json::parse(value);
  return {ModelId(row.at("model").get<std::string>()),
          VersionId(row.at("version").get<std::string>()),
          row.at("generation").get<int>(), row.value("reason", "")};
}

}  // namespace

bool Core::Rate(const Request& request, bool judging) {
  OperationId operation{next_rating_++};
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
  ratings_[operation] = {judging ? request.id : RequestId(),
                         request.quality_class, request.account, request.model,
                         request.version};
  return true;
}

void Core::On(RatingReply&& reply) {
  auto found = ratings_.find(reply.operation);
  if (found == ratings_.end()) {
    return;
  }
  PendingRating rating = std::move(found->second);
  ratings_.erase(found);
  rating_available_ = reply.ok;
  if (reply.ok) {
    cascade_.OnRating(rating.quality_class, rating.account, rating.model,
                      reply.score);
    if (rollouts_.OnRating(rating.model, rating.version, reply.score)) {
      ShareStops();
    }
  }
  Request* request = Find(rating.judged);
  if (request != nullptr && request->stage == RequestStage::kJudging) {
    OnJudged(*request, reply);
  }
}

void Core::OnJudged(Request& request, const RatingReply& reply) {
  bool passed =
      !reply.ok || reply.score >= request.quality_class.quality_target;
  if (!passed && Escalate(request)) {
    return;
  }
  Complete(request);
}

// Runs the request on the next better model. False if there is none, or if too
// many requests are run again at present; the answer at hand is then delivered.
bool Core::Escalate(Request& request) {
  const std::vector<ModelId>& cascade = request.quality_class.cascade;
  const ClientAccount* account = configuration().FindAccount(request.account);
  auto present = std::find(cascade.begin(), cascade.end(), request.model);
  if (account == nullptr || present == cascade.end()) {
    return false;
  }
  for (auto next = present + 1; next != cascade.end(); ++next) {
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
    request.excluded.clear();
    request.stage = RequestStage::kPreparing;
    PrepareSession(request);
    return true;
  }
  return false;
}

void Core::CountAnswer(const Request& request, bool bad) {
  if (request.kind == RequestKind::kChat &&
      rollouts_.OnAnswer(request.model, request.version, bad)) {
    ShareStops();
  }
}

// Peers hear of a stop at once; the row lets instances that start later know.
void Core::ShareStops() {
  for (const StoppedCandidate& stop : rollouts_.Stops()) {
    if (stored_stops_.count(stop) > 0) {
      continue;
    }
    ports_.log.Write(EventId::kCandidateStopped,
                     fmt::format("model={} version={} {}", stop.model.value(),
                                 stop.version.value(), stop.reason));
    ports_.peers.Broadcast(PeerCandidateStopped{stop.model, stop.version,
                                                stop.generation, stop.reason});
    table_calls_.Submit({NewToken(), {{StopKey(stop), 0, StopValue(stop)}}},
                        [](const TableReply&) {});
  }
  queue_changed_ = true;
}

// A stop that could not be written is written again, since it is missing from
// what the poll returns.
void Core::PollStops(TimePoint now) {
  if (now < next_stop_poll_) {
    return;
  }
  next_stop_poll_ = now + kStopPollInterval;
  table_calls_.Query(
      std::string(kStopPrefix), "", kMaxStops, [this](const TableReply& reply) {
        if (reply.outcome != TableOutcome::kOk) {
          return;
        }
        for (const TableRow& row : reply.rows) {
          try {
            StoppedCandidate stop = ParseStop(row.value);
            rollouts_.AddStop(stop);
            stored_stops_.insert(std::move(stop));
          } catch (const nlohmann::json::exception& error) {
            ports_.log.Write(EventId::kConfigurationRejected,
                             fmt::format("row {}: {}", row.key, error.what()));
          }
        }
        for (const StoppedCandidate& stop : rollouts_.Stops()) {
          if (stored_stops_.count(stop) == 0) {
            table_calls_.Submit(
                {NewToken(), {{StopKey(stop), 0, StopValue(stop)}}},
                [](const TableReply&) {});
          }
        }
      });
}

std::set<VersionId> Core::StoppedVersions(const ModelId& model) const {
  return rollouts_.Stopped(model);
}

}  // namespace filbertshift
