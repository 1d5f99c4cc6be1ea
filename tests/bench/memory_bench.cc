// Measures the peak memory of filbertshift-gatewayd under the worst mix of
// callers: large bodies of known and unknown length, bytes behind a running
// request, heads that never end, and answers that nobody reads. The endpoint
// answers nothing but large answers. Not run in CI. Exit status 1: the process
// exceeded its memory or ended.

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "src/gateway/caller_server.h"
#include "src/net/net.h"
#include "tests/process/child_process.h"
#include "tests/unit/gateway/stand_ins.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
constexpr int kMemoryMb = 256;
constexpr int kCallersOfEachKind = 120;
constexpr std::size_t kBodyBytes = 4000000;
constexpr std::size_t kAnswerBytes = 8 * kMegabyte;
constexpr milliseconds kReadyTime{4000};
constexpr milliseconds kRunTime{12000};
constexpr milliseconds kSampleInterval{20};

// Answers requests for /big/ at once, and all others never.
class LargeEndpoint : public HttpRequestHandler {
 public:
  explicit LargeEndpoint(Transport* transport) : server_(transport, this) {}
  AcceptListener* listener() { return &server_; }

  void OnRequest(ConnectionId caller,
                 HttpRequestHead head,
                 std::string /*body*/) override {
    if (head.target.rfind("/big/", 0) != 0) {
      return;
    }
    HttpResponseHead response{200, "OK", {}};
    response.headers.Add("Filbertshift-Attempt-Id",
                         *head.headers.Find("Filbertshift-Attempt-Id"));
    response.headers.Add("Filbertshift-Response-Seal", "seal");
    server_.Respond(caller, response, std::string(kAnswerBytes, 'a'));
  }
  void OnCallerDisconnected(ConnectionId /*caller*/,
                            ConnectionEnd /*end*/) override {}
  void OnRejected(int /*status*/, std::string_view /*reason*/) override {}

 private:
  CallerServer server_;
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

std::int64_t PeakMemoryKb(pid_t pid) {
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::stoll(line.substr(6));
    }
  }
  return 0;
}

// Bytes that have arrived at the port and are not read yet.
std::int64_t UnreadBytes(int port) {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::string suffix = fmt::format(":{:04X}", port);
  std::int64_t bytes = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    bool matches =
        local.size() > suffix.size() &&
        local.compare(local.size() - suffix.size(), suffix.size(), suffix) == 0;
    // A listening socket has its backlog there.
    if (matches && state != "0A" && queues.size() > 9) {
      bytes += std::stoll(queues.substr(9), nullptr, 16);
    }
  }
  return bytes;
}

std::string RequestHead(const std::string& path,
                        int number,
                        const std::string& more) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n"
      "Filbertshift-Attempt-Id: a{}\r\n{}\r\n",
      path, number, more);
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

int Measure(const std::string& program, const std::string& folder) {
  TcpLoop loop(milliseconds(60000));
  StandInStore store(&loop);
  LargeEndpoint endpoint(&loop);
  auto address_of = [](int port) { return fmt::format("127.0.0.1:{}", port); };
  std::string store_address = address_of(FreePort());
  std::string endpoint_address = address_of(FreePort());
  int caller_port = FreePort();
  loop.Listen(store_address, store.listener());
  loop.Listen(endpoint_address, endpoint.listener());
  store.Put("op", "config",
            R"({"version":1,"routes":[{"name":"hold","host":"h",)"
            R"("prefix":"/hold/","route_kind":"non_idempotent",)"
            R"("timeout_ms":20000,"objective_ms":8000,"service":"s",)"
            R"("max_attempts":1},{"name":"big","host":"h","prefix":"/big/",)"
            R"("route_kind":"non_idempotent","timeout_ms":20000,)"
            R"("objective_ms":8000,"service":"s","max_attempts":1}],)"
            R"("services":[{"name":"s"}],)"
            R"("tenants":[{"name":"t","api_keys":["k"]}]})");
  store.Put("servers", "w",
            fmt::format(R"({{"service":"s","address":"{}","zone":"a",)"
                        R"("version":"v1","slots":1000,"state":"ready",)"
                        R"("cold_remaining_ms":0,"sequence":1}})",
                        endpoint_address));
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
  std::int64_t idle_kb = PeakMemoryKb(gateway.pid());
  std::vector<std::unique_ptr<RawCaller>> callers = MakeCallers(&loop);
  for (auto& caller : callers) {
    loop.Connect(address_of(caller_port), milliseconds(5000), caller.get());
  }
  std::int64_t unread = 0;
  std::function<void()> sample = [&] {
    unread = std::max(unread, UnreadBytes(caller_port));
    loop.After(kSampleInterval, sample);
  };
  sample();
  loop.After(kRunTime, [&loop] { loop.Stop(); });
  loop.Run();
  std::int64_t peak_kb = PeakMemoryKb(gateway.pid());
  bool running = !gateway.WaitExit(milliseconds(0)).has_value();
  auto count = [&callers](auto predicate) {
    return std::count_if(callers.begin(), callers.end(), predicate);
  };
  std::printf(
      "%zu callers, %d refused, %d connections ended\n"
      "memory: %d MB allowed, %.1f MB idle, %.1f MB at the peak, %.1f MB "
      "unread in sockets at most; running: %s\n",
      callers.size(),
      static_cast<int>(count([](const auto& c) { return c->refused(); })),
      static_cast<int>(count([](const auto& c) { return c->ended(); })),
      kMemoryMb, static_cast<double>(idle_kb) / 1024,
      static_cast<double>(peak_kb) / 1024,
      static_cast<double>(unread) / static_cast<double>(kMegabyte),
      running ? "yes" : "no");
  return running && peak_kb > 0 && peak_kb / 1024 < kMemoryMb ? 0 : 1;
}

}  // namespace
}  // namespace filbertshift

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: memory_bench PROGRAM FOLDER\n");
    return 2;
  }
  return filbertshift::Measure(argv[1], argv[2]);
}
