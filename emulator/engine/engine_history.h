// What an emulated engine has run, for the checks of tests.

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
  // The other side closed the connection.
  kCancelled,
  // The engine crashed or restarted.
  kCrashed,
  // Ended early by a fault setting.
  kTruncated,
  kGarbage,
  // Not run: 4xx or 5xx.
  kRefused,
};

std::string_view EngineOutcomeName(EngineOutcome outcome);

struct EngineRecord {
  std::uint64_t sequence = 0;
  std::string request_id;
  // The id in the response header; differs by a fault setting.
  std::string answered_request_id;
  std::string prompt_hash;
  int life = 0;
  std::int64_t start_ms = 0;
  // 0 until the first token or the end.
  std::int64_t first_token_ms = 0;
  std::int64_t end_ms = 0;
  // Index of the first token of this answer; not 0 in a continuation.
  std::size_t first_token = 0;
  std::size_t tokens = 0;
  EngineOutcome outcome = EngineOutcome::kRunning;
  // HTTP status.
  int status = 200;
};

struct EngineLife {
  int number = 0;
  std::int64_t start_ms = 0;
  std::int64_t end_ms = 0;
  // Most requests at the same time.
  std::size_t high_water = 0;
  // Why the life ended; empty while it lasts.
  std::string end_cause;
};

// Not thread-safe.
class EngineHistory {
 public:
  // Returns the sequence number.
  std::uint64_t Add(EngineRecord record);
  // `sequence` must come from Add.
  EngineRecord& Find(std::uint64_t sequence);

  void StartLife(std::int64_t now_ms);
  void EndLife(std::int64_t now_ms, std::string cause);
  EngineLife& life() { return lives_.back(); }

  // {"requests":[...],"lives":[...]}, with the requests after `sequence`.
  Json ToJson(std::uint64_t after) const;

 private:
  // Element i has sequence i + 1.
  std::deque<EngineRecord> records_;
  std::vector<EngineLife> lives_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_ENGINE_ENGINE_HISTORY_H_
