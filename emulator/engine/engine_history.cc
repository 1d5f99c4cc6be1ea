#include "emulator/engine/engine_history.h"

#include <stdexcept>
#include <utility>

namespace filbertshift::emulator {

std::string_view EngineOutcomeName(EngineOutcome outcome) {
  switch (outcome) {
    case EngineOutcome::kRunning:
      return "running";
    case EngineOutcome::kComplete:
      return "complete";
    case EngineOutcome::kCancelled:
      return "cancelled";
    case EngineOutcome::kCrashed:
      return "crashed";
    case EngineOutcome::kTruncated:
      return "truncated";
    case EngineOutcome::kGarbage:
      return "garbage";
    case EngineOutcome::kRefused:
      return "refused";
  }
  throw std::invalid_argument("unknown engine outcome");
}

std::uint64_t EngineHistory::Add(EngineRecord record) {
  record.sequence = records_.size() + 1;
  records_.push_back(std::move(record));
  return records_.size();
}

EngineRecord& EngineHistory::Find(std::uint64_t sequence) {
  return records_.at(sequence - 1);
}

void EngineHistory::StartIncarnation(std::int64_t now_ms) {
  EngineIncarnation incarnation;
  incarnation.number = static_cast<int>(incarnations_.size()) + 1;
  incarnation.start_ms = now_ms;
  incarnations_.push_back(incarnation);
}

void EngineHistory::EndIncarnation(std::int64_t now_ms, std::string cause) {
  incarnations_.back().end_ms = now_ms;
  incarnations_.back().end_cause = std::move(cause);
}

Json EngineHistory::ToJson(std::uint64_t after) const {
  Json requests = Json::array();
  for (std::size_t i = after; i < records_.size(); ++i) {
    const EngineRecord& record = records_[i];
    requests.push_back({{"sequence", record.sequence},
                        {"request_id", record.request_id},
                        {"answered_request_id", record.answered_request_id},
                        {"prompt_hash", record.prompt_hash},
                        {"life", record.life},
                        {"start_ms", record.start_ms},
                        {"first_token_ms", record.first_token_ms},
                        {"end_ms", record.end_ms},
                        {"first_token", record.first_token},
                        {"tokens", record.tokens},
                        {"outcome", EngineOutcomeName(record.outcome)},
                        {"status", record.status}});
  }
  Json incarnations = Json::array();
  for (const EngineIncarnation& incarnation : incarnations_) {
    incarnations.push_back({{"life", incarnation.number},
                            {"start_ms", incarnation.start_ms},
                            {"end_ms", incarnation.end_ms},
                            {"high_water", incarnation.high_water},
                            {"end_cause", incarnation.end_cause}});
  }
  return Json{{"requests", requests}, {"lives", incarnations}};
}

}  // namespace filbertshift::emulator
