#include "tests/soak/slow_peers.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kFlowBytes = 4096;
constexpr std::size_t kDripBytes = 200;
constexpr milliseconds kFlowInterval{40};
constexpr milliseconds kDripInterval{100};
constexpr std::size_t kMaxUnsent = std::size_t{256} * 1024;
// Of each body at a time.
constexpr std::size_t kEndpointReadBytes = 512;

// Keeps the kernel of the slow peer from taking much in its place.
void SetSmallBuffer(int descriptor) {
  int size = 4096;
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
}

}  // namespace

std::string SlowRequestHead(const std::string& path,
                            const std::string& id,
                            std::size_t body_bytes) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\n"
      "Filbertshift-Attempt-Id: {}\r\nContent-Length: {}\r\n\r\n",
      path, id, body_bytes);
}

void FlowEndpoint::OnRequest(ConnectionId caller,
                             HttpRequestHead head,
                             std::string /*body*/) {
  HttpResponseHead response{200, "OK", {}};
  response.headers.Add("Filbertshift-Attempt-Id",
                       *head.headers.Find("Filbertshift-Attempt-Id"));
  response.headers.Add("Filbertshift-Response-Seal", "seal");
  response.headers.Add("Content-Type", "text/event-stream");
  server_.BeginStream(caller, response);
  SendEvents(caller, 1, head.target.rfind("/flow/", 0) == 0);
}

void FlowEndpoint::OnCallerDisconnected(ConnectionId caller,
                                        ConnectionEnd /*end*/) {
  auto found = timers_.find(caller);
  if (found != timers_.end()) {
    transport_->Cancel(found->second);
    timers_.erase(found);
  }
}

void FlowEndpoint::SendEvents(ConnectionId caller, int number, bool flows) {
  if (server_.UnsentBytes(caller) < kMaxUnsent) {
    server_.SendStream(
        caller, fmt::format("id: {}\ndata: {}\n\n", number,
                            std::string(flows ? kFlowBytes : kDripBytes, 'd')));
  }
  timers_[caller] = transport_->After(
      flows ? kFlowInterval : kDripInterval,
      [this, caller, number, flows] { SendEvents(caller, number + 1, flows); });
}

SlowEndpoint::SlowEndpoint() : listener_(ListenOnLoopback()) {
  // Accepted sockets inherit it.
  SetSmallBuffer(listener_.descriptor());
}

void SlowEndpoint::Read() {
  for (TestSocket accepted = AcceptFrom(listener_, milliseconds(0));
       accepted.descriptor() >= 0;
       accepted = AcceptFrom(listener_, milliseconds(0))) {
    connections_.push_back({std::move(accepted), std::string(), false});
  }
  char buffer[kEndpointReadBytes];
  for (Connection& connection : connections_) {
    ssize_t size = recv(connection.socket.descriptor(), buffer, sizeof(buffer),
                        MSG_DONTWAIT);
    if (size > 0 && !connection.seen) {
      connection.start.append(buffer, static_cast<std::size_t>(size));
      FindId(&connection);
    } else if (size == 0 || (size < 0 && errno != EAGAIN)) {
      connection.socket.Close();
    }
  }
  connections_.erase(std::remove_if(connections_.begin(), connections_.end(),
                                    [](const Connection& connection) {
                                      return connection.socket.descriptor() < 0;
                                    }),
                     connections_.end());
}

void SlowEndpoint::FindId(Connection* connection) {
  constexpr std::string_view kName = "Filbertshift-Attempt-Id: ";
  std::size_t begin = connection->start.find(kName);
  std::size_t end = connection->start.find("\r\n", begin);
  if (begin != std::string::npos && end != std::string::npos) {
    begin += kName.size();
    seen_.push_back(connection->start.substr(begin, end - begin));
    connection->seen = true;
    connection->start.clear();
  }
}

std::vector<std::string> SlowEndpoint::TakeSeen() {
  return std::exchange(seen_, {});
}

SlowCaller::SlowCaller(const std::string& address, const std::string& request)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  SetSmallBuffer(socket_.descriptor());
  TcpAddress parsed = ParseTcpAddress(address);
  ended_ = connect(socket_.descriptor(), parsed.get(), parsed.size) != 0 ||
           !socket_.Write(request);
}

void SlowCaller::Read(std::size_t bytes) {
  if (ended_) {
    return;
  }
  std::string buffer(bytes, '\0');
  ssize_t size =
      recv(socket_.descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT);
  ended_ = size == 0 || (size < 0 && errno != EAGAIN);
}

}  // namespace filbertshift
