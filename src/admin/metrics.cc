#include "src/admin/metrics.h"

#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <stdexcept>

namespace filbertshift {

namespace {

constexpr MetricKind kCounter = MetricKind::kCounter;
constexpr MetricKind kGauge = MetricKind::kGauge;
constexpr MetricKind kHistogram = MetricKind::kHistogram;

// The bucket bounds include the latency targets: 0.46 s to the first token,
// 43 ms between tokens and 1 ms added by the router.
const std::vector<double>& FirstTokenBuckets() {
  static const std::vector<double> kBuckets = {
      0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.46, 0.7, 1, 2, 5, 10, 30, 60};
  return kBuckets;
}

const std::vector<double>& TokenGapBuckets() {
  static const std::vector<double> kBuckets = {
      0.001, 0.005, 0.01, 0.02, 0.03, 0.043, 0.06, 0.1, 0.2, 0.5, 1, 5};
  return kBuckets;
}

const std::vector<double>& AddedDelayBuckets() {
  static const std::vector<double> kBuckets = {
      0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.5};
  return kBuckets;
}

// Caches the time series of one metric family by label values, because
// prometheus-cpp hashes all labels on each lookup, which is too slow to do for
// every token.
template <class T>
class SeriesCache {
 public:
  SeriesCache(prometheus::Family<T>& family, const MetricDefinition& definition)
      : family_(family), definition_(definition) {}

  T& Get(std::vector<std::string> values) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto found = metrics_.find(values);
    if (found != metrics_.end()) {
      return *found->second;
    }
    T* metric = &Add(values);
    metrics_.emplace(std::move(values), metric);
    return *metric;
  }

 private:
  T& Add(const std::vector<std::string>& values) {
    prometheus::Labels labels;
    for (std::size_t i = 0; i < values.size(); ++i) {
      labels[definition_.labels.at(i)] = values[i];
    }
    if constexpr (std::is_same_v<T, prometheus::Histogram>) {
      return family_.Add(labels, definition_.buckets);
    } else {
      return family_.Add(labels);
    }
  }

  prometheus::Family<T>& family_;
  const MetricDefinition& definition_;
  std::mutex mutex_;
  // The metrics are owned by the family.
  std::map<std::vector<std::string>, T*> metrics_;
};

const MetricDefinition& FindDefinition(std::string_view name, MetricKind kind) {
  for (const MetricDefinition& definition : MetricDefinitions()) {
    if (definition.name == name && definition.kind == kind) {
      return definition;
    }
  }
  throw std::out_of_range("metric " + std::string(name) + " is not declared");
}

SeriesCache<prometheus::Counter> RegisterCounters(
    prometheus::Registry& registry,
    std::string_view name) {
  const MetricDefinition& definition = FindDefinition(name, kCounter);
  return {prometheus::BuildCounter()
              .Name(definition.name)
              .Help(definition.help)
              .Register(registry),
          definition};
}

SeriesCache<prometheus::Gauge> RegisterGauges(prometheus::Registry& registry,
                                              std::string_view name) {
  const MetricDefinition& definition = FindDefinition(name, kGauge);
  return {prometheus::BuildGauge()
              .Name(definition.name)
              .Help(definition.help)
              .Register(registry),
          definition};
}

SeriesCache<prometheus::Histogram> RegisterHistograms(
    prometheus::Registry& registry,
    std::string_view name) {
  const MetricDefinition& definition = FindDefinition(name, kHistogram);
  return {prometheus::BuildHistogram()
              .Name(definition.name)
              .Help(definition.help)
              .Register(registry),
          definition};
}

double ToSeconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double>(time).count();
}

