// Measures the CPU time of choosing an endpoint, how it grows with the number
// of endpoints, and the memory use of the registry.
//
// Usage: routing_bench [choices for each measurement]

#include <fmt/core.h>
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <numeric>
#include <string>
#include <vector>

#include "src/admission/admission.h"
#include "src/routing/routing.h"

namespace filbertshift {
namespace {

// CPU time of the thread, which depends less on other load on the machine than
// wall-clock time.
struct CpuClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CpuClock>;
  static time_point now() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};

std::size_t HeapBytesInUse() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

constexpr EndpointLimits kLimits{32, 4, std::chrono::milliseconds(60000)};
constexpr int kDataCentres = 9;
constexpr int kPrefixes = 500;

struct NullEventLog : EventLog {
  void Write(EventId, const EventContext&, std::string) override {}
};

struct Setup {
  int endpoints;
  int versions;
  int seats;
};

std::string PolicyName(ChoicePolicy policy) {
  switch (policy) {
    case ChoicePolicy::kCostAware:
      return "cost aware";
    case ChoicePolicy::kLeastOutstanding:
      return "least outstanding";
    case ChoicePolicy::kRoundRobin:
      return "round robin";
  }
  return "";
}

ModelId DraftModel() {
  return ModelId("drafts");
}

VersionId VersionOf(int number) {
  return VersionId(fmt::format("v{}", number));
}

Configuration MakeConfiguration(const Setup& setup) {
  Configuration configuration;
  Model model;
  model.model = DraftModel();
  for (int i = 0; i < setup.versions; ++i) {
    ModelVersion version;
    version.version = VersionOf(i);
    version.limits = kLimits;
    model.versions.push_back(version);
  }
  configuration.models = {model};
  for (int i = 0; i < kDataCentres; ++i) {
    DataCentre data_centre;
    data_centre.data_centre = DataCentreId(fmt::format("dc-{}", i));
    configuration.data_centres.push_back(data_centre);
  }
  for (int seat = 0; seat < setup.seats; ++seat) {
    configuration.data_centres[seat % kDataCentres].seats.push_back(seat);
  }
  return configuration;
}

std::vector<EndpointRecord> MakeRecords(const Setup& setup) {
  std::vector<EndpointRecord> records;
  for (int i = 0; i < setup.endpoints; ++i) {
    EndpointRecord record;
    record.endpoint = EndpointId(fmt::format("engine-{:05}", i));
    record.address = fmt::format("127.0.0.1:{}", 20000 + i);
    record.data_centre = DataCentreId(fmt::format("dc-{}", i % kDataCentres));
    record.model = DraftModel();
    record.version = VersionOf(i % setup.versions);
    records.push_back(record);
  }
  return records;
}

// Measures a registry of the first seat whose endpoints are all warm.
class RegistryBench {
 public:
  RegistryBench(const Setup& setup, ChoicePolicy policy)
      : setup_(setup),
        configuration_(MakeConfiguration(setup)),
        records_(MakeRecords(setup)),
        heap_bytes_before_(HeapBytesInUse()),
        registry_(Options(policy), log_) {
    registry_.ApplyConfiguration(configuration_, now_);
    registry_.ApplyInstanceList(records_, now_);
    ProbeAll();
    registry_heap_bytes_ = HeapBytesInUse() - heap_bytes_before_;
    for (const EndpointView& view : registry_.Views(now_)) {
      capacity_ += view.share;
    }
  }

  // Starts attempts until the given fraction of the total share is in use.
  void FillTo(double fraction) {
    while (attempts_.size() < fraction * capacity_ && StartAttempt()) {
    }
  }

  // Returns the mean time of Release, Choose and Reserve together at constant
  // load, in nanoseconds.
  double ReleaseAndStart(int count) {
    const auto start = CpuClock::now();
    for (int i = 0; i < count; ++i) {
      if (!attempts_.empty()) {
        const std::size_t index = random_.Next() % attempts_.size();
        registry_.Release(attempts_[index]);
        std::swap(attempts_[index], attempts_.back());
        attempts_.pop_back();
      }
      StartAttempt();
    }
    return Nanoseconds(start, count);
  }

  // Returns the mean time of Choose alone, in nanoseconds.
  double Choose(int count) {
    EndpointQuery query = NextQuery();
    const auto start = CpuClock::now();
    for (int i = 0; i < count; ++i) {
      query.prefix_hash = 1 + random_.Next() % kPrefixes;
      chosen_count_ += registry_.Choose(query, now_) ? 1 : 0;
    }
    return Nanoseconds(start, count);
  }

  double ReadUnchangedList() {
    const auto start = CpuClock::now();
    registry_.ApplyInstanceList(records_, now_);
    return Nanoseconds(start, 1);
  }

