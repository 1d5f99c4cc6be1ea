// Measures the peak memory of filbertshift-gatewayd under the worst mix of
// callers: large bodies of known and unknown length, bytes behind a running
// request, heads that never end, and answers that nobody reads. With "endless",
// under answers of the endpoint that never end; with "slow", under callers and
// endpoints that read slowly, both beside small requests that are answered. Not
// run in CI. Exit status 1: the process exceeded its memory, with the bytes in
// its sockets, or ended, or a small request was not answered, or a
// slow peer met what slow_readers.h excludes.

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/gateway/caller_server.h"
#include "src/gateway/http_client.h"
#include "src/net/net.h"
#include "tests/bench/slow_readers.h"
#include "tests/process/child_process.h"
#include "tests/soak/endless_answer.h"
#include "tests/unit/gateway/stand_ins.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
constexpr int kMemoryMb = 120;
constexpr int kEndlessCallers = 200;
constexpr milliseconds kEndlessInterval{5};
constexpr std::size_t kMaxEndlessUnsent = kMegabyte;
constexpr milliseconds kSmallInterval{20};
constexpr int kCallersOfEachKind = 120;
constexpr std::size_t kBodyBytes = 4000000;
constexpr std::size_t kAnswerBytes = 8 * kMegabyte;
constexpr milliseconds kReadyTime{4000};
constexpr milliseconds kRunTime{12000};
constexpr milliseconds kSampleInterval{20};

// Answers requests for /big/ and /small/ at once, those for /endless/KIND
// without end, and all others never.
class LargeEndpoint : public HttpRequestHandler {
 public:
  explicit LargeEndpoint(Transport* transport)
      : transport_(transport), server_(transport, this) {}
  AcceptListener* listener() { return &server_; }

  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string /*body*/) override {
    const std::string& id = *head.headers.Find("Filbertshift-Attempt-Id");
    if (head.target.rfind(kEndless, 0) == 0) {
      EndlessAnswer answer = MakeEndlessAnswer(
          static_cast<unsigned>(std::stoi(head.target.substr(kEndless.size()))),
          fmt::format("Filbertshift-Attempt-Id: {}\r\n"
                      "Filbertshift-Response-Seal: seal\r\n",
                      id),
          "whole");
      transport_->Send(caller, answer.start);
      SendWithoutEnd(caller, answer.part);
      return;
    }
    bool small = head.target.rfind("/small/", 0) == 0;
    if (!small && head.target.rfind("/big/", 0) != 0) {
      return;
    }
    HttpResponseHead response{200, "OK", {}};
    response.headers.Add("Filbertshift-Attempt-Id", id);
    response.headers.Add("Filbertshift-Response-Seal", "seal");
    server_.Respond(caller, response,
                    std::string(small ? 1 : kAnswerBytes, 'a'));
  }
  void OnCallerDisconnected(ConnectionId caller,
                            ConnectionEnd /*end*/) override {
    auto found = timers_.find(caller);
    if (found != timers_.end()) {
      transport_->Cancel(found->second);
      timers_.erase(found);
    }
  }
  void OnRejected(int /*status*/, std::string_view /*reason*/) override {}

 private:
  static constexpr std::string_view kEndless = "/endless/";

  void SendWithoutEnd(ConnectionId caller, const std::string& part) {
    if (transport_->UnsentBytes(caller) < kMaxEndlessUnsent) {
      transport_->Send(caller, part);
    }
    timers_[caller] = transport_->After(kEndlessInterval, [this, caller, part] {
      SendWithoutEnd(caller, part);
    });
  }

  Transport* const transport_;
  CallerServer server_;
  std::map<ConnectionId, TimerId> timers_;
};

// Sends a small request now and then, each on a new connection, and counts what
// comes back.
class SmallCaller : public CallListener {
 public:
  SmallCaller(Transport* transport, std::string address)
      : transport_(transport),
        address_(std::move(address)),
        client_(transport, milliseconds(5000)) {}
  void Start();
  int sent() const { return sent_; }
  int served() const { return served_; }
  int failed() const { return failed_; }

  HeadDecision OnHead(CallId /*call*/, const HttpResponseHead& head) override {
    status_ = head.status;
    return HeadDecision::kAcceptLast;
  }
  void OnBody(CallId /*call*/, std::string_view /*data*/) override {}
  void OnComplete(CallId /*call*/) override {
    (status_ == 200 ? served_ : failed_) += 1;
    ScheduleNext();
  }
  void OnFailed(CallId /*call*/,
                CallFailure /*failure*/,
                std::string_view /*detail*/) override {
    ++failed_;
    ScheduleNext();
  }

 private:
  void ScheduleNext() {
    transport_->After(kSmallInterval, [this] { Start(); });
  }

  Transport* const transport_;
  const std::string address_;
  HttpClient client_;
  int status_ = 0;
  int sent_ = 0;
  int served_ = 0;
  int failed_ = 0;
};

// Sends a fixed message and counts the statuses of what comes back.
class RawCaller : public ConnectionListener {
 public:
  RawCaller(Transport* transport,
            std::string head,
            std::shared_ptr<const std::string> body)
      : transport_(transport), head_(std::move(head)), body_(std::move(body)) {}

