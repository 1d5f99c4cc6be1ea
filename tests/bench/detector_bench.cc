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

namespace filbertshift {
namespace {

constexpr std::size_t kWindow = 100;
constexpr std::size_t kMinSamples = 10;
constexpr double kMinTimeoutMs = 250;

// What is timed: the nominal period and the fixed bound.
struct Signal {
  std::string name;
  // Typical delay of an idle endpoint, in milliseconds.
  double base_ms;
  // Nominal period between events; 0 where events have no period.
  double period_ms;
  double max_timeout_ms;
};

// Delay in milliseconds of the sample at `position` (0 to 1) in the trace.
using DelaySource = std::function<double(std::mt19937_64&, double position)>;

struct Trace {
  std::string name;
  // Made anew for each run, because bursts have state.
  std::function<DelaySource(double base_ms)> make;
};

struct Estimate {
  std::string name;
  std::function<double(const DelayWindow&, const Signal&)> timeout_ms;
};

struct Score {
  std::size_t silences = 0;
  std::size_t false_suspicions = 0;
  double detection_ms = 0;
  double worst_detection_ms = 0;
  int runs = 0;
};

double Noise(std::mt19937_64& random, double mean, double deviation) {
  return std::max(1.0, std::normal_distribution<>(mean, deviation)(random));
}

DelaySource Steady(double base) {
  return [base](std::mt19937_64& random, double) {
    return Noise(random, base, base * 0.07);
  };
}

// Load rises to four times the idle delay and falls again, three times.
DelaySource Drifting(double base) {
  return [base](std::mt19937_64& random, double position) {
    constexpr double kCycles = 3;
    const double wave = 1 - std::cos(position * kCycles * 2 * M_PI);
    return Noise(random, base * (1 + 1.5 * wave), base * 0.2);
  };
}

// Every 500th silence on average starts a burst of 20 delays of eight times the
// usual length, as when a long prompt is processed beside running answers.
DelaySource Bursts(double base) {
  return [base, left = 0](std::mt19937_64& random, double) mutable {
    if (left == 0 && std::uniform_int_distribution<>(1, 500)(random) == 1) {
      left = 20;
    }
    const double factor = left > 0 ? 8 : 1;
    left = std::max(0, left - 1);
    return Noise(random, base * factor, base * factor * 0.1);
  };
}

// Log-normal with sigma 0.8: one silence in 1,000 is above 11 times the median.
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

std::vector<Estimate> Estimates() {
  std::vector<Estimate> estimates = {
      {"fixed bound", [](const DelayWindow&, const Signal& signal) {
         return signal.max_timeout_ms;
       }}};
  for (double factor : {4.0, 6.0, 8.0, 12.0}) {
    for (double margin : {50.0, 250.0, 500.0, 1000.0}) {
      estimates.push_back({fmt::format("mean + {} dev + {} ms", factor, margin),
                           [=](const DelayWindow& window, const Signal&) {
                             return window.Mean() / 1000 +
                                    factor * window.Deviation() / 1000 + margin;
                           }});
    }
  }
  for (double margin : {50.0, 250.0, 500.0, 1000.0, 1500.0, 2000.0}) {
    estimates.push_back(
        {fmt::format("period + rms + {} ms", margin),
         [=](const DelayWindow& window, const Signal& signal) {
           const double period_us = signal.period_ms * 1000;
           return signal.period_ms +
                  window.RootMeanSquareBeyond(period_us) / 1000 + margin;
         }});
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

// A suspicion cuts the silence short, so that the detector sees at most the
// timeout.
void Run(const Estimate& estimate,
         const Trace& trace,
         const Signal& signal,
         std::uint64_t seed,
         std::size_t samples,
         Score* score) {
  std::mt19937_64 random(seed);
  DelaySource next_delay = trace.make(signal.base_ms);
  DelayWindow window;
  // The hang comes at a random place in the second half.
  const std::size_t hang = std::uniform_int_distribution<std::size_t>(
      samples / 2, samples - 1)(random);
  for (std::size_t i = 0; i < hang; ++i) {
    const double delay = next_delay(random, double(i) / samples);
    const double timeout = BoundedTimeout(estimate, window, signal);
    score->false_suspicions += delay > timeout ? 1 : 0;
    const double seen = std::min(delay, timeout);
    window.Add(std::chrono::microseconds(std::lround(seen * 1000)), kWindow);
  }
  const double detection = BoundedTimeout(estimate, window, signal);
  score->silences += hang;
  score->detection_ms += detection;
  score->worst_detection_ms = std::max(score->worst_detection_ms, detection);
  ++score->runs;
}

void Compare(const Signal& signal, std::uint64_t seeds, std::size_t samples) {
  fmt::print("\n{}: idle {} ms, period {} ms, bounds {} to {} ms\n",
             signal.name, signal.base_ms, signal.period_ms, kMinTimeoutMs,
             signal.max_timeout_ms);
  fmt::print("{:24}", "estimate");
  for (const Trace& trace : Traces()) {
    fmt::print(" | {:>22}", trace.name);
  }
  fmt::print("\n");
  for (const Estimate& estimate : Estimates()) {
    fmt::print("{:24}", estimate.name);
    for (const Trace& trace : Traces()) {
      Score score;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Run(estimate, trace, signal, seed, samples, &score);
      }
      fmt::print(" | {:8.1f} {:6.0f} {:6.0f}",
                 1e6 * score.false_suspicions / score.silences,
                 score.detection_ms / score.runs, score.worst_detection_ms);
    }
    fmt::print("\n");
  }
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
  filbertshift::Compare({"token gap", 43, 43, 3000}, seeds, samples);
  filbertshift::Compare({"first token", 300, 0, 15000}, seeds, samples);
}
