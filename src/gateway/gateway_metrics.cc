#include "src/gateway/gateway_metrics.h"

#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace filbertshift {

namespace {

// Upper bounds of the histogram buckets, in seconds.
const prometheus::Histogram::BucketBoundaries& TimeBuckets() {
  static const prometheus::Histogram::BucketBoundaries kBuckets = {
      0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0};
  return kBuckets;
}

double Seconds(std::chrono::microseconds time) {
  return std::chrono::duration<double>(time).count();
}

prometheus::Family<prometheus::Counter>& CounterFamily(
    prometheus::Registry* registry,
    const std::string& name,
    const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*registry);
}

prometheus::Family<prometheus::Gauge>& GaugeFamily(
    prometheus::Registry* registry,
    const std::string& name,
    const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(*registry);
}

prometheus::Family<prometheus::Histogram>& HistogramFamily(
    prometheus::Registry* registry,
    const std::string& name,
    const std::string& help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(*registry);
}

}  // namespace

struct GatewayMetrics::Families {
  explicit Families(prometheus::Registry* registry)
      : exchanges(CounterFamily(registry,
                                "filbertshift_exchanges_total",
                                "Requests of callers by route and outcome.")),
        attempts(CounterFamily(registry,
                               "filbertshift_attempts_total",
                               "Attempts at endpoints by result.")),
        repeats(CounterFamily(registry,
                              "filbertshift_repeats_total",
                              "Further attempts of a request by reason.")),
        handovers(CounterFamily(
            registry,
            "filbertshift_handovers_total",
            "Requests handed over between instances, by role and outcome.")),
        stranded(GaugeFamily(registry,
                             "filbertshift_stranded",
                             "1 while this instance reaches no endpoint.")),
        probes(CounterFamily(registry,
                             "filbertshift_endpoint_probes_total",
                             "Connections opened to silent endpoints to find "
                             "out whether their hosts are there, by result.")),
        unsolicited(CounterFamily(
            registry,
            "filbertshift_unsolicited_bytes_total",
            "Times that an endpoint sent bytes no request was waiting for.")),
        broken_off(CounterFamily(
            registry,
            "filbertshift_answers_broken_off_total",
            "Answers that had begun and were ended by the instance itself, by "
            "reason.")),
        rejected(CounterFamily(registry,
                               "filbertshift_rejected_messages_total",
                               "Messages that are no request, by status.")),
        remote_requests(CounterFamily(
            registry,
            "filbertshift_remote_requests_total",
            "Attempts at endpoints in other data centres by destination and "
            "reason.")),
        remote_bytes(CounterFamily(
            registry,
            "filbertshift_remote_bytes_total",
            "Bytes of requests to other data centres and of responses from "
            "them.")),
        overflow_share(GaugeFamily(
            registry,
            "filbertshift_overflow_share",
            "Planned share of the requests that goes to another data "
            "centre.")),
        closed(
            CounterFamily(registry,
                          "filbertshift_caller_connections_closed_total",
                          "Connections with callers that ended, by reason.")),
        store_calls(CounterFamily(registry,
                                  "filbertshift_store_calls_total",
                                  "Calls to the store by table and outcome.")),
        violations(CounterFamily(registry,
                                 "filbertshift_gateway_violations_total",
                                 "Failed checks of an invariant.")),
        first_byte(HistogramFamily(
            registry,
            "filbertshift_first_byte_seconds",
            "Time from a request's arrival to the first byte of its answer.")),
        duration(HistogramFamily(
            registry,
            "filbertshift_exchange_seconds",
            "Time from a request's arrival to the end of its answer.")),
        in_progress(GaugeFamily(registry,
                                "filbertshift_exchanges_in_progress",
                                "Requests of callers in progress.")),
        endpoints(GaugeFamily(registry,
                              "filbertshift_known_endpoints",
                              "Endpoints in the instance's view.")),
        instances(GaugeFamily(registry,
                              "filbertshift_live_instances",
                              "Instances that share limits.")),
        store_era(GaugeFamily(registry,
                              "filbertshift_store_era",
                              "Latest era that the store has named.")),
        request_memory(GaugeFamily(registry,
                                   "filbertshift_request_memory_bytes",
                                   "Memory of callers' requests.")),
        blocked_causes(GaugeFamily(
            registry,
            "filbertshift_blocked_crash_causes",
            "Prompt parts and requests that are refused because they crash "
            "endpoints.")),
        admission_refusals(CounterFamily(
            registry,
            "filbertshift_admission_refusals_total",
            "Requests refused because their objective cannot be met, by route "
            "and reason.")),
        refused_accounts(CounterFamily(
            registry,
            "filbertshift_admission_refused_by_account_total",
            "The same by client account, for those refused most.")),
        admission_wait(HistogramFamily(
            registry,
            "filbertshift_admission_wait_seconds",
            "Time that requests waited before they were sent or refused.")),
        admission_waiting(
            GaugeFamily(registry,
                        "filbertshift_admission_waiting",
                        "Requests that wait to be sent, by service.")),
        admitted_fraction(
            GaugeFamily(registry,
                        "filbertshift_admitted_fraction",
                        "Share of the new requests that is sent at once, by "
                        "service.")),
        table_age(GaugeFamily(registry,
                              "filbertshift_table_age_seconds",
                              "Time since a table was known to be current.")),
        load_age(GaugeFamily(registry,
                             "filbertshift_endpoint_load_age_seconds",
                             "Age of the load that the other instances report, "
                             "and of the oldest part of it.")),
        load_interval(GaugeFamily(registry,
                                  "filbertshift_endpoint_load_interval_seconds",
                                  "Interval between reports of load.")),
        load_bytes(CounterFamily(registry,
                                 "filbertshift_endpoint_load_bytes_total",
                                 "Bytes of reports of load with their HTTP "
                                 "heads, by role and direction.")),
        load_rejected(
            CounterFamily(registry,
                          "filbertshift_endpoint_load_rejected_total",
                          "Reports of load that could not be decoded.")) {}