std::string TableOutcomeName(TableOutcome outcome) {
  switch (outcome) {
    case TableOutcome::kOk:
      return "ok";
    case TableOutcome::kConflict:
      return "conflict";
    case TableOutcome::kNotApplied:
      return "not_applied";
    case TableOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

std::string_view MetricKindName(MetricKind kind) {
  switch (kind) {
    case MetricKind::kCounter:
      return "counter";
    case MetricKind::kGauge:
      return "gauge";
    case MetricKind::kHistogram:
      return "histogram";
  }
  return "gauge";
}

const std::vector<MetricDefinition>& MetricDefinitions() {
  static const std::vector<MetricDefinition> kDefinitions = {
      {"filbertshift_requests_total",
       kCounter,
       {"class", "outcome"},
       "Finished requests; the outcome is ok or the error code.",
       {}},
      {"filbertshift_attempts_total",
       kCounter,
       {"outcome"},
       "Ended attempts at endpoints.",
       {}},
      {"filbertshift_first_token_seconds",
       kHistogram,
       {"class"},
       "Time from receipt of a request to its first token.",
       FirstTokenBuckets()},
      {"filbertshift_token_gap_seconds",
       kHistogram,
       {"class"},
       "Time between two tokens of an answer.",
       TokenGapBuckets()},
      {"filbertshift_added_delay_seconds",
       kHistogram,
       {},
       "Delay added by this process to the first token.",
       AddedDelayBuckets()},
      {"filbertshift_requests_in_flight",
       kGauge,
       {},
       "Requests accepted and not finished.",
       {}},
      {"filbertshift_queue_length",
       kGauge,
       {"class"},
       "Requests that wait for an endpoint.",
       {}},
      {"filbertshift_endpoints",
       kGauge,
       {"state"},
       "Endpoints by state: up, suspected, draining or unverified.",
       {}},
      {"filbertshift_share_used",
       kGauge,
       {},
       "Attempts that count against this instance's share of endpoints.",
       {}},
      {"filbertshift_share_limit",
       kGauge,
       {},
       "This instance's share of all endpoints, in attempts.",
       {}},
      {"filbertshift_charges_buffered",
       kGauge,
       {},
       "Charges that wait in memory for the table service.",
       {}},
      {"filbertshift_charges_stored_total",
       kCounter,
       {},
       "Charges written to the table service.",
       {}},
      {"filbertshift_table_calls_total",
       kCounter,
       {"outcome"},
       "Calls to the table service.",
       {}},
      {"filbertshift_configuration_revision",
       kGauge,
       {"section"},
       "Revision of each section that is in force at this instance.",
       {}},
      {"filbertshift_invariant_violations_total",
       kCounter,
       {"invariant"},
       "Failed checks of an invariant. Any increase is a defect.",
       {}},
      {"filbertshift_events_total",
       kCounter,
       {"event"},
       "Log events by number, of every severity.",
       {}},
  };
  return kDefinitions;
}

struct Metrics::Families {
  explicit Families(prometheus::Registry& registry)
      : requests(RegisterCounters(registry, "filbertshift_requests_total")),
        attempts(RegisterCounters(registry, "filbertshift_attempts_total")),
        first_token(
            RegisterHistograms(registry, "filbertshift_first_token_seconds")),
        token_gap(
            RegisterHistograms(registry, "filbertshift_token_gap_seconds")),
        added_delay(
            RegisterHistograms(registry, "filbertshift_added_delay_seconds")),
        in_flight(RegisterGauges(registry, "filbertshift_requests_in_flight")),
        queue_length(RegisterGauges(registry, "filbertshift_queue_length")),
        endpoints(RegisterGauges(registry, "filbertshift_endpoints")),
        share_used(RegisterGauges(registry, "filbertshift_share_used")),
        share_limit(RegisterGauges(registry, "filbertshift_share_limit")),
        charges_buffered(
            RegisterGauges(registry, "filbertshift_charges_buffered")),
        charges_stored(
            RegisterCounters(registry, "filbertshift_charges_stored_total")),
        table_calls(
            RegisterCounters(registry, "filbertshift_table_calls_total")),
        revision(
            RegisterGauges(registry, "filbertshift_configuration_revision")),
        violations(RegisterCounters(registry,
                                    "filbertshift_invariant_violations_total")),
        events(RegisterCounters(registry, "filbertshift_events_total")) {}

  SeriesCache<prometheus::Counter> requests;
  SeriesCache<prometheus::Counter> attempts;
  SeriesCache<prometheus::Histogram> first_token;
  SeriesCache<prometheus::Histogram> token_gap;
  SeriesCache<prometheus::Histogram> added_delay;
  SeriesCache<prometheus::Gauge> in_flight;
  SeriesCache<prometheus::Gauge> queue_length;
  SeriesCache<prometheus::Gauge> endpoints;
  SeriesCache<prometheus::Gauge> share_used;
  SeriesCache<prometheus::Gauge> share_limit;
  SeriesCache<prometheus::Gauge> charges_buffered;
  SeriesCache<prometheus::Counter> charges_stored;
  SeriesCache<prometheus::Counter> table_calls;
  SeriesCache<prometheus::Gauge> revision;
  SeriesCache<prometheus::Counter> violations;
  SeriesCache<prometheus::Counter> events;
};

Metrics::Metrics(prometheus::Registry& registry)
    : families_(std::make_unique<Families>(registry)) {
  // SeriesCache used in alerts are created at startup so that the first
  // increase from zero is visible to Prometheus.
  families_->added_delay.Get({});
  families_->in_flight.Get({});
  families_->charges_buffered.Get({});
  families_->charges_stored.Get({});
  SetShare(0, 0);
  constexpr int kInvariantCount = 12;
  for (int number = 1; number <= kInvariantCount; ++number) {
    families_->violations.Get({fmt::format("I{}", number)});
  }
}

Metrics::~Metrics() = default;

void Metrics::CountRequest(const std::string& quality_class,
                           const std::string& outcome) {
  families_->requests.Get({quality_class, outcome}).Increment();
}

void Metrics::CountAttempt(AttemptOutcome outcome) {
  families_->attempts.Get({std::string(AttemptOutcomeName(outcome))})
      .Increment();
}

void Metrics::ObserveFirstToken(const std::string& quality_class,
                                std::chrono::nanoseconds delay) {
  families_->first_token.Get({quality_class}).Observe(ToSeconds(delay));
}

void Metrics::ObserveTokenGap(const std::string& quality_class,
                              std::chrono::nanoseconds gap) {
  families_->token_gap.Get({quality_class}).Observe(ToSeconds(gap));
}

void Metrics::ObserveAddedDelay(std::chrono::nanoseconds delay) {
  families_->added_delay.Get({}).Observe(ToSeconds(delay));
}

void Metrics::SetInFlight(std::size_t requests) {
  families_->in_flight.Get({}).Set(static_cast<double>(requests));
}

void Metrics::SetQueueLength(const std::string& quality_class,
                             std::size_t requests) {
  families_->queue_length.Get({quality_class})
      .Set(static_cast<double>(requests));
}

void Metrics::SetEndpoints(const std::string& state, std::size_t endpoints) {
  families_->endpoints.Get({state}).Set(static_cast<double>(endpoints));
}

void Metrics::SetShare(std::size_t used, std::size_t total) {
  families_->share_used.Get({}).Set(static_cast<double>(used));
  families_->share_limit.Get({}).Set(static_cast<double>(total));
}

void Metrics::SetChargesBuffered(std::size_t charges) {
  families_->charges_buffered.Get({}).Set(static_cast<double>(charges));
}

void Metrics::CountChargesStored(std::size_t charges) {
  families_->charges_stored.Get({}).Increment(static_cast<double>(charges));
}

void Metrics::CountTableCall(TableOutcome outcome) {
  families_->table_calls.Get({TableOutcomeName(outcome)}).Increment();
}

void Metrics::SetConfigurationRevision(Section section,
                                       std::uint64_t revision) {
  families_->revision.Get({std::string(SectionName(section))})
      .Set(static_cast<double>(revision));
}

void Metrics::CountInvariantViolation(const std::string& invariant) {
  families_->violations.Get({invariant}).Increment();
}

void Metrics::CountEvent(EventId event) {
  families_->events.Get({fmt::format("FS{}", static_cast<int>(event))})
      .Increment();
}

}  // namespace filbertshift
