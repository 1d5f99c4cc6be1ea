// Tests of the comparison of two versions, on simulated rollouts whose
// candidate is slow for some of its requests, or sound under conditions that
// make requests slower.

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "src/fleet/fleet.h"

namespace filbertshift {
namespace {

using std::chrono::microseconds;

const ServiceId kService("s");
const VersionId kStable("v1");
const VersionId kCandidate("v2");

// Conditions of a simulated rollout. Factors multiply times.
struct Conditions {
  double deadline_seconds = 24;
  double requests_per_second = 110;
  double candidate_share = 0.06;
  // The candidate's fault: this share of its requests takes `factor` times as
  // long, from `bad_from_seconds` after the order, on all routes or on one.
  double factor = 1;
  double bad_share = 0;
  double bad_from_seconds = 0;
  bool one_route_only = false;
  // Conditions of sound versions.
  double burst_from_seconds = 1000;
  double burst_factor = 1;
  // Time from the start of the candidate's share in which its endpoints are
  // slower, and whether they are known to be cold.
  double cold_seconds = 0;
  double cold_first_byte_factor = 1;
  bool known_cold = false;
  double far_milliseconds = 0;
  double slow_endpoint_factor = 1;
  int candidate_endpoints = 2;
  double evidence_lag_seconds = 1;
  // Whether the stable version's endpoints are slower than the candidate's.
  double stable_load_factor = 1;
};

struct Outcome {
  bool sent_back = false;
  double stopped_at_seconds = 0;
  int bad_answers = 0;
};

// Times of responses as engines show them: most are close to the fastest, and
// prompts of other requests delay the rest.
double SampleMilliseconds(double typical, std::mt19937* random) {
  std::uniform_real_distribution<double> uniform(0, 1);
  std::normal_distribution<double> normal(0, 1);
  bool delayed = uniform(*random) < 0.25;
  return typical * (delayed ? 2.2 * std::exp(0.6 * normal(*random))
                            : std::exp(0.15 * normal(*random)));
}

microseconds Microseconds(double milliseconds) {
  return microseconds(static_cast<std::int64_t>(milliseconds * 1000));
}

struct Route {
  const char* name;
  double share;
  double first_byte_milliseconds;
};

constexpr Route kRoutes[] = {{"short", 0.5, 50},
                             {"long", 0.3, 90},
                             {"chat", 0.2, 55}};
constexpr double kGapMilliseconds = 35;

class SimulatedRollout {
 public:
  SimulatedRollout(const Conditions& conditions, unsigned seed)
      : conditions_(conditions), random_(seed) {}

  Outcome Run() {
    constexpr double kStepSeconds = 0.25;
    std::vector<RolloutEvidence> published;
    auto lag = static_cast<std::size_t>(conditions_.evidence_lag_seconds /
                                        kStepSeconds);
    double first_share_from = 2;
    double full_share_from = conditions_.deadline_seconds * 0.92;
    for (double now = 0; now < full_share_from; now += kStepSeconds) {
      std::poisson_distribution<int> arrivals(conditions_.requests_per_second *
                                              kStepSeconds);
      int count = arrivals(random_);
      for (int i = 0; i < count; ++i) {
        bool candidate =
            now >= first_share_from && Uniform() < conditions_.candidate_share;
        AddResponse(candidate, now);
      }
      published.push_back(evidence_);
      if (published.size() <= lag) {
        continue;
      }
      verdict_ = EvaluateCandidate(published[published.size() - 1 - lag],
                                   kService, kCandidate);
      if (verdict_ == CandidateVerdict::kBad) {
        return {true, now, bad_answers_};
      }
    }
    return {verdict_ == CandidateVerdict::kSuspect, full_share_from,
            bad_answers_};
  }

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void AddResponse(bool candidate, double now) {
    double pick = Uniform();
    const Route* route = &kRoutes[0];
    while (pick > route->share && route != std::end(kRoutes) - 1) {
      pick -= route->share;
      ++route;
    }
    EvidenceKey key{kService, candidate ? kCandidate : kStable, route->name};
    double first_byte =
        SampleMilliseconds(route->first_byte_milliseconds, &random_);
    double gap = SampleMilliseconds(kGapMilliseconds, &random_);
    double factor =
        now >= conditions_.burst_from_seconds ? conditions_.burst_factor : 1;
    int group = 0;
    if (candidate) {
      bool bad = now >= conditions_.bad_from_seconds &&
                 (!conditions_.one_route_only || route == &kRoutes[0]) &&
                 Uniform() < conditions_.bad_share;
      bad_answers_ += bad ? 1 : 0;
      factor *= bad ? conditions_.factor : 1;
      group = static_cast<int>(Uniform() * conditions_.candidate_endpoints);
      factor *= group == 0 ? conditions_.slow_endpoint_factor : 1;
      bool cold = now < 2 + conditions_.cold_seconds;
      first_byte *= cold ? conditions_.cold_first_byte_factor : 1;
      group = cold && conditions_.known_cold ? -1 : group;
      first_byte += conditions_.far_milliseconds;
    } else {
      factor *= conditions_.stable_load_factor;
    }
    evidence_.OnAnswer(key, false);
    evidence_.OnFirstByte(key, Microseconds(first_byte * factor), group);
    evidence_.OnMeanGap(key, Microseconds(gap * factor), group);
  }

