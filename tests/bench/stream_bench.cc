// Measures the delay, CPU time and memory that Frontend and EndpointClient add
// to 200 streams at 43 ms between tokens. The router runs in a child process
// with a loop that forwards every message; the endpoint and the callers run in
// this process. Not run in CI. Prints results for direct streams and for two
// rounds of routed streams, the first with new connections and the second with
// verified ones.

#include <fmt/format.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <map>
#include <queue>
#include <stdexcept>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "src/endpoint/endpoint.h"
#include "src/frontend/frontend.h"
#include "tests/unit/support/loopback.h"

namespace filbertshift {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kStreams = 200;
constexpr int kTokens = 100;
constexpr milliseconds kTokenInterval{43};
constexpr milliseconds kStartInterval{1};
constexpr Incarnation kIncarnation{milliseconds(1'780'000'000'000)};
constexpr int kMaxEvents = 64;

std::int64_t NowMicros() {
  return std::chrono::duration_cast<microseconds>(
             steady_clock::now().time_since_epoch())
      .count();
}

std::string Chunk(const std::string& bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

int WaitEvents(int epoll_fd,
               std::array<epoll_event, kMaxEvents>* events,
               steady_clock::time_point until) {
  const auto remaining =
      std::chrono::ceil<milliseconds>(until - steady_clock::now());
  return epoll_wait(
      epoll_fd, events->data(), kMaxEvents,
      static_cast<int>(std::max<std::int64_t>(remaining.count(), 0)));
}

void AddToEpoll(int epoll_fd, int descriptor) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = descriptor;
  epoll_ctl(epoll_fd, EPOLL_CTL_ADD, descriptor, &event);
}

// Streams tokens that carry the time at which they were written.
class TokenEndpoint {
 public:
  TokenEndpoint() : listener_(ListenOnLoopback()), epoll_(epoll_create1(0)) {
    AddToEpoll(epoll_.descriptor(), listener_.descriptor());
    thread_ = std::thread([this] { Run(); });
  }
  ~TokenEndpoint() {
    stop_ = true;
    thread_.join();
  }
  int port() const { return LocalPortOf(listener_); }

 private:
  struct PendingToken {
    steady_clock::time_point time;
    int descriptor;
    int remaining;
    bool operator<(const PendingToken& other) const {
      return time > other.time;
    }
  };

  void Run() {
    std::array<epoll_event, kMaxEvents> events{};
    while (!stop_) {
      auto until = steady_clock::now() + milliseconds(50);
      if (!pending_tokens_.empty()) {
        until = std::min(until, pending_tokens_.top().time);
      }
      const int count = WaitEvents(epoll_.descriptor(), &events, until);
      for (int i = 0; i < count; ++i) {
        Handle(events[i].data.fd);
      }
      while (!pending_tokens_.empty() &&
             pending_tokens_.top().time <= steady_clock::now()) {
        PendingToken pending = pending_tokens_.top();
        pending_tokens_.pop();
        WriteToken(pending);
      }
    }
  }

  void Handle(int descriptor) {
    if (descriptor == listener_.descriptor()) {
      TestSocket socket = AcceptFrom(listener_, milliseconds(0));
      AddToEpoll(epoll_.descriptor(), socket.descriptor());
      const int key = socket.descriptor();
      sockets_[key] = std::move(socket);
      return;
    }
    const TestSocket& socket = sockets_[descriptor];
    const std::string request = socket.ReadSome(milliseconds(0));
    if (request.empty()) {
      sockets_.erase(descriptor);
    } else if (request.rfind("GET /metrics", 0) == 0) {
      const std::string body = "process_start_time_seconds 1780000000\n";
      socket.Write(
          fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                      body.size(), body));
    } else {
      socket.Write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n");
      WriteToken(PendingToken{steady_clock::now(), descriptor, kTokens});
    }
  }

  void WriteToken(PendingToken pending) {
    const TestSocket& socket = sockets_[pending.descriptor];
    std::string bytes = Chunk(fmt::format(
        "data: {{\"choices\":[{{\"delta\":{{\"content\":\"word \"}}}}],"
        "\"sent\":{}}}\n\n",
        NowMicros()));
    if (--pending.remaining == 0) {
      bytes += "0\r\n\r\n";
    }
    socket.Write(bytes);
    pending.time += kTokenInterval;
    if (pending.remaining > 0) {
      pending_tokens_.push(pending);
    }
  }

  TestSocket listener_;
  TestSocket epoll_;
  std::atomic<bool> stop_{false};
  std::map<int, TestSocket> sockets_;
  std::priority_queue<PendingToken> pending_tokens_;
  std::thread thread_;
};

