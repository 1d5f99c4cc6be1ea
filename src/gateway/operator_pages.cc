#include "src/gateway/operator_pages.h"

#include <fmt/format.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace filbertshift {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::string_view PhaseName(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kInProgress:
      return "in_progress";
    case RolloutPhase::kCompleted:
      return "completed";
    case RolloutPhase::kReverted:
      return "reverted";
  }
  return "in_progress";
}

// Names in rows of other writers may not be UTF-8.
std::string Dump(const json& page) {
  return page.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

OperatorPages::OperatorPages(InstanceId instance,
                             DataCentreId data_centre,
                             const FleetView& view,
                             const ViewSource& source,
                             const Forwarder& forwarder,
                             const Transport& transport,
                             std::function<bool()> is_ready)
    : instance_(std::move(instance)),
      data_centre_(std::move(data_centre)),
      view_(view),
      source_(source),
      forwarder_(forwarder),
      transport_(transport),
      is_ready_(std::move(is_ready)) {}

std::optional<std::string> OperatorPages::Render(
    std::string_view target) const {
  if (target == "/v1/instance") {
    return InstancePage();
  }
  if (target == "/v1/endpoints") {
    return EndpointsPage();
  }
  if (target == "/v1/rollouts") {
    return RolloutsPage();
  }
  return std::nullopt;
}

std::string OperatorPages::InstancePage() const {
  json view{{"source", source_.SourceName()},
            {"store_era", source_.store_era().current()},
            {"in_progress", forwarder_.in_progress()}};
  if (view_.configuration() != nullptr) {
    view["configuration"] = view_.configuration()->version;
  }
  for (int i = 0; i < kStoreTableCount; ++i) {
    auto table = static_cast<StoreTable>(i);
    if (view_.confirmed_at(table) != TimePoint()) {
      view[fmt::format("{}_age_ms", StoreTableName(table))] =
          duration_cast<milliseconds>(transport_.Now() -
                                      view_.confirmed_at(table))
              .count();
    }
  }
  json peers = json::array();
  for (const LiveInstance& live : source_.live()) {
    if (live.instance != instance_) {
      peers.push_back({{"instance", live.instance.value()}, {"up", true}});
    }
  }
  return Dump({{"instance", instance_.value()},
               {"data_centre", data_centre_.value()},
               {"ready", is_ready_()},
               {"peers", std::move(peers)},
               {"view", std::move(view)}});
}

std::string_view OperatorPages::StateOf(const RoutedEndpoint& record) const {
  const EndpointNotices& notices = forwarder_.notices();
  if (view_.IsEvacuated(record.data_centre)) {
    return "evacuated";
  }
  if (record.state == EndpointState::kDraining) {
    return "draining";
  }
  if (notices.IsLeaving(record.endpoint)) {
    return "leaving";
  }
  return notices.PausedUntil(record.endpoint, transport_.Now()).has_value()
             ? "paused"
             : "ready";
}

std::string OperatorPages::EndpointsPage() const {
  json endpoints = json::array();
  for (const auto& [endpoint, record] : view_.endpoints()) {
    endpoints.push_back({{"endpoint", endpoint.value()},
                         {"data_centre", record.data_centre.value()},
                         {"version", record.version.value()},
                         {"service", record.service.value()},
                         {"state", StateOf(record)},
                         {"in_flight", forwarder_.InFlight(endpoint)}});
  }
  return Dump({{"endpoints", std::move(endpoints)}});
}

std::string OperatorPages::RolloutsPage() const {
  json rollouts = json::array();
  for (const auto& [service, order] : view_.orders()) {
    json entry{{"service", service.value()},
               {"candidate", order.to.value()},
               {"state", "ordered"}};
    const RolloutProgress* progress = view_.FindProgress(service);
    if (progress != nullptr && progress->order_version == order.order_version) {
      entry["state"] = PhaseName(progress->state);
      entry["exposure"] = progress->exposure_permille / 1000.0;
    }
    rollouts.push_back(std::move(entry));
  }
  return Dump({{"rollouts", std::move(rollouts)}});
}

}  // namespace filbertshift