  const Conditions conditions_;
  std::mt19937 random_;
  RolloutEvidence evidence_;
  CandidateVerdict verdict_ = CandidateVerdict::kUndecided;
  int bad_answers_ = 0;
};

struct Rates {
  int rollouts = 0;
  int sent_back = 0;
  int most_bad_answers = 0;
};

Rates Simulate(const Conditions& conditions, int rollouts) {
  Rates rates;
  rates.rollouts = rollouts;
  for (int seed = 1; seed <= rollouts; ++seed) {
    Outcome outcome =
        SimulatedRollout(conditions, static_cast<unsigned>(seed)).Run();
    rates.sent_back += outcome.sent_back ? 1 : 0;
    rates.most_bad_answers =
        std::max(rates.most_bad_answers, outcome.bad_answers);
  }
  return rates;
}

Conditions SlowVersion(double factor, double share) {
  Conditions conditions;
  conditions.factor = factor;
  conditions.bad_share = share;
  return conditions;
}

struct NamedConditions {
  const char* name;
  Conditions conditions;
};

// Conditions under which a sound version must be kept, at the traffic of 4 and
// of 118 instances.
std::vector<NamedConditions> SoundConditions() {
  std::vector<NamedConditions> all;
  for (bool large : {false, true}) {
    Conditions calm;
    if (large) {
      calm.requests_per_second = 900;
      calm.candidate_share = 0.029;
      calm.candidate_endpoints = 3;
    }
    Conditions conditions = calm;
    all.push_back({"equal", conditions});
    conditions.deadline_seconds = 15;
    all.push_back({"short deadline", conditions});
    conditions = calm;
    conditions.requests_per_second /= 4;
    all.push_back({"few answers", conditions});
    conditions = calm;
    conditions.burst_from_seconds = 8;
    conditions.burst_factor = 2;
    all.push_back({"burst", conditions});
    conditions.burst_from_seconds = 18;
    all.push_back({"late burst", conditions});
    conditions = calm;
    conditions.cold_seconds = 3;
    conditions.cold_first_byte_factor = 3;
    conditions.known_cold = true;
    all.push_back({"cold start", conditions});
    conditions.cold_first_byte_factor = 1.3;
    conditions.known_cold = false;
    all.push_back({"cold caches", conditions});
    conditions = calm;
    conditions.evidence_lag_seconds = 5;
    all.push_back({"slow store", conditions});
    conditions = calm;
    conditions.far_milliseconds = 1.4;
    all.push_back({"endpoints in another data centre", conditions});
  }
  return all;
}

// Guards against a slow version that is kept because the mean of its fast and
// slow responses is below a limit.
TEST_CASE("a version that is slow for half of its requests is found",
          "[fleet]") {
  for (double factor : {2.0, 3.0, 5.0, 8.0}) {
    Rates rates = Simulate(SlowVersion(factor, 0.5), 100);
    INFO("factor " << factor << ": " << rates.sent_back << " of "
                   << rates.rollouts);
    CHECK(rates.sent_back == rates.rollouts);
  }
}

// Guards against a slow version that is completed because a short rollout of a
// service with little traffic gives too few responses: about 40 here.
TEST_CASE("a slow version is found by few responses", "[fleet]") {
  Conditions conditions = SlowVersion(2, 0.5);
  conditions.deadline_seconds = 15;
  conditions.requests_per_second = 55;
  Rates twice = Simulate(conditions, 100);
  INFO("2 times: " << twice.sent_back);
  CHECK(twice.sent_back >= 72);
  conditions.factor = 3;
  Rates three_times = Simulate(conditions, 100);
  INFO("3 times: " << three_times.sent_back);
  CHECK(three_times.sent_back >= 86);
}

// Guards against a test of times that sends sound versions back on a bad day.
TEST_CASE("a sound version is kept under conditions that make it slower",
          "[fleet]") {
  int rollouts = 0;
  int sent_back = 0;
  for (const NamedConditions& named : SoundConditions()) {
    Rates rates = Simulate(named.conditions, 40);
    rollouts += rates.rollouts;
    sent_back += rates.sent_back;
    INFO(named.name << ": " << rates.sent_back);
    CHECK(rates.sent_back <= 1);
  }
  WARN("sound versions sent back: " << sent_back << " of " << rollouts);
  CHECK(sent_back * 100 <= rollouts);
}

Conditions OneSlowEndpoint() {
  Conditions conditions;
  conditions.stable_load_factor = 1.3;
  conditions.slow_endpoint_factor = 4;
  return conditions;
}

// Guards against a sound version that is sent back for one of its endpoints.
TEST_CASE("a sound version with one slow endpoint is kept", "[fleet]") {
  Rates rates = Simulate(OneSlowEndpoint(), 40);
  INFO(rates.sent_back << " of " << rates.rollouts);
  CHECK(rates.sent_back <= 1);
}

// Error rates for docs/decisions/0010-slow-versions.md.
TEST_CASE("error rates of the comparison of versions", "[.simulation]") {
  constexpr int kRollouts = 300;
  for (const NamedConditions& named : SoundConditions()) {
    Rates rates = Simulate(named.conditions, kRollouts);
    WARN("sound " << named.name << " (" << named.conditions.requests_per_second
                  << "/s): " << rates.sent_back);
  }
  WARN("sound, one slow endpoint of two: "
       << Simulate(OneSlowEndpoint(), kRollouts).sent_back);
  for (double share : {0.2, 0.35, 0.5, 1.0}) {
    for (double factor : {1.5, 2.0, 3.0, 4.0, 5.0, 8.0}) {
      Conditions conditions = SlowVersion(factor, share);
      Rates usual = Simulate(conditions, kRollouts);
      conditions.one_route_only = true;
      Rates one_route = Simulate(conditions, kRollouts);
      conditions.one_route_only = false;
      conditions.bad_from_seconds = 8;
      Rates late = Simulate(conditions, kRollouts);
      conditions.bad_from_seconds = 0;
      conditions.deadline_seconds = 15;
      Rates short_deadline = Simulate(conditions, kRollouts);
      conditions.requests_per_second /= 2;
      Rates few = Simulate(conditions, kRollouts);
      WARN("share " << share << " factor " << factor << ": found "
                    << usual.sent_back << ", at most " << usual.most_bad_answers
                    << " bad answers; one route " << one_route.sent_back
                    << "; from 8 s on " << late.sent_back << "; in 15 s "
                    << short_deadline.sent_back << "; half the traffic "
                    << few.sent_back);
    }
  }
}

// Guards against histograms that change on their way through member rows.
TEST_CASE("times in member rows are read back", "[fleet]") {
  std::mt19937 random(7);
  MemberState state;
  state.instance = InstanceId("i-1");
  state.peer_address = "10.0.0.1:80";
  EvidenceKey key{kService, kCandidate, "r"};
  for (int i = 0; i < 500; ++i) {
    microseconds time = Microseconds(SampleMilliseconds(50, &random));
    int group = i % kEndpointGroups;
    // One group has no times.
    state.evidence.OnFirstByte(key, time, group == 3 ? 4 : group);
    state.evidence.OnMeanGap(key, time / 2, group);
  }
  state.evidence.OnMeanGap(key, microseconds(0));
  state.evidence.OnMeanGap(key, std::chrono::hours(1));
  std::optional<MemberState> read = DecodeMemberState(EncodeMemberState(state));
  REQUIRE(read.has_value());
  const AnswerCounts& written = state.evidence.counts().at(key);
  const AnswerCounts& counts = read->evidence.counts().at(key);
  std::int64_t first_bytes = 0;
  std::int64_t gaps = 0;
  for (std::size_t group = 0; group < kEndpointGroups; ++group) {
    first_bytes += counts.first_byte_times[group].total();
    gaps += counts.gap_times[group].total();
    for (int bin = 0; bin < TimeHistogram::kBins; ++bin) {
      CHECK(counts.first_byte_times[group].count(bin) ==
            written.first_byte_times[group].count(bin));
      CHECK(counts.gap_times[group].count(bin) ==
            written.gap_times[group].count(bin));
    }
  }
  CHECK(first_bytes == 500);
  CHECK(gaps == 502);
}

// Guards against rows of another release that cannot be read in a rolling
// upgrade: earlier rows have no histograms, later ones may have more fields.
TEST_CASE("member rows of other releases are read", "[fleet]") {
  std::string head =
      R"({"instance":"i","peer_address":"a","incarnation":1,"beat":2,)"
      R"("evidence":[["s","v2","r",5,1,4,20000,3,9000,6)";
  EvidenceKey key{kService, kCandidate, "r"};
  std::optional<MemberState> earlier = DecodeMemberState(head + "]]}");
  REQUIRE(earlier.has_value());
  CHECK(earlier->evidence.counts().at(key).sends == 6);
  CHECK(earlier->evidence.counts().at(key).first_byte_times[0].total() == 0);
  std::optional<MemberState> later =
      DecodeMemberState(head + R"(,"20:3,1;;5:2","18:2,,1",7,"x"]]})");
  REQUIRE(later.has_value());
  const AnswerCounts& counts = later->evidence.counts().at(key);
  CHECK(counts.first_byte_times[0].total() == 4);
  CHECK(counts.first_byte_times[2].total() == 2);
  CHECK(counts.gap_times[0].total() == 3);
}

TEST_CASE("invalid histograms count as empty", "[fleet]") {
  for (const char* text :
       {"", ":", "1", "-1:2", "1:-2", "1:x", "64:1", "63:1,1", "1:2,3,",
        "99999999999999999999:1", "1:99999999999999999999", "\xff:1"}) {
    INFO(text);
    TimeHistogram histogram = DecodeTimeHistogram(text);
    std::int64_t sum = 0;
    for (int bin = 0; bin < TimeHistogram::kBins; ++bin) {
      sum += histogram.count(bin);
    }
    CHECK(histogram.total() == sum);
    CHECK((sum == 0 || std::string(text) == "1:2,3,"));
  }
}

// Guards against a fleet whose evidence depends on which instances saw it.
TEST_CASE("evidence of many instances adds up", "[fleet]") {
  std::mt19937 random(11);
  std::vector<RolloutEvidence> instances(118);
  RolloutEvidence together;
  for (int i = 0; i < 20000; ++i) {
    bool candidate = i % 34 == 0;
    EvidenceKey key{kService, candidate ? kCandidate : kStable, "r"};
    double slower = candidate && random() % 2 == 0 ? 2 : 1;
    microseconds gap =
        Microseconds(SampleMilliseconds(kGapMilliseconds * slower, &random));
    instances[random() % instances.size()].OnMeanGap(key, gap);
    together.OnMeanGap(key, gap);
  }
  RolloutEvidence sum;
  std::size_t largest_row = 0;
  for (const RolloutEvidence& evidence : instances) {
    MemberState state;
    state.evidence = evidence;
    std::string row = EncodeMemberState(state);
    largest_row = std::max(largest_row, row.size());
    sum.Add(DecodeMemberState(row)->evidence);
  }
  INFO("largest row " << largest_row);
  CHECK(largest_row < 1024);
  CHECK(EvaluateCandidate(sum, kService, kCandidate) == CandidateVerdict::kBad);
  CHECK(EvaluateCandidate(together, kService, kCandidate) ==
        CandidateVerdict::kBad);
}

// Guards against a suspect version that gets all requests, or replaces the
// stable version, because the time for a verdict is over.
TEST_CASE("a suspect version is not completed", "[fleet]") {
  RolloutInputs inputs;
  inputs.order = {kService, kCandidate, std::chrono::seconds(24), {0, 7}};
  inputs.candidate_endpoints = 3;
  inputs.store_now = std::chrono::seconds(100);
  inputs.progress = NextRolloutProgress(inputs);
  RolloutProgress& progress = *inputs.progress;
  inputs.verdict = CandidateVerdict::kSuspect;
  SECTION("before the full share") {
    progress.exposure_permille = kFirstSharePermille;
    inputs.store_now += std::chrono::seconds(20);
    inputs.limit = {0.0, 0.0};
    inputs.traffic = {100, 1000, 50};
    // More responses may still decide it.
    CHECK_FALSE(NextRolloutProgress(inputs).has_value());
    inputs.limit = {1.0, 0.0};
  }
  SECTION("before the completion") {
    progress.exposure_permille = 1000;
    progress.changed_at = inputs.store_now;
    inputs.stable_in_flight = 5;
    inputs.store_now += std::chrono::milliseconds(22400);
    CHECK_FALSE(NextRolloutProgress(inputs).has_value());
    inputs.store_now += std::chrono::milliseconds(200);
  }
  std::optional<RolloutProgress> next = NextRolloutProgress(inputs);
  REQUIRE(next.has_value());
  CHECK(next->state == RolloutPhase::kReverted);
}

}  // namespace
}  // namespace filbertshift