struct Delays {
  std::vector<std::int64_t> first_byte;
  // Token interval at the caller minus the interval at the endpoint, in
  // microseconds.
  std::vector<std::int64_t> gap;
};

struct CallerStream {
  TestSocket socket;
  std::int64_t started_at = 0;
  std::int64_t last_delay = 0;
  int tokens = 0;
  std::string buffer;
};

void ReadTokens(CallerStream* stream, Delays* delays) {
  const std::int64_t now = NowMicros();
  const std::string bytes = stream->socket.ReadSome(milliseconds(0));
  if (bytes.empty()) {
    throw std::runtime_error("a stream ended before its last token");
  }
  stream->buffer += bytes;
  constexpr std::string_view kSentField = "\"sent\":";
  std::size_t at = 0;
  while ((at = stream->buffer.find(kSentField)) != std::string::npos) {
    const std::size_t end = stream->buffer.find('}', at);
    if (end == std::string::npos) {
      return;
    }
    const std::int64_t sent = std::stoll(stream->buffer.substr(at + 7));
    stream->buffer.erase(0, end);
    const std::int64_t delay = now - sent;
    if (stream->tokens++ == 0) {
      delays->first_byte.push_back(now - stream->started_at);
    } else {
      delays->gap.push_back(delay - stream->last_delay);
    }
    stream->last_delay = delay;
  }
}

// Runs all streams against the port. Calls `halfway` after half of the tokens.
template <class Halfway>
Delays RunStreams(int port, Halfway halfway) {
  Delays delays;
  TestSocket epoll(epoll_create1(0));
  std::unordered_map<int, CallerStream> streams;
  std::array<epoll_event, kMaxEvents> events{};
  auto next_start = steady_clock::now();
  int started = 0;
  std::size_t open = kStreams;
  bool halfway_called = false;
  while (open > 0) {
    const auto until = started < kStreams
                           ? next_start
                           : steady_clock::now() + milliseconds(100);
    const int count = WaitEvents(epoll.descriptor(), &events, until);
    for (int i = 0; i < count; ++i) {
      CallerStream& stream = streams[events[i].data.fd];
      ReadTokens(&stream, &delays);
      if (stream.tokens == kTokens) {
        stream.tokens = 0;
        epoll_ctl(epoll.descriptor(), EPOLL_CTL_DEL, events[i].data.fd,
                  nullptr);
        --open;
      }
    }
    if (started < kStreams && steady_clock::now() >= next_start) {
      CallerStream stream;
      stream.socket = ConnectToLoopback(port);
      AddToEpoll(epoll.descriptor(), stream.socket.descriptor());
      stream.started_at = NowMicros();
      stream.socket.Write(
          "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
          "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
      const int key = stream.socket.descriptor();
      streams[key] = std::move(stream);
      ++started;
      next_start += kStartInterval;
    }
    if (!halfway_called && delays.gap.size() > kStreams * kTokens / 2) {
      halfway_called = true;
      halfway();
    }
  }
  return delays;
}

class NullEventLog : public EventLog {
 public:
  using EventLog::Write;
  void Write(EventId, const EventContext&, std::string) override {}
};

// The router in the child process: forwards requests and responses unchanged.
class PassThroughRouter {
 public:
  explicit PassThroughRouter(int endpoint_port)
      : address_(fmt::format("127.0.0.1:{}", endpoint_port)) {}

  std::string BoundAddress() const { return frontend_.BoundAddress(); }

  void Run() {
    while (true) {
      ring_.Wait(milliseconds(1000));
      std::vector<CoreMessage> batch;
      ring_.PopAll(&batch);
      for (CoreMessage& message : batch) {
        std::visit([this](auto& item) { Handle(item); }, message);
      }
    }
  }

 private:
  static CallerId ToCaller(const AttemptId& attempt) {
    return static_cast<CallerId>(std::stoull(attempt.value()));
  }

  void Handle(CallerRequest& request) {
    AttemptSpec spec;
    spec.attempt =
        AttemptId(std::to_string(static_cast<std::uint64_t>(request.caller)));
    spec.endpoint = EndpointId("e1");
    spec.address = address_;
    spec.method = request.method;
    spec.target = request.path;
    spec.headers = std::move(request.headers);
    spec.body = std::move(request.body);
    spec.incarnation = kIncarnation;
    spec.connect_timeout = milliseconds(2000);
    spec.max_response_bytes = 10'000'000;
    client_.Start(std::move(spec));
  }
  void Handle(AttemptHead& head) {
    frontend_.SendHead(ToCaller(head.attempt), head.http_status,
                       std::move(head.headers), true);
  }
  void Handle(AttemptData& data) {
    frontend_.SendBody(ToCaller(data.attempt), std::move(data.bytes));
  }
  void Handle(AttemptEnd& end) {
    if (end.outcome == AttemptOutcome::kComplete) {
      frontend_.Finish(ToCaller(end.attempt));
    } else {
      std::fprintf(stderr, "attempt failed: %s\n", end.detail.c_str());
      frontend_.Abort(ToCaller(end.attempt));
    }
  }
  template <class Message>
  void Handle(Message&) {}

  const std::string address_;
  SystemClock clock_;
  NullEventLog log_;
  CoreRing ring_{65536};
  EndpointClient client_{EndpointClientOptions(), ring_, clock_};
  Frontend frontend_{FrontendOptions(), ring_, clock_, log_};
};

// CPU time of another process.
double CpuMilliseconds(pid_t process) {
  clockid_t clock = 0;
  timespec time{};
  if (clock_getcpuclockid(process, &clock) != 0 ||
      clock_gettime(clock, &time) != 0) {
    return 0;
  }
  return static_cast<double>(time.tv_sec) * 1e3 +
         static_cast<double>(time.tv_nsec) / 1e6;
}

long ResidentKilobytes(pid_t process) {
  std::ifstream status(fmt::format("/proc/{}/status", process));
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      long value = 0;
      status >> value;
      return value;
    }
  }
  return 0;
}

