// Faults that can be injected into an emulated inference engine.

#ifndef EMULATOR_ENGINE_ENGINE_FAULTS_H_
#define EMULATOR_ENGINE_ENGINE_FAULTS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "emulator/http/http.h"

namespace filbertshift::emulator {

struct EngineFaults {
  // Closes all connections and refuses new ones for restart_duration.
  bool crash = false;
  // Restarts without downtime: closes all connections, accepts new ones at
  // once.
  bool silent_restart = false;
  // Reports healthy and accepts requests, but sends no tokens.
  bool hang = false;
  // Factor on prefill and token times.
  double slow = 1;
  // Number of further requests that are answered with invalid bytes; -1 for
  // all.
  int garbage = 0;
  // Number of further requests that are answered with a different request id;
  // -1 for all.
  int wrong_request_id = 0;
  // Answers end after this number of tokens without an error.
  std::optional<std::size_t> truncate_after;
  // Closes the connection after a truncated answer.
  bool truncate_cut = false;
  // Rejects requests with 503 and X-Not-Run: true.
  bool refuse = false;
  // Retry-After of these refusals; none if empty.
  std::string retry_after;
  // Added to every response, such as the announcement of a planned stop.
  std::vector<HttpField> headers;
  // Generates bad-quality tokens, which the emulated rating service recognises.
  bool bad_quality = false;

  // Reads the keys, which are named like the members; -1 for truncate_after
  // disables truncation. Throws ControlError and changes nothing on failure.
  void Apply(ControlReader* control);
};

// Returns whether a fault with a request counter applies to the next request,
// and decrements a positive counter.
bool ConsumeFault(int* remaining);

}  // namespace filbertshift::emulator

#endif  // EMULATOR_ENGINE_ENGINE_FAULTS_H_
