#include "src/routing/endpoint_load.h"

#include <algorithm>

namespace filbertshift {

namespace {

using Delay = std::chrono::duration<double, std::micro>;

Delay AffinityBonus(const DelayModel& model,
                    double prompt_tokens,
                    PrefixAffinity affinity) {
  const Delay saved = std::min(prompt_tokens * Delay(model.per_prompt_token),
                               Delay(model.max_affinity_bonus));
  switch (affinity) {
    case PrefixAffinity::kNone:
      return Delay(0);
    case PrefixAffinity::kHashed:
      return saved * model.hashed_affinity_fraction;
    case PrefixAffinity::kRecent:
      return saved;
  }
  return Delay(0);
}

}  // namespace

void EndpointLoad::OnReserve(double prompt_tokens,
                             bool suspect,
                             std::uint64_t prefix_hash) {
  ++in_flight_;
  suspects_ += suspect ? 1 : 0;
  prompt_tokens_ += prompt_tokens;
  if (prefix_hash != 0 && !HasRecentPrefix(prefix_hash)) {
    recent_prefixes_[next_prefix_] = prefix_hash;
    next_prefix_ = (next_prefix_ + 1) % recent_prefixes_.size();
  }
}

void EndpointLoad::OnPromptProcessed(double prompt_tokens) {
  prompt_tokens_ = std::max(0.0, prompt_tokens_ - prompt_tokens);
}

void EndpointLoad::OnRelease(double prompt_tokens, bool suspect) {
  --in_flight_;
  suspects_ -= suspect ? 1 : 0;
  OnPromptProcessed(prompt_tokens);
}

void EndpointLoad::OnProbeRequested() {
  probe_requested_ = true;
  in_flight_at_probe_ = in_flight_;
}

void EndpointLoad::OnReport(const ProbeResult& probe, TimePoint now) {
  const int own = probe_requested_ ? in_flight_at_probe_ : in_flight_;
  probe_requested_ = false;
  running_ = std::max(probe.running, 0);
  waiting_ = std::max(probe.waiting, 0);
  other_requests_ = std::max(running_ + waiting_ - own, 0);
  reported_ = true;
  reported_at_ = now;
}

void EndpointLoad::Reset() {
  running_ = 0;
  waiting_ = 0;
  other_requests_ = 0;
  reported_ = false;
  recent_prefixes_.fill(0);
  next_prefix_ = 0;
}

bool EndpointLoad::HasRecentPrefix(std::uint64_t prefix_hash) const {
  return prefix_hash != 0 &&
         std::find(recent_prefixes_.begin(), recent_prefixes_.end(),
                   prefix_hash) != recent_prefixes_.end();
}

Delay EndpointLoad::ExpectedDelay(
    const DelayModel& model,
    int max_concurrency,
    double prompt_tokens,
    PrefixAffinity affinity,
    TimePoint now,
    std::chrono::milliseconds max_report_age) const {
  const bool report_is_fresh =
      reported_ && now - reported_at_ <= max_report_age;
  const int requests = in_flight_ + (report_is_fresh ? other_requests_ : 0);
  const int waiting = report_is_fresh ? waiting_ : 0;
  const double load =
      static_cast<double>(requests) / std::max(max_concurrency, 1);
  return load * Delay(model.full_load) + waiting * Delay(model.per_waiting) +
         (prompt_tokens_ + prompt_tokens) * Delay(model.per_prompt_token) -
         AffinityBonus(model, prompt_tokens, affinity);
}

}  // namespace filbertshift
