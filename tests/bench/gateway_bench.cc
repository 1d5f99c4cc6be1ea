// Measures the delay, CPU time and memory that filbertshift-gatewayd adds to
// streams: 200 streams at 43 ms between events, directly and through the daemon
// as a child process. The store, the endpoint and the callers run in this
// process. Not run in CI.

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "src/gateway/caller_server.h"
#include "src/gateway/http_client.h"
#include "src/net/net.h"
#include "tests/process/child_process.h"
#include "tests/unit/gateway/stand_ins.h"

namespace filbertshift {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kStreams = 200;
constexpr int kEvents = 100;
constexpr milliseconds kEventInterval{43};
constexpr milliseconds kStartInterval{3};
constexpr milliseconds kReadyTime{4000};
constexpr milliseconds kTimeout{30000};

std::int64_t ToMicroseconds(TimePoint time) {
  return duration_cast<microseconds>(time.time_since_epoch()).count();
}

// Streams events that carry the time at which they were sent.
class TimestampEndpoint : public HttpRequestHandler {
 public:
  explicit TimestampEndpoint(Transport* transport)
      : transport_(transport), server_(transport, this) {}
  AcceptListener* listener() { return &server_; }

  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string /*body*/) override {
    HttpResponseHead response{200, "OK", {}};
    response.headers.Add("Filbertshift-Attempt-Id",
                         *head.headers.Find("Filbertshift-Attempt-Id"));
    response.headers.Add("Filbertshift-Response-Seal", "seal");
    server_.BeginStream(caller, response);
    SendEvent(caller, 1);
  }
  void OnCallerDisconnected(ConnectionId /*caller*/,
                            ConnectionEnd /*end*/) override {}
  void OnRejected(int /*status*/, std::string_view /*reason*/) override {}

 private:
  void SendEvent(ConnectionId caller, int number) {
    if (number > kEvents) {
      server_.EndStream(caller);
      return;
    }
    server_.SendStream(caller, fmt::format("id: {}\ndata: {}\n\n", number,
                                           ToMicroseconds(transport_->Now())));
    transport_->After(kEventInterval, [this, caller, number] {
      SendEvent(caller, number + 1);
    });
  }

  Transport* const transport_;
  CallerServer server_;
};

struct Delays {
  // From sending the request to receiving the first event, in microseconds.
  std::vector<std::int64_t> first;
  // From sending an event to receiving it, in microseconds.
  std::vector<std::int64_t> event;
};

class TimedCaller : public CallListener {
 public:
  TimedCaller(Transport* transport, Delays* delays)
      : transport_(transport),
        client_(transport, milliseconds(1000)),
        delays_(delays) {}

  void Start(const std::string& address, int number) {
    started_at_ = transport_->Now();
    client_.Start(address,
                  fmt::format("POST /stream/{} HTTP/1.1\r\nHost: h\r\n"
                              "Filbertshift-Attempt-Id: a{}\r\n"
                              "Authorization: Bearer k\r\n"
                              "Content-Length: 2\r\n\r\nhi",
                              number, number),
                  milliseconds(0), this);
  }
  bool done() const { return done_; }
  bool failed() const { return failed_; }

  HeadDecision OnHead(CallId /*call*/, const HttpResponseHead& head) override {
    failed_ = head.status != 200;
    return HeadDecision::kAccept;
  }
  void OnBody(CallId /*call*/, std::string_view data) override {
    std::int64_t now = ToMicroseconds(transport_->Now());
    constexpr std::string_view kDataField = "data: ";
    for (std::size_t at = data.find(kDataField); at != std::string_view::npos;
         at = data.find(kDataField, at + 1)) {
      std::int64_t sent = 0;
      std::from_chars(data.data() + at + kDataField.size(),
                      data.data() + data.size(), sent);
      if (std::exchange(first_event_seen_, true)) {
        delays_->event.push_back(now - sent);
      } else {
        delays_->first.push_back(now - ToMicroseconds(started_at_));
      }
    }
  }
  void OnComplete(CallId /*call*/) override { done_ = true; }
  void OnFailed(CallId /*call*/,
                CallFailure /*failure*/,
                std::string_view /*detail*/) override {
    done_ = true;
    failed_ = true;
  }

 private:
  Transport* const transport_;
  HttpClient client_;
  Delays* const delays_;
  TimePoint started_at_{};
  bool first_event_seen_ = false;
  bool done_ = false;
  bool failed_ = false;
};

// CPU time and resident memory of a process.
struct Usage {
  double cpu_ms = 0;
  std::int64_t memory_kb = 0;
};

Usage UsageOf(pid_t pid) {
  std::ifstream stat(fmt::format("/proc/{}/stat", pid));
  std::string field;
  Usage usage;
  // Fields 14 and 15 are the user and system CPU times, 24 the resident pages.
  for (int i = 1; i <= 24 && stat >> field; ++i) {
    if (i == 14 || i == 15) {
      usage.cpu_ms +=
          std::stod(field) * 1000.0 / static_cast<double>(sysconf(_SC_CLK_TCK));
    } else if (i == 24) {
      usage.memory_kb = std::stoll(field) * sysconf(_SC_PAGESIZE) / 1024;
    }
  }
  return usage;
}

