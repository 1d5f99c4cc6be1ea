// Load that the other instances put on endpoints, as they last reported it.

#ifndef SRC_DISPATCH_ENDPOINT_LOAD_TABLE_H_
#define SRC_DISPATCH_ENDPOINT_LOAD_TABLE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "src/common/common.h"

namespace filbertshift {

// Requests in progress at one endpoint.
struct ReportedEndpointLoad {
  double in_flight = 0;
  // Requests whose response has begun, each weighted by the cost of its model
  // relative to the largest one.
  double running = 0;
  // Prompt tokens of the other requests, weighted in the same way.
  double waiting_tokens = 0;
  // Sum and number of samples of the pause between events, each divided by the
  // mean for its model over all endpoints.
  double pace_sum = 0;
  double pace_count = 0;

  void Add(const ReportedEndpointLoad& other);
};

// Traffic of one service in the latest second.
struct ReportedServiceLoad {
  double arrivals = 0;
  // Arrivals that were sent to an endpoint.
  double admitted = 0;
  double answers = 0;
  // Sum of the times from sending to the whole answer.
  double answer_ms = 0;
  // Requests that endpoints rejected.
  double rejections = 0;

  void Add(const ReportedServiceLoad& other);
};

// Keyed by EndpointKey.
struct LoadReport {
  std::unordered_map<std::uint64_t, ReportedEndpointLoad> endpoints;
  std::unordered_map<ServiceId, ReportedServiceLoad> services;

  void Add(const LoadReport& other);
};

// Identifies an endpoint in reports: the 64-bit xxHash of its id.
std::uint64_t EndpointKey(const EndpointId& endpoint);

// A table that was not renewed for kMaxLoadAge is unknown: its users fall back
// to what this instance knows by itself.
constexpr std::chrono::milliseconds kMaxLoadAge{1000};

class EndpointLoadTable {
 public:
  // Sum over the other instances. `age` of its oldest part when it arrived.
  void SetOthers(LoadReport report,
                 std::chrono::milliseconds age,
                 TimePoint now);
  bool IsCurrent(TimePoint now) const;
  // Age of the oldest part; not set before the first report.
  std::optional<std::chrono::milliseconds> AgeAt(TimePoint now) const;
  // When the snapshot was taken; requests sent by this instance before that are
  // not in it either, because it holds the others only.
  TimePoint as_of() const { return as_of_; }
  // Both return an empty value if the table is not current, and zero load for
  // what no report mentions.
  std::optional<ReportedEndpointLoad> OthersAt(std::uint64_t key,
                                               TimePoint now) const;
  std::optional<ReportedServiceLoad> OthersOf(const ServiceId& service,
                                              TimePoint now) const;

 private:
  LoadReport others_;
  // Unset (TimePoint()) before the first report.
  TimePoint as_of_{};
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_ENDPOINT_LOAD_TABLE_H_