  void OnConnected(ConnectionId connection) override {
    transport_->Send(connection, head_);
    if (body_ != nullptr) {
      transport_->SendShared(connection, body_);
    }
  }
  void OnData(ConnectionId /*connection*/, std::string_view data) override {
    refused_ = refused_ || data.find("HTTP/1.1 503") != std::string::npos;
  }
  void OnEnd(ConnectionId /*connection*/, ConnectionEnd /*end*/) override {
    ended_ = true;
  }
  bool refused() const { return refused_; }
  bool ended() const { return ended_; }

 private:
  Transport* const transport_;
  const std::string head_;
  const std::shared_ptr<const std::string> body_;
  bool refused_ = false;
  bool ended_ = false;
};

enum class Load { kMixed, kEndless, kSlow };

std::string RequestHead(const std::string& path,
                        int number,
                        const std::string& more) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n"
      "Filbertshift-Attempt-Id: a{}\r\n{}\r\n",
      path, number, more);
}

void SmallCaller::Start() {
  ++sent_;
  client_.Start(address_,
                RequestHead("/small/x", -sent_, "Content-Length: 0\r\n"),
                milliseconds(0), this);
}

std::vector<std::unique_ptr<RawCaller>> MakeEndlessCallers(
    Transport* transport) {
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < kEndlessCallers; ++i) {
    callers.push_back(
        std::make_unique<RawCaller>(transport,
                                    RequestHead(fmt::format("/endless/{}", i),
                                                i + 1, "Content-Length: 0\r\n"),
                                    nullptr));
  }
  return callers;
}

std::vector<std::unique_ptr<RawCaller>> MakeCallers(Transport* transport) {
  auto body = std::make_shared<const std::string>(kBodyBytes, 'b');
  auto chunked = std::make_shared<const std::string>(SerializeChunk(*body) +
                                                     std::string(kLastChunk));
  std::string behind_head = RequestHead(
      "/hold/x", 0, fmt::format("Content-Length: {}\r\n", kBodyBytes));
  auto behind = std::make_shared<const std::string>(behind_head + *body);
  std::string fields;
  for (int i = 0; i < 3000; ++i) {
    fields += "a:b\r\n";
  }
  std::vector<std::unique_ptr<RawCaller>> callers;
  auto add = [&](std::string head, std::shared_ptr<const std::string> rest) {
    callers.push_back(std::make_unique<RawCaller>(transport, std::move(head),
                                                  std::move(rest)));
  };
  int number = 0;
  for (int i = 0; i < kCallersOfEachKind; ++i) {
    add(RequestHead("/hold/x", ++number,
                    fmt::format("Content-Length: {}\r\n", kBodyBytes)),
        body);
    add(RequestHead("/hold/x", ++number, "Transfer-Encoding: chunked\r\n"),
        chunked);
    add(RequestHead("/hold/x", ++number, "Content-Length: 0\r\n"), behind);
    add(RequestHead("/big/x", ++number, "Content-Length: 0\r\n"), nullptr);
    add("POST /hold/x HTTP/1.1\r\nHost: h\r\n" + fields, nullptr);
  }
  return callers;
}

std::string RowOf(const std::string& service, const std::string& address) {
  return fmt::format(R"({{"service":"{}","address":"{}","zone":"a",)"
                     R"("version":"v1","slots":1000,"state":"ready",)"
                     R"("cold_remaining_ms":0,"sequence":1}})",
                     service, address);
}

std::string Configuration() {
  struct BenchRoute {
    const char* name;
    const char* kind;
    const char* service;
    int timeout_ms;
    int max_attempts;
  };
  constexpr BenchRoute kBenchRoutes[] = {
      {"hold", "non_idempotent", "s", 20000, 1},
      {"big", "non_idempotent", "s", 20000, 1},
      {"small", "non_idempotent", "s", 20000, 1},
      {"endless", "non_idempotent", "s", 20000, 1},
      {"flow", "streaming", "flow", 20000, 1},
      {"drip", "streaming", "flow", 20000, 1},
      {"upload", "non_idempotent", "slow", 8000, 1},
      {"again", "idempotent", "slow", 8000, 2}};
  std::string routes;
  for (const BenchRoute& route : kBenchRoutes) {
    routes += fmt::format(
        R"({}{{"name":"{}","host":"h","prefix":"/{}/","route_kind":"{}",)"
        R"("timeout_ms":{},"objective_ms":8000,"service":"{}",)"
        R"("max_attempts":{}}})",
        routes.empty() ? "" : ",", route.name, route.name, route.kind,
        route.timeout_ms, route.service, route.max_attempts);
  }
  return fmt::format(
      R"({{"version":1,"routes":[{}],"services":[{{"name":"s"}},)"
      R"({{"name":"flow"}},{{"name":"slow"}}],)"
      R"("tenants":[{{"name":"t","api_keys":["k","key-1"]}}]}})",
      routes);
}

