// Compares estimates of the failure detector's timeout on synthetic delay
// traces that end with a hang: false suspicions and detection time. The traces
// are assumptions about engine behaviour, not recordings.
//
// Usage: detector_bench [seeds] [samples for each seed]

#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "src/routing/delay_window.h"
#include "src/routing/failure_detector.h"

namespace filbertshift {
namespace {

constexpr std::size_t kWindow = 100;
constexpr std::size_t kMinSamples = 10;
constexpr double kMinTimeoutMs = 250;

// A monitored delay with its nominal period and its fixed timeout bound.
struct Signal {
  std::string name;
  // Typical delay of an idle endpoint, in milliseconds.
  double base_ms;
  // Nominal period between events; 0 where events have no period.
  double period_ms;
  double max_timeout_ms;
  // Limit on false suspicions in the comparison, see
  // docs/decisions/0001-failure-detector.md.
  double max_false_per_million;
};

// Delay in milliseconds of the sample at `position` (0 to 1) in the trace.
using DelaySource = std::function<double(std::mt19937_64&, double position)>;

struct Trace {
  std::string name;
  // Creates a new source for each run, because burst sources have state.
  std::function<DelaySource(double base_ms)> make;
};

struct Estimate {
  std::string family;
  std::string name;
  std::function<double(const DelayWindow&, const Signal&)> timeout_ms;
};

struct Score {
  std::size_t silences = 0;
  std::size_t false_suspicions = 0;
  double detection_ms = 0;
  double worst_detection_ms = 0;
  std::size_t hangs = 0;

