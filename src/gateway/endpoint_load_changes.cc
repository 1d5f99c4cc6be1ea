#include "src/gateway/endpoint_load_changes.h"

#include <algorithm>
#include <cmath>

namespace filbertshift {

namespace {

// From this number of running requests on, fractions do not matter.
constexpr double kRoundedRunning = 10;
// Load of a running request in prompt tokens, as in the choice of an endpoint.
constexpr double kRunningRequestTokens = 250;
// Tolerance at 2 KB/s: 34 instances and 60 engines with 30 requests each then
// exchange reports about every 550 ms. It falls with more bytes.
constexpr double kCoarseTolerance = 0.25;
constexpr double kCoarseBytes = 2048;
constexpr double kFineTolerance = 0.05;
// Change of an instance's own load that is sent, in prompt tokens and divided
// by the tolerance: one running request at 2 KB/s.
constexpr double kOwnScale = 1000;
constexpr double kOwnRequests = 2;
constexpr double kOwnPaceSamples = 1;
// A sum below this is as good as no load.
constexpr double kSumMinLoad = 1000;
// Requests without prompts, of which endpoints have few.
constexpr double kRequestShare = 0.1;
constexpr double kPaceShare = 0.1;

bool IsZero(const ReportedEndpointLoad& load) {
  return load.in_flight <= 0 && load.running <= 0 && load.waiting_tokens <= 0 &&
         load.pace_count <= 0;
}

ReportedEndpointLoad Round(const ReportedEndpointLoad& load) {
  ReportedEndpointLoad rounded;
  rounded.in_flight = std::round(std::max(load.in_flight, 0.0));
  rounded.running = std::max(load.running, 0.0);
  if (rounded.running >= kRoundedRunning) {
    rounded.running = std::round(rounded.running);
  }
  rounded.waiting_tokens = std::round(std::max(load.waiting_tokens, 0.0));
  // The mean pace is kept, and its weight is rounded.
  rounded.pace_count = std::round(std::max(load.pace_count, 0.0));
  if (rounded.pace_count > 0) {
    rounded.pace_sum = load.pace_sum / load.pace_count * rounded.pace_count;
  }
  return rounded;
}

double LoadOf(const ReportedEndpointLoad& load) {
  return load.waiting_tokens + load.running * kRunningRequestTokens;
}

double MeanPace(const ReportedEndpointLoad& load) {
  return load.pace_count > 0 ? load.pace_sum / load.pace_count : 0;
}

bool Differs(const ReportedEndpointLoad& held,
             const ReportedEndpointLoad& current,
             LoadScope scope,
             double tolerance) {
  bool pace_appears = (held.pace_count > 0) != (current.pace_count > 0);
  if (IsZero(held) != IsZero(current) || pace_appears) {
    return true;
  }
  double requests = std::abs(current.in_flight - held.in_flight);
  double load = std::abs(LoadOf(current) - LoadOf(held));
  // Requests without prompts are counted; for others their cost decides.
  bool has_cost = LoadOf(current) > 0 && LoadOf(held) > 0;
  if (scope == LoadScope::kInstance) {
    return requests >= (has_cost ? kOwnRequests : 1) ||
           load > kOwnScale * tolerance ||
           std::abs(current.pace_count - held.pace_count) > kOwnPaceSamples ||
           std::abs(current.pace_sum - held.pace_sum) > kOwnPaceSamples;
  }
  double request_share = has_cost ? tolerance : kRequestShare;
  return requests > held.in_flight * request_share ||
         load > std::max(LoadOf(held), kSumMinLoad) * tolerance ||
         std::abs(MeanPace(current) - MeanPace(held)) >
             MeanPace(held) * kPaceShare;
}

}  // namespace

double ToleranceFor(std::size_t bytes_per_second) {
  return std::clamp(
      kCoarseTolerance * kCoarseBytes / static_cast<double>(bytes_per_second),
      kFineTolerance, kCoarseTolerance);
}

LoadReport RoundReport(const LoadReport& report) {
  LoadReport rounded;
  for (const auto& [key, load] : report.endpoints) {
    ReportedEndpointLoad entry = Round(load);
    if (!IsZero(entry)) {
      rounded.endpoints.emplace(key, entry);
    }
  }
  for (const auto& [service, load] : report.services) {
    ReportedServiceLoad entry = {
        std::round(load.arrivals), std::round(load.admitted),
        std::round(load.answers), std::round(load.answer_ms),
        std::round(load.rejections)};
    if (entry.arrivals + entry.admitted + entry.answers + entry.rejections >
        0) {
      rounded.services.emplace(service, entry);
    }
  }
  return rounded;
}

LoadReport ChangedEntries(const LoadReport& held,
                          const LoadReport& current,
                          LoadScope scope,
                          double tolerance) {
  LoadReport changes;
  changes.services = current.services;
  for (const auto& [key, load] : current.endpoints) {
    auto found = held.endpoints.find(key);
    if (found == held.endpoints.end() ||
        Differs(found->second, load, scope, tolerance)) {
      changes.endpoints.emplace(key, load);
    }
  }
  for (const auto& entry : held.endpoints) {
    if (current.endpoints.count(entry.first) == 0) {
      changes.endpoints.emplace(entry.first, ReportedEndpointLoad());
    }
  }
  return changes;
}

void ApplyChanges(const LoadReport& changes, LoadReport* report) {
  report->services = changes.services;
  for (const auto& [key, load] : changes.endpoints) {
    if (IsZero(load)) {
      report->endpoints.erase(key);
    } else {
      report->endpoints[key] = load;
    }
  }
}

}  // namespace filbertshift