// Most memory that the process has had, in all and in its sockets.
struct MostBytes {
  std::int64_t with_sockets = 0;
  std::int64_t unread = 0;
  std::int64_t unsent = 0;
};

int Measure(const std::string& program, const std::string& folder, Load load) {
  TcpLoop loop(milliseconds(60000));
  StandInStore store(&loop);
  LargeEndpoint endpoint(&loop);
  auto address_of = [](int port) { return fmt::format("127.0.0.1:{}", port); };
  std::string store_address = address_of(FreePort());
  int endpoint_port = FreePort();
  int caller_port = FreePort();
  loop.Listen(store_address, store.listener());
  loop.Listen(address_of(endpoint_port), endpoint.listener());
  SlowReaderLoad slow(&loop, caller_port);
  store.Put("op", "config", Configuration());
  store.Put("servers", "w", RowOf("s", address_of(endpoint_port)));
  store.Put("servers", "f", RowOf("flow", address_of(slow.flow_port())));
  std::set<int> endpoint_ports = {endpoint_port, slow.flow_port()};
  for (int port : slow.slow_ports()) {
    store.Put("servers", fmt::format("slow{}", port),
              RowOf("slow", address_of(port)));
    endpoint_ports.insert(port);
  }
  std::string settings = folder + "/memory_bench.json";
  std::ofstream(settings) << fmt::format(
      R"({{"instance":"i0","data_centre":"a","caller_listen":"{}",)"
      R"("readiness_listen":"{}","peer_listen":"{}","store_address":"{}",)"
      R"("memory_mb":{}}})",
      address_of(caller_port), address_of(FreePort()), address_of(FreePort()),
      store_address, kMemoryMb);
  ChildProcess gateway("memory_bench", folder,
                       {program, "--settings", settings});
  loop.After(kReadyTime, [&loop] { loop.Stop(); });
  loop.Run();
  std::int64_t idle_kb = gateway.PeakMemoryKb();
  std::vector<std::unique_ptr<RawCaller>> callers;
  if (load == Load::kSlow) {
    slow.Start();
  } else {
    callers =
        load == Load::kEndless ? MakeEndlessCallers(&loop) : MakeCallers(&loop);
  }
  SmallCaller small(&loop, address_of(caller_port));
  if (load != Load::kMixed) {
    small.Start();
  }
  for (auto& caller : callers) {
    loop.Connect(address_of(caller_port), milliseconds(5000), caller.get());
  }
  MostBytes most;
  std::function<void()> sample = [&] {
    SocketBytes bytes = BytesInSockets({caller_port}, endpoint_ports);
    most.unread = std::max(most.unread, bytes.unread);
    most.unsent = std::max(most.unsent, bytes.unsent);
    most.with_sockets =
        std::max(most.with_sockets,
                 ResidentBytes(gateway.pid()) + bytes.unread + bytes.unsent);
    loop.After(kSampleInterval, sample);
  };
  sample();
  loop.After(kRunTime, [&loop] { loop.Stop(); });
  loop.Run();
  std::int64_t peak_kb = gateway.PeakMemoryKb();
  bool running = !gateway.WaitExit(milliseconds(0)).has_value();
  auto count = [&callers](auto predicate) {
    return static_cast<int>(
        std::count_if(callers.begin(), callers.end(), predicate));
  };
  auto megabytes = [](std::int64_t bytes) {
    return static_cast<double>(bytes) / static_cast<double>(kMegabyte);
  };
  std::printf(
      "%zu callers, %d refused, %d connections ended\n"
      "memory: %d MB allowed, %.1f MB idle, %.1f MB at the peak, %.1f MB with "
      "sockets; %.1f MB unread and %.1f MB unsent in sockets at most; running: "
      "%s\nsmall requests: %d sent, %d served, %d failed\n",
      callers.size(), count([](const auto& c) { return c->refused(); }),
      count([](const auto& c) { return c->ended(); }), kMemoryMb,
      megabytes(idle_kb * 1024), megabytes(peak_kb * 1024),
      megabytes(most.with_sockets), megabytes(most.unread),
      megabytes(most.unsent), running ? "yes" : "no", small.sent(),
      small.served(), small.failed());
  bool served =
      load == Load::kMixed || (small.served() > 0 && small.failed() == 0);
  bool kept = load != Load::kSlow || slow.Report();
  return running && served && kept && peak_kb > 0 &&
                 peak_kb / 1024 < kMemoryMb &&
                 megabytes(most.with_sockets) < kMemoryMb
             ? 0
             : 1;
}

}  // namespace
}  // namespace filbertshift

int main(int argc, char** argv) {
  using filbertshift::Load;
  const std::string name = argc == 4 ? argv[3] : "";
  if (argc != 3 && name != "endless" && name != "slow") {
    std::fprintf(stderr, "usage: memory_bench PROGRAM FOLDER [endless|slow]\n");
    return 2;
  }
  return filbertshift::Measure(argv[1], argv[2],
                               name == "endless" ? Load::kEndless
                               : name == "slow"  ? Load::kSlow
                                                 : Load::kMixed);
}