  double FalsePerMillion() const {
    return 1e6 * static_cast<double>(false_suspicions) /
           static_cast<double>(std::max<std::size_t>(silences, 1));
  }
  double MeanDetectionMs() const {
    return detection_ms / static_cast<double>(std::max<std::size_t>(hangs, 1));
  }
};

// Scores of one estimate, in the order of Traces().
using Scores = std::vector<Score>;

double Noise(std::mt19937_64& random, double mean, double deviation) {
  return std::max(1.0, std::normal_distribution<>(mean, deviation)(random));
}

DelaySource Steady(double base) {
  return [base](std::mt19937_64& random, double) {
    return Noise(random, base, base * 0.07);
  };
}

// The delay rises to four times the idle delay and falls again, three times.
DelaySource Drifting(double base) {
  return [base](std::mt19937_64& random, double position) {
    constexpr double kCycles = 3;
    const double wave = 1 - std::cos(position * kCycles * 2 * M_PI);
    return Noise(random, base * (1 + 1.5 * wave), base * 0.2);
  };
}

// One delay in 500 on average starts a burst of 20 delays of eight times the
// usual length, as when a long prompt is processed alongside running streams.
DelaySource Bursts(double base) {
  return [base, remaining = 0](std::mt19937_64& random, double) mutable {
    if (remaining == 0 &&
        std::uniform_int_distribution<>(1, 500)(random) == 1) {
      remaining = 20;
    }
    const double factor = remaining > 0 ? 8 : 1;
    remaining = std::max(0, remaining - 1);
    return Noise(random, base * factor, base * factor * 0.1);
  };
}

// Log-normal with sigma 0.8: one delay in 1,000 exceeds 11 times the median.
DelaySource HeavyTail(double base) {
  return [base](std::mt19937_64& random, double) {
    return base * std::lognormal_distribution<>(0, 0.8)(random);
  };
}

std::vector<Trace> Traces() {
  return {{"steady", Steady},
          {"drifting load", Drifting},
          {"bursts", Bursts},
          {"heavy tail", HeavyTail}};
}

Estimate FixedBound() {
  return {"fixed", "fixed bound", [](const DelayWindow&, const Signal& signal) {
            return signal.max_timeout_ms;
          }};
}

Estimate MeanAndDeviation(double factor, double margin) {
  return {"mean", fmt::format("mean + {} dev + {} ms", factor, margin),
          [=](const DelayWindow& window, const Signal&) {
            return window.Mean() / 1000 + factor * window.Deviation() / 1000 +
                   margin;
          }};
}

Estimate PeriodAndRootMeanSquare(double margin) {
  return {"rms", fmt::format("period + rms + {} ms", margin),
          [=](const DelayWindow& window, const Signal& signal) {
            const double period_us = signal.period_ms * 1000;
            return signal.period_ms +
                   window.RootMeanSquareBeyond(period_us) / 1000 + margin;
          }};
}

std::vector<Estimate> Estimates() {
  std::vector<Estimate> estimates = {FixedBound()};
  for (double factor : {2, 3, 4, 5, 6, 8, 10, 12}) {
    for (double margin : {50, 250, 500, 600, 700, 800, 900, 1000, 1200, 1500}) {
      estimates.push_back(MeanAndDeviation(factor, margin));
    }
  }
  for (double margin = 100; margin <= 3000; margin += 100) {
    estimates.push_back(PeriodAndRootMeanSquare(margin));
  }
  return estimates;
}

double BoundedTimeout(const Estimate& estimate,
                      const DelayWindow& window,
                      const Signal& signal) {
  if (window.size() < kMinSamples) {
    return signal.max_timeout_ms;
  }
  return std::clamp(estimate.timeout_ms(window, signal), kMinTimeoutMs,
                    signal.max_timeout_ms);
}

std::vector<double> MakeDelays(const Trace& trace,
                               const Signal& signal,
                               std::uint64_t seed,
                               std::size_t samples) {
  std::mt19937_64 random(seed);
  DelaySource next_delay = trace.make(signal.base_ms);
  std::vector<double> delays;
  for (std::size_t i = 0; i < samples; ++i) {
    const double position =
        static_cast<double>(i) / static_cast<double>(samples);
    delays.push_back(next_delay(random, position));
  }
  return delays;
}

// A suspicion ends the wait, so that the detector observes at most the timeout.
// A hang is evaluated after every delay: with one hang at a random position for
// each seed, the means depended on the bursts close to it.
void ScoreTrace(const Estimate& estimate,
                const Signal& signal,
                const std::vector<double>& delays,
                Score* score) {
  DelayWindow window;
  for (double delay : delays) {
    const double timeout = BoundedTimeout(estimate, window, signal);
    score->false_suspicions += delay > timeout ? 1 : 0;
    const double observed_ms = std::min(delay, timeout);
    window.Add(std::chrono::microseconds(std::lround(observed_ms * 1000)),
               kWindow);
    if (window.size() == kWindow) {
      const double detection = BoundedTimeout(estimate, window, signal);
      score->detection_ms += detection;
      score->worst_detection_ms =
          std::max(score->worst_detection_ms, detection);
      ++score->hangs;
    }
  }
  score->silences += delays.size();
}

std::vector<Scores> RunAll(const std::vector<Estimate>& estimates,
                           const Signal& signal,
                           std::uint64_t first_seed,
                           std::uint64_t seeds,
                           std::size_t samples) {
  const std::vector<Trace> traces = Traces();
  std::vector<Scores> all(estimates.size(), Scores(traces.size()));
  for (std::size_t t = 0; t < traces.size(); ++t) {
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
      const auto delays = MakeDelays(traces[t], signal, seed, samples);
      for (std::size_t e = 0; e < estimates.size(); ++e) {
        ScoreTrace(estimates[e], signal, delays, &all[e][t]);
      }
    }
  }
  return all;
}

double WorstFalsePerMillion(const Scores& scores) {
  double worst = 0;
  for (const Score& score : scores) {
    worst = std::max(worst, score.FalsePerMillion());
  }
  return worst;
}

double MeanDetectionMs(const Scores& scores) {
  double sum = 0;
  for (const Score& score : scores) {
    sum += score.MeanDetectionMs();
  }
  return sum / static_cast<double>(scores.size());
}

void PrintHeader(const Signal& signal) {
  fmt::print("{:24}", "estimate");
  for (const Trace& trace : Traces()) {
    fmt::print(" | {:>22}", trace.name);
  }
  fmt::print(" | mean detection, {} false per million at most\n",
             signal.max_false_per_million);
}

void PrintRow(const Estimate& estimate,
              const Scores& scores,
              const Signal& signal) {
  fmt::print("{:24}", estimate.name);
  for (const Score& score : scores) {
    fmt::print(" | {:8.1f} {:6.0f} {:6.0f}", score.FalsePerMillion(),
               score.MeanDetectionMs(), score.worst_detection_ms);
  }
  fmt::print(" | {:6.0f} {}\n", MeanDetectionMs(scores),
             WorstFalsePerMillion(scores) <= signal.max_false_per_million
                 ? "meets the bound"
                 : "");
}

// Returns the index of the estimate of the family with the shortest mean
// detection time among those that meet the bound on every trace, or the number
// of estimates if there is none.
std::size_t BestOf(const std::string& family,
                   const std::vector<Estimate>& estimates,
                   const std::vector<Scores>& scores,
                   const Signal& signal) {
  std::size_t best = estimates.size();
  for (std::size_t e = 0; e < estimates.size(); ++e) {
    if (estimates[e].family != family ||
        WorstFalsePerMillion(scores[e]) > signal.max_false_per_million) {
      continue;
    }
    if (best == estimates.size() ||
        MeanDetectionMs(scores[e]) < MeanDetectionMs(scores[best])) {
      best = e;
    }
  }
  return best;
}

// Returns the estimate with the default options of the failure detector.
Estimate DefaultEstimate() {
  const FailureDetectorOptions options;
  return MeanAndDeviation(options.deviation_factor,
                          static_cast<double>(options.margin.count()));
}

void ScoreOnNewSeeds(const Estimate& estimate,
                     const Signal& signal,
                     std::uint64_t seeds,
                     std::size_t samples) {
  const auto scores = RunAll({estimate}, signal, seeds + 1, seeds, samples);
  PrintRow(estimate, scores[0], signal);
}

// Selects the best estimate of each family on the first seeds and validates it
// on the same number of other seeds.
void Compare(const Signal& signal, std::uint64_t seeds, std::size_t samples) {
  fmt::print("\n{}: idle {} ms, period {} ms, bounds {} to {} ms\n",
             signal.name, signal.base_ms, signal.period_ms, kMinTimeoutMs,
             signal.max_timeout_ms);
  PrintHeader(signal);
  const std::vector<Estimate> estimates = Estimates();
  const auto scores = RunAll(estimates, signal, 1, seeds, samples);
  for (std::size_t e = 0; e < estimates.size(); ++e) {
    PrintRow(estimates[e], scores[e], signal);
  }
  fmt::print("Best of each family on seeds {} to {}:\n", seeds + 1, 2 * seeds);
  for (const char* family : {"fixed", "mean", "rms"}) {
    const std::size_t best = BestOf(family, estimates, scores, signal);
    if (best == estimates.size()) {
      fmt::print("{}: none meets the bound\n", family);
      continue;
    }
    ScoreOnNewSeeds(estimates[best], signal, seeds, samples);
  }
  fmt::print("In use, on the same seeds:\n");
  ScoreOnNewSeeds(DefaultEstimate(), signal, seeds, samples);
}

}  // namespace
}  // namespace filbertshift

int main(int argc, char** argv) {
  const std::uint64_t seeds =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20;
  const std::size_t samples =
      argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 100000;
  fmt::print(
      "Each cell: false suspicions per million silences, mean and worst\n"
      "detection time in ms. Seeds 1 to {}, up to {} silences each.\n",
      seeds, samples);
  filbertshift::Compare({"token gap", 43, 43, 3000, 12}, seeds, samples);
  filbertshift::Compare({"first token", 300, 0, 15000, 5000}, seeds, samples);
}
