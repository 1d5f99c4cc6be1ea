// The faults of an emulated model engine.

#ifndef EMULATOR_ENGINE_ENGINE_FAULTS_H_
#define EMULATOR_ENGINE_ENGINE_FAULTS_H_

#include <cstddef>
#include <optional>

#include "emulator/http/http.h"

namespace filbertshift::emulator {

struct EngineFaults {
  // Cuts all connections, refuses new ones for restart_duration.
  bool crash = false;
  // A new life at once: all connections are cut, new ones are accepted.
  bool silent_restart = false;
  // Healthy, accepts requests, sends no tokens.
  bool hang = false;
  double slow = 1;
  // Number of further requests whose answers have invalid bytes; -1 is all.
  int garbage = 0;
  // Number of further requests that get another request id; -1 is all.
  int wrong_request_id = 0;
  // Answers end after this number of tokens, without an error.
  std::optional<std::size_t> truncate_after;
  // Truncated answers end with a cut connection.
  bool truncate_cut = false;
  // 503 with X-Not-Run: true.
  bool refuse = false;
  // Tokens of bad quality, which the emulated rating service recognizes.
  bool bad_quality = false;

  // Keys as the members; truncate_after -1 switches it off. Throws
  // ControlError.
  void Apply(ControlReader* control);
};

// Counts one use of a counter of requests. False if it does not apply.
bool TakeFault(int* count);

}  // namespace filbertshift::emulator

#endif  // EMULATOR_ENGINE_ENGINE_FAULTS_H_