double PercentileMs(std::vector<std::int64_t> values, double fraction) {
  std::sort(values.begin(), values.end());
  auto at =
      static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
  return static_cast<double>(values.at(std::min(at, values.size() - 1))) / 1000;
}

// Runs all streams against the address; calls `halfway` when about half of the
// events have been sent.
Delays RunStreams(TcpLoop* loop,
                  const std::string& address,
                  const std::function<void()>& halfway) {
  Delays delays;
  std::vector<std::unique_ptr<TimedCaller>> callers;
  for (int i = 0; i < kStreams; ++i) {
    callers.push_back(std::make_unique<TimedCaller>(loop, &delays));
    loop->After(kStartInterval * i,
                [&callers, &address, i] { callers[i]->Start(address, i); });
  }
  loop->After(kStartInterval * kStreams + kEventInterval * kEvents / 2,
              halfway);
  TimePoint end = loop->Now() + kTimeout;
  std::function<void()> check = [&] {
    bool all = std::all_of(callers.begin(), callers.end(),
                           [](const auto& caller) { return caller->done(); });
    if (all || loop->Now() > end) {
      loop->Stop();
    } else {
      loop->After(milliseconds(20), check);
    }
  };
  loop->After(milliseconds(20), check);
  loop->Run();
  auto failed = std::count_if(
      callers.begin(), callers.end(),
      [](const auto& caller) { return caller->failed() || !caller->done(); });
  std::printf("%d streams, %d failed\n", kStreams, static_cast<int>(failed));
  return delays;
}

void Print(const char* name, const Delays& delays) {
  std::printf(
      "%-8s first event p50 %.2f p95 %.2f ms; event p50 %.2f p95 %.2f "
      "p99 %.2f ms\n",
      name, PercentileMs(delays.first, 0.5), PercentileMs(delays.first, 0.95),
      PercentileMs(delays.event, 0.5), PercentileMs(delays.event, 0.95),
      PercentileMs(delays.event, 0.99));
}

std::string FreeAddress() {
  return fmt::format("127.0.0.1:{}", FreePort());
}

int Measure(const std::string& program, const std::string& folder) {
  TcpLoop loop(milliseconds(2000));
  StandInStore store(&loop);
  TimestampEndpoint endpoint(&loop);
  std::string store_address = FreeAddress();
  std::string endpoint_address = FreeAddress();
  std::string caller_address = FreeAddress();
  loop.Listen(store_address, store.listener());
  loop.Listen(endpoint_address, endpoint.listener());
  store.Put(
      "op", "config",
      R"({"version":1,"routes":[{"name":"stream","host":"h",)"
      R"("prefix":"/stream/","route_kind":"streaming","timeout_ms":20000,)"
      R"("objective_ms":2000,"gap_aim_ms":1000,"service":"s",)"
      R"("max_attempts":3,"resumable":true}],"services":[{"name":"s"}],)"
      R"("tenants":[{"name":"t","api_keys":["k"]}]})");
  store.Put("servers", "w",
            fmt::format(R"({{"service":"s","address":"{}","zone":"a",)"
                        R"("version":"v1","slots":400,"state":"ready",)"
                        R"("cold_remaining_ms":0,"sequence":1}})",
                        endpoint_address));
  std::string settings = folder + "/gateway_bench.json";
  std::ofstream(settings) << fmt::format(
      R"({{"instance":"i0","data_centre":"a","caller_listen":"{}",)"
      R"("readiness_listen":"{}","peer_listen":"{}","store_address":"{}"}})",
      caller_address, FreeAddress(), FreeAddress(), store_address);
  ChildProcess gateway("gateway_bench", folder,
                       {program, "--settings", settings});
  loop.After(kReadyTime, [&loop] { loop.Stop(); });
  loop.Run();
  Delays direct = RunStreams(&loop, endpoint_address, [] {});
  Usage before = UsageOf(gateway.pid());
  Usage during;
  Delays routed = RunStreams(&loop, caller_address,
                             [&] { during = UsageOf(gateway.pid()); });
  Usage after = UsageOf(gateway.pid());
  Print("direct", direct);
  Print("routed", routed);
  std::printf(
      "added at p95: first event %.2f ms, event %.2f ms\n",
      PercentileMs(routed.first, 0.95) - PercentileMs(direct.first, 0.95),
      PercentileMs(routed.event, 0.95) - PercentileMs(direct.event, 0.95));
  std::printf("processor time for 1,000 events: %.1f ms\n",
              (after.cpu_ms - before.cpu_ms) * 1000 / (kStreams * kEvents));
  std::printf(
      "memory for each stream: %.1f KB\n",
      static_cast<double>(during.memory_kb - before.memory_kb) / kStreams);
  return 0;
}

}  // namespace
}  // namespace filbertshift

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: gateway_bench PROGRAM FOLDER\n");
    return 2;
  }
  return filbertshift::Measure(argv[1], argv[2]);
}
