// The load of one endpoint as far as this instance knows it.

#ifndef SRC_ROUTING_ENDPOINT_LOAD_H_
#define SRC_ROUTING_ENDPOINT_LOAD_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "src/ports/ports.h"

namespace filbertshift {

// Parameters of the expected delay. Assumptions: no engine has been measured
// yet. Only their ratios matter for the choice.
struct DelayModel {
  // Added by an endpoint that runs as many requests as its limit allows,
  // compared with an idle one.
  std::chrono::microseconds full_load{100000};
  // Added by each request that waits at the endpoint.
  std::chrono::microseconds per_waiting{50000};
  // Time to process one token of a prompt that is not in the prefix cache.
  std::chrono::microseconds per_prompt_token{50};
  // Bound on what a cached prefix is worth, so that a popular prefix cannot
  // overload one endpoint.
  std::chrono::microseconds max_affinity_bonus{100000};
  // Part of the bonus for the endpoint that the prefix hashes to, before it is
  // known to have the prefix; makes all instances choose the same one.
  double unconfirmed_affinity = 0.25;
};

enum class PrefixAffinity { kNone, kHashed, kRemembered };

class EndpointLoad {
 public:
  void OnReserve(double prompt_tokens, bool suspect, std::uint64_t prefix_hash);
  void OnPromptProcessed(double prompt_tokens);
  // `prompt_tokens` is what OnPromptProcessed has not yet taken off.
  void OnRelease(double prompt_tokens, bool suspect);
  void OnProbeRequested();
  void OnReport(const ProbeResult& probe, TimePoint now);
  // The endpoint restarted: reports and cached prefixes are gone.
  void Forget();

  bool Remembers(std::uint64_t prefix_hash) const;
  // Without network; the report does not count when it is older than
  // `max_report_age`.
  std::chrono::duration<double, std::micro> ExpectedDelay(
      const DelayModel& model,
      int max_concurrency,
      double prompt_tokens,
      PrefixAffinity affinity,
      TimePoint now,
      std::chrono::milliseconds max_report_age) const;

  int in_flight() const { return in_flight_; }
  int suspects() const { return suspects_; }
  int running() const { return running_; }
  int waiting() const { return waiting_; }

 private:
  // Enough for the system prompts in use on one endpoint at a time; compared
  // one by one, so kept small.
  static constexpr std::size_t kRememberedPrefixes = 16;

  int in_flight_ = 0;
  int suspects_ = 0;
  double prompt_tokens_ = 0;
  int running_ = 0;
  int waiting_ = 0;
  // Running and waiting requests of other instances. Reports lag, so own
  // requests are counted here and not taken from the report.
  int others_ = 0;
  int in_flight_at_probe_ = 0;
  bool probe_requested_ = false;
  bool reported_ = false;
  TimePoint reported_at_;
  // Ring of the latest distinct prefixes; 0 is an empty place.
  std::array<std::uint64_t, kRememberedPrefixes> prefixes_{};
  std::size_t next_prefix_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_ENDPOINT_LOAD_H_
