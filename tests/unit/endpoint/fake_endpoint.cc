#include "tests/unit/endpoint/fake_endpoint.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <utility>

namespace filbertshift {

namespace {

// The uptime that probe responses report.
constexpr std::int64_t kUptimeMs = 5000;

std::string HttpDate(std::int64_t milliseconds) {
  const std::time_t seconds = milliseconds / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::string text(64, '\0');
  text.resize(std::strftime(text.data(), text.size(),
                            "%a, %d %b %Y %H:%M:%S GMT", &parts));
  return text;
}

}  // namespace

FakeEndpoint::FakeEndpoint(Incarnation incarnation, Handler handler)
    : handler_(std::move(handler)), start_ms_(0) {
  Restart(incarnation);
}

FakeEndpoint::~FakeEndpoint() {
  Stop();
}

std::string FakeEndpoint::address() const {
  return fmt::format("127.0.0.1:{}", port_);
}

void FakeEndpoint::Restart(Incarnation incarnation) {
  start_ms_ = incarnation.start_time.count();
  stopping_ = false;
  listener_ = ListenOnLoopback(port_);
  port_ = LocalPortOf(listener_);
  acceptor_ = std::thread([this] { Accept(); });
}

void FakeEndpoint::Stop() {
  stopping_ = true;
  if (acceptor_.joinable()) {
    acceptor_.join();
  }
  listener_.Close();
  {
    std::lock_guard<std::mutex> lock(mutex_);
    for (const TestSocket& socket : sockets_) {
      shutdown(socket.descriptor(), SHUT_RDWR);
    }
  }
  for (std::thread& server : servers_) {
    server.join();
  }
  servers_.clear();
  sockets_.clear();
}

void FakeEndpoint::Accept() {
  int connection = 0;
  while (!stopping_) {
    TestSocket socket = AcceptFrom(listener_, std::chrono::milliseconds(5));
    if (socket.descriptor() < 0) {
      continue;
    }
    std::lock_guard<std::mutex> lock(mutex_);
    sockets_.push_back(std::move(socket));
    const TestSocket& stored_socket = sockets_.back();
    servers_.emplace_back([this, connection, &stored_socket] {
      Serve(connection, stored_socket);
    });
    ++connection;
  }
}

std::string FakeEndpoint::ProbeReply() const {
  std::lock_guard<std::mutex> lock(mutex_);
  if (!probe_reply_.empty()) {
    return probe_reply_;
  }
  const std::string body = fmt::format(
      "# TYPE process_start_time_seconds gauge\n"
      "process_start_time_seconds {:.3f}\n"
      "engine:num_requests_running{{model=\"m\"}} 3\n"
      "engine:num_requests_waiting{{model=\"m\"}} 2\n",
      static_cast<double>(start_ms_) / 1000.0);
  return fmt::format(
      "HTTP/1.1 200 OK\r\nDate: {}\r\nContent-Length: {}\r\n\r\n{}",
      HttpDate(start_ms_ + kUptimeMs), body.size(), body);
}

void FakeEndpoint::Serve(int connection, const TestSocket& socket) {
  bool probed = false;
  bool open = true;
  while (open) {
    const std::string request = respond_before_body_
                                    ? socket.ReadUntil("\r\n\r\n")
                                    : socket.ReadMessage();
    if (request.empty()) {
      break;
    }
    if (request.rfind("GET /metrics ", 0) == 0) {
      ++probes_;
      probed = true;
      open = socket.Write(ProbeReply());
      continue;
    }
    {
      std::lock_guard<std::mutex> lock(mutex_);
      requests_.push_back({connection,
                           Incarnation{std::chrono::milliseconds(start_ms_)},
                           probed, request});
    }
    open = handler_(socket, request);
  }
  shutdown(socket.descriptor(), SHUT_RDWR);
}

std::vector<RecordedRequest> FakeEndpoint::requests() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return requests_;
}

void FakeEndpoint::SetProbeReply(std::string reply) {
  std::lock_guard<std::mutex> lock(mutex_);
  probe_reply_ = std::move(reply);
}

}  // namespace filbertshift