  prometheus::Family<prometheus::Counter>& exchanges;
  prometheus::Family<prometheus::Counter>& attempts;
  prometheus::Family<prometheus::Counter>& repeats;
  prometheus::Family<prometheus::Counter>& handovers;
  prometheus::Family<prometheus::Gauge>& stranded;
  prometheus::Family<prometheus::Counter>& probes;
  prometheus::Family<prometheus::Counter>& unsolicited;
  prometheus::Family<prometheus::Counter>& broken_off;
  prometheus::Family<prometheus::Counter>& rejected;
  prometheus::Family<prometheus::Counter>& remote_requests;
  prometheus::Family<prometheus::Counter>& remote_bytes;
  prometheus::Family<prometheus::Gauge>& overflow_share;
  prometheus::Family<prometheus::Counter>& closed;
  prometheus::Family<prometheus::Counter>& store_calls;
  prometheus::Family<prometheus::Counter>& violations;
  prometheus::Family<prometheus::Histogram>& first_byte;
  prometheus::Family<prometheus::Histogram>& duration;
  prometheus::Family<prometheus::Gauge>& in_progress;
  prometheus::Family<prometheus::Gauge>& endpoints;
  prometheus::Family<prometheus::Gauge>& instances;
  prometheus::Family<prometheus::Gauge>& store_era;
  prometheus::Family<prometheus::Gauge>& request_memory;
  prometheus::Family<prometheus::Gauge>& blocked_causes;
  prometheus::Family<prometheus::Counter>& admission_refusals;
  prometheus::Family<prometheus::Counter>& refused_accounts;
  prometheus::Family<prometheus::Histogram>& admission_wait;
  prometheus::Family<prometheus::Gauge>& admission_waiting;
  prometheus::Family<prometheus::Gauge>& admitted_fraction;
  prometheus::Family<prometheus::Gauge>& table_age;
  prometheus::Family<prometheus::Gauge>& load_age;
  prometheus::Family<prometheus::Gauge>& load_interval;
  prometheus::Family<prometheus::Counter>& load_bytes;
  prometheus::Family<prometheus::Counter>& load_rejected;
};

GatewayMetrics::GatewayMetrics()
    : families_(std::make_unique<Families>(&registry_)) {}

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::CountExchange(const std::string& route,
                                   std::string_view outcome) {
  families_->exchanges
      .Add({{"route", route}, {"outcome", std::string(outcome)}})
      .Increment();
}

void GatewayMetrics::CountAttempt(std::string_view result) {
  families_->attempts.Add({{"result", std::string(result)}}).Increment();
}

void GatewayMetrics::CountRepeat(std::string_view reason) {
  families_->repeats.Add({{"reason", std::string(reason)}}).Increment();
}

void GatewayMetrics::CountBrokenOff(std::string_view reason) {
  families_->broken_off.Add({{"reason", std::string(reason)}}).Increment();
}

void GatewayMetrics::CountRemoteRequest(const std::string& destination,
                                        std::string_view reason) {
  families_->remote_requests
      .Add({{"destination", destination}, {"reason", std::string(reason)}})
      .Increment();
}

void GatewayMetrics::CountRemoteBytes(const std::string& destination,
                                      std::string_view part,
                                      std::size_t bytes) {
  families_->remote_bytes
      .Add({{"destination", destination}, {"part", std::string(part)}})
      .Increment(static_cast<double>(bytes));
}

void GatewayMetrics::SetOverflowShare(const std::string& service,
                                      const std::string& destination,
                                      double share) {
  families_->overflow_share
      .Add({{"service", service}, {"destination", destination}})
      .Set(share);
}