  double ApplyChangedConfiguration() {
    ++configuration_.models[0].versions[0].limits.max_concurrency;
    const auto start = CpuClock::now();
    registry_.ApplyConfiguration(configuration_, now_);
    return Nanoseconds(start, 1);
  }

  // Removes the last seat of each data centre that has more than one, so that
  // the seats of all endpoints are ranked again.
  double ApplyChangedSeats() {
    for (DataCentre& data_centre : configuration_.data_centres) {
      if (data_centre.seats.size() > 1) {
        data_centre.seats.pop_back();
      }
    }
    const auto start = CpuClock::now();
    registry_.ApplyConfiguration(configuration_, now_);
    return Nanoseconds(start, 1);
  }

  double ProbeRound(std::size_t* probes) {
    const auto start = CpuClock::now();
    now_ += std::chrono::seconds(1);
    *probes = registry_.DueProbes(now_, std::chrono::milliseconds(1000)).size();
    return Nanoseconds(start, 1);
  }

  double BytesPerEndpoint() const {
    return static_cast<double>(registry_heap_bytes_) / setup_.endpoints;
  }
  int capacity() const { return capacity_; }

 private:
  static EndpointRegistryOptions Options(ChoicePolicy policy) {
    EndpointRegistryOptions options;
    options.own_data_centre = DataCentreId("dc-0");
    options.seat = 0;
    options.policy = policy;
    return options;
  }

  static double Nanoseconds(CpuClock::time_point start, int count) {
    const std::chrono::duration<double, std::nano> time =
        CpuClock::now() - start;
    return time.count() / count;
  }

  void ProbeAll() {
    for (const EndpointRecord& record : records_) {
      ProbeResult probe;
      probe.endpoint = record.endpoint;
      probe.reachable = true;
      probe.incarnation.start_time = std::chrono::milliseconds(1);
      probe.uptime = kLimits.warm_up;
      registry_.OnProbe(probe, now_);
    }
  }

  EndpointQuery NextQuery() {
    EndpointQuery query;
    query.model = DraftModel();
    query.version = VersionOf(static_cast<int>(
        random_.Next() % static_cast<std::uint64_t>(setup_.versions)));
    query.prefix_hash = 1 + random_.Next() % kPrefixes;
    query.prompt_tokens = 400;
    return query;
  }

  bool StartAttempt() {
    const EndpointQuery query = NextQuery();
    const auto choice = registry_.Choose(query, now_);
    if (!choice) {
      return false;
    }
    const AttemptId attempt(fmt::format("attempt-{}", ++last_attempt_));
    registry_.Reserve(choice->endpoint, attempt, Fingerprint{1}, query, now_);
    attempts_.push_back(attempt);
    return true;
  }

