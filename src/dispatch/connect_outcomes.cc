#include "src/dispatch/connect_outcomes.h"

#include <algorithm>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// One or two endpoints may be down; known endpoints may be fewer.
constexpr std::size_t kMinEndpoints = 3;
constexpr std::size_t kMaxTracked = 1000;
constexpr milliseconds kMinReportInterval{1000};

template <typename T>
void Track(const T& value, std::set<T>* values) {
  if (values->size() < kMaxTracked) {
    values->insert(value);
  }
}

std::optional<milliseconds> AgeOf(std::optional<TimePoint> time,
                                  TimePoint now) {
  if (!time.has_value()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<milliseconds>(now - *time);
}

}  // namespace

std::string_view HostOf(std::string_view address) {
  constexpr std::string_view kLoopback = "127.";
  return address.substr(0, kLoopback.size()) == kLoopback
             ? address
             : address.substr(0, address.rfind(':'));
}

void ConnectOutcomes::OnFailed(const RoutedEndpoint& endpoint, TimePoint now) {
  if (failures_ == 0) {
    first_failure_at_ = now;
  }
  ++failures_;
  Track(endpoint.endpoint, &endpoints_);
  Track(std::string(HostOf(endpoint.address)), &hosts_);
  Track(endpoint.service, &services_);
  Track(endpoint.data_centre, &data_centres_);
}

void ConnectOutcomes::OnSucceeded(TimePoint now) {
  if (reported_) {
    ended_ = Failures(now);
    reported_ = false;
  }
  latest_success_at_ = now;
  if (failures_ > 0) {
    endpoints_.clear();
    hosts_.clear();
    services_.clear();
    data_centres_.clear();
    failures_ = 0;
  }
}

std::optional<ConnectReport> ConnectOutcomes::TakeReport(std::size_t known,
                                                         TimePoint now) {
  if (ended_.has_value()) {
    ConnectReport report{false, *ended_};
    ended_.reset();
    return report;
  }
  bool is_early =
      reported_at_.has_value() && now - *reported_at_ < kMinReportInterval;
  if (reported_ || is_early || endpoints_.empty() ||
      endpoints_.size() < std::min(kMinEndpoints, known)) {
    return std::nullopt;
  }
  reported_ = true;
  reported_at_ = now;
  return ConnectReport{true, Failures(now)};
}

ConnectFailures ConnectOutcomes::Failures(TimePoint now) const {
  ConnectFailures result;
  result.failures = failures_;
  result.endpoints = endpoints_.size();
  result.hosts = hosts_.size();
  result.services = services_.size();
  result.data_centres = data_centres_.size();
  if (failures_ > 0) {
    result.since_first =
        std::chrono::duration_cast<milliseconds>(now - first_failure_at_);
  }
  result.latest_success = AgeOf(latest_success_at_, now);
  result.latest_bytes = AgeOf(latest_bytes_at_, now);
  return result;
}

}  // namespace filbertshift
