// Record of the requests and incarnations of an emulated engine, for
// verification by tests.

#ifndef EMULATOR_ENGINE_ENGINE_HISTORY_H_
#define EMULATOR_ENGINE_ENGINE_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/http/http_message.h"

namespace filbertshift::emulator {

enum class EngineOutcome {
  kRunning,
  kComplete,
  // The client closed the connection.
  kCancelled,
  // The engine crashed or restarted.
  kCrashed,
  // Ended early because of truncate_after.
  kTruncated,
  // Answered with invalid bytes because of the garbage fault.
  kGarbage,
  // Rejected with 4xx or 5xx without being run.
  kRefused,
};

std::string_view EngineOutcomeName(EngineOutcome outcome);

struct EngineRecord {
  std::uint64_t sequence = 0;
  std::string request_id;
  // The id in the response header; differs under the wrong_request_id fault.
  std::string answered_request_id;
  std::string prompt_hash;
  // Number of the incarnation.
  int life = 0;
  std::int64_t start_ms = 0;
  // 0 before the first token.
  std::int64_t first_token_ms = 0;
  // 0 while the request is running.
  std::int64_t end_ms = 0;
  // Index of the first token of this answer; above 0 for a continuation.
  std::size_t first_token = 0;
  std::size_t tokens = 0;
  EngineOutcome outcome = EngineOutcome::kRunning;
  // HTTP status code.
  int status = 200;
};

// The period from a start of the engine to its next crash or restart.
struct EngineIncarnation {
  int number = 0;
  std::int64_t start_ms = 0;
  std::int64_t end_ms = 0;
  // Peak number of concurrent requests.
  std::size_t high_water = 0;
  // Reason for the end; empty while the incarnation lasts.
  std::string end_cause;
};

// Not thread-safe.
class EngineHistory {
 public:
  // Returns the sequence number assigned to the record.
  std::uint64_t Add(EngineRecord record);
  // `sequence` must have been returned by Add.
  EngineRecord& Find(std::uint64_t sequence);

  void StartIncarnation(std::int64_t now_ms);
  void EndIncarnation(std::int64_t now_ms, std::string cause);
  EngineIncarnation& incarnation() { return incarnations_.back(); }

  // Returns {"requests":[...],"lives":[...]} with the requests whose sequence
  // is greater than `after`.
  Json ToJson(std::uint64_t after) const;

 private:
  // Element i has sequence i + 1.
  std::deque<EngineRecord> records_;
  std::vector<EngineIncarnation> incarnations_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_ENGINE_ENGINE_HISTORY_H_