void PrintPercentiles(const char* name, std::vector<std::int64_t> values) {
  std::sort(values.begin(), values.end());
  const auto at = [&values](double share) {
    const auto last = static_cast<double>(values.size() - 1);
    return static_cast<double>(values[static_cast<std::size_t>(last * share)]) /
           1000.0;
  };
  fmt::print("  {:10} p50 {:7.3f}  p95 {:7.3f}  p99 {:7.3f} ms  ({} values)\n",
             name, at(0.5), at(0.95), at(0.99), values.size());
}

void RunRouted(const char* name, int port, pid_t router) {
  const double cpu_before = CpuMilliseconds(router);
  const long resident_before = ResidentKilobytes(router);
  long resident = 0;
  const Delays delays =
      RunStreams(port, [&] { resident = ResidentKilobytes(router); });
  const double cpu = CpuMilliseconds(router) - cpu_before;
  fmt::print("{}\n", name);
  PrintPercentiles("first byte", delays.first_byte);
  PrintPercentiles("gap", delays.gap);
  fmt::print("  CPU {:.2f} ms for each 1,000 tokens\n",
             cpu / (kStreams * kTokens / 1000.0));
  fmt::print("  memory {} KB before, {} KB with {} streams: {:.1f} KB each\n",
             resident_before, resident, kStreams,
             static_cast<double>(resident - resident_before) / kStreams);
}

class ChildProcess {
 public:
  explicit ChildProcess(pid_t id) : id_(id) {}
  ~ChildProcess() {
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

 private:
  const pid_t id_;
};

int Main() {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::array<int, 2> to_child{};
  std::array<int, 2> to_parent{};
  if (pipe(to_child.data()) != 0 || pipe(to_parent.data()) != 0) {
    return 1;
  }
  // Forks before any thread exists, because only the forking thread survives in
  // the child.
  const pid_t router = fork();
  if (router == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int port = 0;
    if (read(to_child[0], &port, sizeof(port)) != sizeof(port)) {
      return 1;
    }
    PassThroughRouter pass_through(port);
    const std::string address = pass_through.BoundAddress();
    port = std::stoi(address.substr(address.rfind(':') + 1));
    if (write(to_parent[1], &port, sizeof(port)) != sizeof(port)) {
      return 1;
    }
    pass_through.Run();
  }
  TokenEndpoint endpoint;
  // Kills the child process on every exit path, including exceptions.
  const ChildProcess child(router);
  int port = endpoint.port();
  if (write(to_child[1], &port, sizeof(port)) != sizeof(port) ||
      read(to_parent[0], &port, sizeof(port)) != sizeof(port)) {
    return 1;
  }
  const Delays direct = RunStreams(endpoint.port(), [] {});
  fmt::print("direct\n");
  PrintPercentiles("first byte", direct.first_byte);
  PrintPercentiles("gap", direct.gap);
  RunRouted("routed, new connections", port, router);
  RunRouted("routed, verified connections", port, router);
  return 0;
}

}  // namespace
}  // namespace filbertshift

int main() {
  return filbertshift::Main();
}
