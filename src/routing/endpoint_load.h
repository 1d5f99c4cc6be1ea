// Load of one endpoint as known to this instance.

#ifndef SRC_ROUTING_ENDPOINT_LOAD_H_
#define SRC_ROUTING_ENDPOINT_LOAD_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "src/ports/ports.h"

namespace filbertshift {

// Parameters of the expected delay; only their ratios affect the choice.
struct DelayModel {
  // Extra delay of an endpoint at its concurrency limit over an idle one.
  std::chrono::microseconds full_load{100000};
  // Extra delay for each request that waits at the endpoint.
  std::chrono::microseconds per_waiting{50000};
  // Time to process one token of a prompt that is not in the prefix cache.
  std::chrono::microseconds per_prompt_token{50};
  // Upper bound of the bonus for a cached prefix, so that a popular prefix
  // cannot overload one endpoint.
  std::chrono::microseconds max_affinity_bonus{100000};
  // Fraction of the bonus given to the endpoint that the prefix hashes to while
  // this instance has not sent the prefix there; makes all instances choose the
  // same endpoint.
  double hashed_affinity_fraction = 0.25;
};

// kHashed: the prefix hashes to the endpoint. kRecent: this instance recently
// sent the prefix to the endpoint.
enum class PrefixAffinity { kNone, kHashed, kRecent };

class EndpointLoad {
 public:
  void OnReserve(double prompt_tokens, bool suspect, std::uint64_t prefix_hash);
  void OnPromptProcessed(double prompt_tokens);
  // `prompt_tokens` excludes tokens already passed to OnPromptProcessed.
  void OnRelease(double prompt_tokens, bool suspect);
  void OnProbeRequested();
  void OnReport(const ProbeResult& probe, TimePoint now);
  // Discards reports and recent prefixes after a restart of the endpoint.
  void Reset();

  bool HasRecentPrefix(std::uint64_t prefix_hash) const;
  // Excludes network delay. A report older than `max_report_age` is ignored.
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
  // Covers the system prompts in use on one endpoint at a time; small because
  // lookup is linear.
  static constexpr std::size_t kMaxRecentPrefixes = 16;

  int in_flight_ = 0;
  int suspects_ = 0;
  double prompt_tokens_ = 0;
  int running_ = 0;
  int waiting_ = 0;
  // Running and waiting requests of other instances. Requests of this instance
  // are counted in in_flight_ instead, because reports lag.
  int other_requests_ = 0;
  int in_flight_at_probe_ = 0;
  bool probe_requested_ = false;
  bool reported_ = false;
  TimePoint reported_at_;
  // Ring buffer of the latest distinct prefix hashes; 0 marks a free entry.
  std::array<std::uint64_t, kMaxRecentPrefixes> recent_prefixes_{};
  std::size_t next_prefix_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_ENDPOINT_LOAD_H_