  const Setup setup_;
  Configuration configuration_;
  const std::vector<EndpointRecord> records_;
  NullEventLog log_;
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  SystemRandom random_{1};
  std::size_t heap_bytes_before_;
  EndpointRegistry registry_;
  std::size_t registry_heap_bytes_ = 0;
  int capacity_ = 0;
  int last_attempt_ = 0;
  int chosen_count_ = 0;
  std::vector<AttemptId> attempts_;
};

void Measure(const Setup& setup, ChoicePolicy policy, int count) {
  RegistryBench bench(setup, policy);
  const double bytes = bench.BytesPerEndpoint();
  fmt::print("{:9} {:8} {:5}  {:18} {:8.0f}", setup.endpoints, setup.versions,
             setup.seats, PolicyName(policy), bytes);
  fmt::print(" {:8.0f}", bench.Choose(count));
  for (double load : {0.5, 0.95}) {
    bench.FillTo(load);
    fmt::print(" {:8.0f} {:8.0f}", bench.Choose(count),
               bench.ReleaseAndStart(count));
  }
  bench.FillTo(1);
  fmt::print(" {:8.0f} {:8.0f}", bench.Choose(count),
             bench.ReleaseAndStart(count));
  std::size_t probes = 0;
  const double probe_time = bench.ProbeRound(&probes);
  fmt::print(
      " {:8.0f} {:8.0f} {:8.0f} {:6}\n", bench.ReadUnchangedList() / 1000,
      bench.ApplyChangedConfiguration() / 1000, probe_time / 1000, probes);
}

// Returns the percentage of pairs of seat and version without any endpoint.
double PercentWithoutEndpoint(const std::vector<std::vector<int>>& endpoints) {
  std::ptrdiff_t pairs = 0;
  std::ptrdiff_t pairs_without_endpoint = 0;
  for (const std::vector<int>& by_version : endpoints) {
    pairs += static_cast<std::ptrdiff_t>(by_version.size());
    pairs_without_endpoint +=
        std::count(by_version.begin(), by_version.end(), 0);
  }
  return 100.0 * static_cast<double>(pairs_without_endpoint) /
         static_cast<double>(pairs);
}

// Measures how evenly seats are distributed over endpoints and versions.
void MeasureSeatDistribution(const Setup& setup, int seats_per_endpoint) {
  std::vector<int> seats(static_cast<std::size_t>(setup.seats));
  std::iota(seats.begin(), seats.end(), 0);
  const std::vector<int> none(static_cast<std::size_t>(setup.versions), 0);
  // Indexed by seat, then version.
  std::vector<std::vector<int>> endpoints(seats.size(), none);
  std::vector<std::vector<int>> first_ranks(seats.size(), none);
  const std::vector<EndpointRecord> records = MakeRecords(setup);
  for (std::size_t i = 0; i < records.size(); ++i) {
    const std::size_t version = i % none.size();
    const std::vector<int> ranked =
        SeatsOfEndpoint(records[i].endpoint, seats, seats_per_endpoint);
    ++first_ranks[ranked[0]][version];
    for (int seat : ranked) {
      ++endpoints[seat][version];
    }
  }
  std::vector<int> totals;
  for (const std::vector<int>& by_version : endpoints) {
    totals.push_back(std::accumulate(by_version.begin(), by_version.end(), 0));
  }
  const auto [least, most] = std::minmax_element(totals.begin(), totals.end());
  fmt::print("{:9} {:8} {:5} {:18} {:6} {:6} {:9.1f} {:10.1f}\n",
             setup.endpoints, setup.versions, setup.seats, seats_per_endpoint,
             *least, *most, PercentWithoutEndpoint(endpoints),
             PercentWithoutEndpoint(first_ranks));
}

// Measures a full queue of one class: a drain that starts no request, and one
// that starts them all.
void MeasureQueue(int waiting) {
  AdmissionQueue queue;
  const auto start = CpuClock::now();
  for (int i = 0; i < waiting; ++i) {
    QueuedRequest request;
    request.request = RequestId(fmt::format("request-{}", i));
    request.account = AccountId(fmt::format("account-{}", i % 10));
    request.quality_class = "drafts";
    request.target = fmt::format("v{}", i % 12);
    request.deadline = TimePoint() + std::chrono::milliseconds(i);
    queue.Push(request, waiting);
  }
  const auto pushed = CpuClock::now();
  queue.Drain([](const QueuedRequest&) { return false; });
  const auto refused = CpuClock::now();
  queue.Drain([](const QueuedRequest&) { return true; });
  const auto drained = CpuClock::now();
  using Micros = std::chrono::duration<double, std::micro>;
  fmt::print("{:8} {:10.2f} {:14.1f} {:10.2f}\n", waiting,
             Micros(pushed - start).count() / waiting,
             Micros(refused - pushed).count(),
             Micros(drained - refused).count() / waiting);
}

}  // namespace
}  // namespace filbertshift

int main(int argc, char** argv) {
  using filbertshift::ChoicePolicy;
  const int count = argc > 1 ? std::atoi(argv[1]) : 200000;
  fmt::print(
      "CPU time. Nanoseconds: Choose alone when idle; Choose, and release + "
      "Choose +\n"
      "reserve, with half, 95% and all shares in use. Microseconds: reading\n"
      "an unchanged list, applying changed limits, applying changed seats,\n"
      "collecting due probes; number of probes.\n"
      "endpoints versions seats  policy             B/endpt     idle"
      "     half    cycle      95%    cycle     full    cycle"
      "     list   limits    seats   probes\n");
  for (int endpoints : {20, 256, 2300}) {
    filbertshift::Measure({endpoints, 1, 1}, ChoicePolicy::kCostAware, count);
  }
  for (ChoicePolicy policy :
       {ChoicePolicy::kLeastOutstanding, ChoicePolicy::kRoundRobin}) {
    filbertshift::Measure({20, 1, 1}, policy, count);
    filbertshift::Measure({2300, 1, 1}, policy, count);
  }
  // The current installation and the target size.
  filbertshift::Measure({20, 2, 4}, ChoicePolicy::kCostAware, count);
  filbertshift::Measure({2300, 12, 340}, ChoicePolicy::kCostAware, count);
  fmt::print(
      "\nEndpoints of a seat, least and most; percentage of pairs of seat and\n"
      "version without any endpoint, and without one for suspects.\n"
      "endpoints versions seats seats per endpoint  least   most      none"
      " no suspect\n");
  filbertshift::MeasureSeatDistribution({20, 2, 4}, 4);
  for (int seats_per_endpoint : {4, 8, 16, 32}) {
    filbertshift::MeasureSeatDistribution({2300, 12, 340}, seats_per_endpoint);
  }
  fmt::print(
      "\nAdmission queue, microseconds: push of one; a drain that starts\n"
      "nothing; start of one.\n waiting       push  refused drain      "
      "start\n");
  for (int waiting : {100, 1000, 10000, 100000}) {
    filbertshift::MeasureQueue(waiting);
  }
}
