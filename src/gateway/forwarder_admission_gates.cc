// State of admission control of each service: usable endpoints and reported
// load, and its log lines and metrics.

#include <fmt/format.h>

#include <vector>

#include "src/gateway/forwarder.h"

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The list of a service's endpoints is renewed this often; whether each is
// usable is looked up with every refresh.
constexpr milliseconds kListInterval{500};
constexpr milliseconds kAccountCountInterval{10000};
constexpr std::size_t kTopAccounts = 16;
constexpr std::size_t kLoggedAccounts = 3;
constexpr std::size_t kMaxAccountLabels = 64;

}  // namespace

Forwarder::AdmissionGate* Forwarder::GateOf(const Exchange& exchange) {
  if (!limits_.admission || exchange.route == nullptr ||
      exchange.route->kind == RouteKind::kStreaming ||
      !exchange.route->models.empty() ||
      exchange.route->objective.count() == 0 ||
      exchange.metadata.prompt_tokens > 0) {
    return nullptr;
  }
  const ServiceSettings* settings =
      exchange.configuration->FindService(exchange.service);
  if (settings != nullptr && !settings->models.empty()) {
    return nullptr;
  }
  auto found = gates_.find(exchange.service);
  if (found == gates_.end()) {
    found = gates_.try_emplace(exchange.service).first;
    RefreshGate(exchange.service, &found->second);
  }
  return &found->second;
}

const Forwarder::AdmissionGate* Forwarder::ActiveGateOf(
    const Exchange& exchange) const {
  auto found = gates_.find(exchange.service);
  bool is_plain = exchange.route != nullptr &&
                  exchange.route->kind != RouteKind::kStreaming &&
                  exchange.route->models.empty() &&
                  exchange.metadata.prompt_tokens == 0;
  return is_plain && found != gates_.end() && found->second.admission.active()
             ? &found->second
             : nullptr;
}

ServiceState Forwarder::AdmissionStateOf(const AdmissionGate& gate) const {
  TimePoint now = transport_->Now();
  ServiceState state;
  state.instances = instances_;
  state.current = load_table_.IsCurrent(now);
  state.age = load_table_.AgeAt(now);
  for (const EndpointId& endpoint : gate.endpoints) {
    const RoutedEndpoint* record = pool_.Find(endpoint);
    if (record == nullptr || record->state != EndpointState::kReady ||
        pool_.notices().IsLeaving(endpoint) ||
        pool_.notices().PausedUntil(endpoint, now).has_value() ||
        view_.IsEvacuated(record->data_centre)) {
      continue;
    }
    double in_flight = pool_.InFlight(endpoint);
    std::optional<ReportedEndpointLoad> others =
        load_table_.OthersAt(EndpointKey(endpoint), now);
    if (others.has_value()) {
      in_flight += others->in_flight;
    }
    state.endpoints.push_back({endpoint, record->slots, in_flight});
  }
  return state;
}

void Forwarder::RefreshGate(const ServiceId& service, AdmissionGate* gate) {
  TimePoint now = transport_->Now();
  if (gate->listed_at == TimePoint() || now - gate->listed_at > kListInterval) {
    gate->listed_at = now;
    gate->endpoints.clear();
    for (const auto& [endpoint, record] : view_.endpoints()) {
      if (record.service == service) {
        gate->endpoints.push_back(endpoint);
      }
    }
  }
  gate->refreshed_at = now;
  ServiceState state = AdmissionStateOf(*gate);
  std::optional<ReportedServiceLoad> others =
      load_table_.OthersOf(service, now);
  if (others.has_value()) {
    state.others = {others->arrivals, others->admitted, others->answers,
                    others->answer_ms, others->rejections};
  }
  gate->admission.SetState(state, now);
  ReportShedding(service, gate);
}

void Forwarder::ReportShedding(const ServiceId& service, AdmissionGate* gate) {
  TimePoint now = transport_->Now();
  const ServiceAdmission& admission = gate->admission;
  bool shedding = admission.active() && admission.shedding();
  metrics_->SetAdmission(service.value(), admission.waiting(),
                         shedding ? admission.admitted_fraction() : 1);
  if (shedding == gate->shedding_since.has_value()) {
    return;
  }
  if (shedding) {
    gate->shedding_since = now;
    gate->refused.Clear();
    ServiceTraffic fleet = admission.FleetTraffic(now);
    const ServiceState& state = admission.state();
    log_->Write(
        EventId::kSheddingStarted,
        fmt::format("service={} admitted={:.2f} arrivals={:.0f} answers={:.0f} "
                    "rejections={:.0f} mean_ms={:.0f} slots={} in_flight={:.0f}"
                    " instances={} table_age_ms={}",
                    service.value(), admission.admitted_fraction(),
                    fleet.arrivals, fleet.answers, fleet.rejections,
                    fleet.MeanMs(0), state.Slots(), state.InFlight(),
                    state.instances, state.current ? state.age->count() : -1));
    return;
  }
  std::string accounts;
  for (const auto& [account, count] : gate->refused.Top(kLoggedAccounts)) {
    accounts += fmt::format("{}{}:{}", accounts.empty() ? "" : ",",
                            account.value(), count);
  }
  log_->Write(
      EventId::kSheddingEnded,
      fmt::format(
          "service={} ms={} refused={} accounts={}", service.value(),
          duration_cast<milliseconds>(now - *gate->shedding_since).count(),
          gate->refused.total(), accounts.empty() ? "-" : accounts));
  gate->shedding_since.reset();
}

void Forwarder::CountRefusedAccounts(AdmissionGate* gate) {
  TimePoint now = transport_->Now();
  if (gate->uncounted.total() == 0 ||
      now - gate->counted_at < kAccountCountInterval) {
    return;
  }
  gate->counted_at = now;
  std::int64_t rest = gate->uncounted.total();
  for (const auto& [account, count] : gate->uncounted.Top(kTopAccounts)) {
    bool has_label = counted_accounts_.count(account) > 0 ||
                     counted_accounts_.size() < kMaxAccountLabels;
    if (has_label) {
      counted_accounts_.insert(account);
      metrics_->CountRefusedAccount(account.value(),
                                    static_cast<double>(count));
      rest -= count;
    }
  }
  if (rest > 0) {
    metrics_->CountRefusedAccount("other", static_cast<double>(rest));
  }
  gate->uncounted.Clear();
}

}  // namespace filbertshift