void GatewayMetrics::CountUnsolicited() {
  families_->unsolicited.Add({}).Increment();
}

void GatewayMetrics::CountProbe(std::string_view result) {
  families_->probes.Add({{"result", std::string(result)}}).Increment();
}

void GatewayMetrics::CountHandover(std::string_view role,
                                   std::string_view outcome) {
  families_->handovers
      .Add({{"role", std::string(role)}, {"outcome", std::string(outcome)}})
      .Increment();
}

void GatewayMetrics::SetStranded(bool stranded) {
  families_->stranded.Add({}).Set(stranded ? 1 : 0);
}

void GatewayMetrics::CountRejected(int status) {
  families_->rejected.Add({{"status", fmt::format("{}", status)}}).Increment();
}

void GatewayMetrics::CountCallerConnectionClosed(std::string_view reason) {
  families_->closed.Add({{"reason", std::string(reason)}}).Increment();
}

void GatewayMetrics::ObserveFirstByte(const std::string& route,
                                      std::chrono::microseconds time) {
  families_->first_byte.Add({{"route", route}}, TimeBuckets())
      .Observe(Seconds(time));
}

void GatewayMetrics::ObserveExchange(const std::string& route,
                                     std::chrono::microseconds time) {
  families_->duration.Add({{"route", route}}, TimeBuckets())
      .Observe(Seconds(time));
}

void GatewayMetrics::CountStoreCall(std::string_view table,
                                    std::string_view outcome) {
  families_->store_calls
      .Add({{"table", std::string(table)}, {"outcome", std::string(outcome)}})
      .Increment();
}

void GatewayMetrics::CountInvariantViolation(std::string_view invariant) {
  families_->violations.Add({{"invariant", std::string(invariant)}})
      .Increment();
}

void GatewayMetrics::SetInProgress(std::size_t exchanges) {
  families_->in_progress.Add({}).Set(static_cast<double>(exchanges));
}

void GatewayMetrics::SetEndpoints(std::size_t endpoints) {
  families_->endpoints.Add({}).Set(static_cast<double>(endpoints));
}

void GatewayMetrics::SetInstances(std::size_t instances) {
  families_->instances.Add({}).Set(static_cast<double>(instances));
}

void GatewayMetrics::SetStoreEra(std::int64_t era) {
  families_->store_era.Add({}).Set(static_cast<double>(era));
}

void GatewayMetrics::SetRequestMemory(std::size_t bytes) {
  families_->request_memory.Add({}).Set(static_cast<double>(bytes));
}

void GatewayMetrics::SetBlockedCauses(std::size_t causes) {
  families_->blocked_causes.Add({}).Set(static_cast<double>(causes));
}

void GatewayMetrics::SetTableAge(std::string_view table,
                                 std::chrono::milliseconds age) {
  families_->table_age.Add({{"table", std::string(table)}}).Set(Seconds(age));
}

void GatewayMetrics::SetEndpointLoad(
    std::optional<std::chrono::milliseconds> age,
    std::chrono::milliseconds interval) {
  if (age.has_value()) {
    families_->load_age.Add({{"part", "table"}}).Set(Seconds(*age));
  }
  families_->load_interval.Add({}).Set(Seconds(interval));
}

void GatewayMetrics::SetEndpointLoadOldestPart(std::chrono::milliseconds age) {
  families_->load_age.Add({{"part", "oldest"}}).Set(Seconds(age));
}

void GatewayMetrics::CountEndpointLoadBytes(std::string_view role,
                                            std::string_view direction,
                                            std::size_t bytes) {
  families_->load_bytes
      .Add({{"role", std::string(role)}, {"direction", std::string(direction)}})
      .Increment(static_cast<double>(bytes));
}

void GatewayMetrics::CountEndpointLoadRejected() {
  families_->load_rejected.Add({}).Increment();
}

void GatewayMetrics::CountAdmissionRefusal(const std::string& route,
                                           std::string_view reason) {
  families_->admission_refusals
      .Add({{"route", route}, {"reason", std::string(reason)}})
      .Increment();
}

void GatewayMetrics::CountRefusedAccount(const std::string& account,
                                         double requests) {
  families_->refused_accounts.Add({{"account", account}}).Increment(requests);
}

void GatewayMetrics::ObserveAdmissionWait(const std::string& route,
                                          std::chrono::microseconds time) {
  families_->admission_wait.Add({{"route", route}}, TimeBuckets())
      .Observe(Seconds(time));
}

void GatewayMetrics::SetAdmission(const std::string& service,
                                  std::size_t waiting,
                                  double admitted_fraction) {
  families_->admission_waiting.Add({{"service", service}})
      .Set(static_cast<double>(waiting));
  families_->admitted_fraction.Add({{"service", service}})
      .Set(admitted_fraction);
}

std::string GatewayMetrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace filbertshift
