// Measures the CPU time of choosing an endpoint with and without placement, and
// how it grows with the number of endpoints.
//
// Usage: dispatch_bench [choices for each measurement]

#include <fmt/core.h>
#include <time.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string>
#include <vector>

#include "src/dispatch/dispatch.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr int kDataCentres = 3;
// An instance has this many requests in progress.
constexpr std::size_t kInFlight = 40;

// CPU time of the thread, which depends less on other load on the machine than
// wall-clock time.
double CpuNanoseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e9 +
         static_cast<double>(time.tv_nsec);
}

std::string CentreName(int number) {
  return fmt::format("dc-{}", number % kDataCentres);
}

class PoolBench {
 public:
  PoolBench(int endpoints, int instances, bool placement) {
    pool_.SetPlacement({placement, 0, DataCentreId(CentreName(0))});
    pool_.SetLoadTable(&table_);
    pool_.SetInstanceCount(instances);
    for (int i = 0; i < endpoints; ++i) {
      RoutedEndpoint record;
      record.endpoint = EndpointId(fmt::format("engine-{:05}", i));
      record.service = ServiceId("s");
      record.address = fmt::format("10.0.{}.{}:80", i / 250, i % 250);
      record.data_centre = DataCentreId(CentreName(i));
      record.version = VersionId("v1");
      record.slots = 64;
      pool_.Update(record, now_);
      ReportedEndpointLoad& load =
          report_.endpoints[EndpointKey(record.endpoint)];
      load.in_flight = 10 + i % 7;
      load.running = load.in_flight;
      load.pace_sum = load.pace_count = 10;
    }
    table_.SetOthers(report_, milliseconds(300), now_);
  }

  struct Times {
    double mean_us = 0;
    double median_us = 0;
    double p99_us = 0;
    double longest_us = 0;
    // One computation of the plan.
    double plan_us = 0;
  };

  // Each choice comes 10 ms after the one before; the plan is computed beside
  // them, as a gateway does.
  Times Run(int count) {
    std::vector<double> times;
    double sum = 0;
    double plan_us = 0;
    int plans = 0;
    for (int i = 0; i < count; ++i) {
      now_ += milliseconds(10);
      if (i % 30 == 0) {
        table_.SetOthers(report_, milliseconds(300), now_);
        double start = CpuNanoseconds();
        pool_.UpdatePlans(now_);
        plan_us += (CpuNanoseconds() - start) / 1000;
        ++plans;
      }
      DispatchQuery query;
      query.service = ServiceId("s");
      query.request_hash = static_cast<std::uint64_t>(i) * 0x9e3779b97f4a7c15;
      query.affinity =
          static_cast<std::uint64_t>(i % 500 + 1) * 0xbf58476d1ce4e5b9;
      query.work = {6000, 4000, 1};
      query.local_data_centre = DataCentreId(CentreName(0));
      double start = CpuNanoseconds();
      DispatchChoice choice = pool_.Choose(query, now_);
      times.push_back((CpuNanoseconds() - start) / 1000);
      sum += times.back();
      pool_.OnStart(*choice.endpoint, query.work, now_);
      started_.push_back(*choice.endpoint);
      if (started_.size() > kInFlight) {
        pool_.OnEnd(started_.front(), query.work, false,
                    AttemptResult::kAnswered, now_);
        started_.erase(started_.begin());
      }
    }
    std::sort(times.begin(), times.end());
    return {sum / count, times[times.size() / 2],
            times[times.size() * 99 / 100], times.back(), plan_us / plans};
  }

 private:
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  LoadReport report_;
  EndpointLoadTable table_;
  EndpointPool pool_{{1.5, 5}};
  std::vector<EndpointId> started_;
};

}  // namespace
}  // namespace filbertshift

int main(int argc, char** argv) {
  const int count = argc > 1 ? std::atoi(argv[1]) : 3000;
  fmt::print(
      "CPU time in microseconds of one choice, and of one plan each 300 ms.\n"
      "endpoints instances placement     mean   median      p99  longest"
      "     plan\n");
  for (int endpoints : {60, 2300}) {
    for (bool placement : {false, true}) {
      filbertshift::PoolBench bench(endpoints, 65, placement);
      auto times = bench.Run(count);
      fmt::print("{:9} {:9} {:>9} {:8.1f} {:8.1f} {:8.1f} {:8.1f} {:8.1f}\n",
                 endpoints, 65, placement ? "on" : "off", times.mean_us,
                 times.median_us, times.p99_us, times.longest_us,
                 times.plan_us);
    }
  }
}
