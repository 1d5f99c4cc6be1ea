#include "tests/bench/slow_readers.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "tests/process/child_process.h"

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReadInterval{50};
constexpr std::size_t kReadBytes = 64;
// A light stream is read as fast as it is sent, but in small pieces.
constexpr std::size_t kLightReadBytes = 256;
constexpr std::size_t kUploadBytes = 4000000;
constexpr int kSlowEndpoints = 2;
constexpr int kLightStreams = 30;
constexpr int kHeavyStreams = 150;
constexpr int kLargeAnswers = 20;
constexpr int kUploads = 60;

// "ADDRESS:PORT" in hexadecimal digits.
int PortOf(const std::string& address) {
  std::size_t colon = address.find(':');
  return colon == std::string::npos
             ? 0
             : std::stoi(address.substr(colon + 1), nullptr, 16);
}

}  // namespace

std::int64_t ResidentBytes(int process) {
  std::ifstream status(fmt::format("/proc/{}/status", process));
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::stoll(line.substr(6)) * 1024;
    }
  }
  return 0;
}

SocketBytes BytesInSockets(const std::set<int>& local_ports,
                           const std::set<int>& remote_ports) {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  SocketBytes bytes;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    // A listening socket has its backlog there.
    if (state != "0A" && queues.size() > 9 &&
        (local_ports.count(PortOf(local)) > 0 ||
         remote_ports.count(PortOf(remote)) > 0)) {
      bytes.unsent += std::stoll(queues.substr(0, 8), nullptr, 16);
      bytes.unread += std::stoll(queues.substr(9), nullptr, 16);
    }
  }
  return bytes;
}

// A caller with a large body, which reads its answer at once.
class SlowReaderLoad::Upload : public ConnectionListener {
 public:
  Upload(Transport* transport,
         std::string path,
         std::string id,
         std::shared_ptr<const std::string> body)
      : transport_(transport),
        path_(std::move(path)),
        id_(std::move(id)),
        body_(std::move(body)) {}
  void OnConnected(ConnectionId connection) override {
    transport_->Send(connection, SlowRequestHead(path_, id_, body_->size()));
    transport_->SendShared(connection, body_);
  }
  void OnData(ConnectionId /*connection*/, std::string_view data) override {
    response_.append(data);
  }
  void OnEnd(ConnectionId /*connection*/, ConnectionEnd /*end*/) override {}
  const std::string& id() const { return id_; }
  bool Has(const std::string& text) const {
    return response_.find(text) != std::string::npos;
  }

 private:
  Transport* const transport_;
  const std::string path_;
  const std::string id_;
  const std::shared_ptr<const std::string> body_;
  std::string response_;
};

SlowReaderLoad::SlowReaderLoad(TcpLoop* loop, int caller_port)
    : loop_(loop),
      caller_port_(caller_port),
      flow_(loop),
      flow_port_(FreePort()),
      slow_(kSlowEndpoints) {
  loop_->Listen(fmt::format("127.0.0.1:{}", flow_port_), flow_.listener());
}

SlowReaderLoad::~SlowReaderLoad() = default;

std::vector<int> SlowReaderLoad::slow_ports() const {
  std::vector<int> ports;
  for (const SlowEndpoint& endpoint : slow_) {
    ports.push_back(endpoint.port());
  }
  return ports;
}

void SlowReaderLoad::Start() {
  auto add = [this](std::vector<SlowCaller>* callers, const char* path,
                    int count) {
    for (int i = 0; i < count; ++i) {
      callers->emplace_back(
          fmt::format("127.0.0.1:{}", caller_port_),
          SlowRequestHead(path, fmt::format("{}{}", path + 1, i), 0));
    }
  };
  add(&light_, "/drip/x", kLightStreams);
  add(&heavy_, "/flow/x", kHeavyStreams);
  add(&large_, "/big/x", kLargeAnswers);
  auto body = std::make_shared<const std::string>(kUploadBytes, 'u');
  for (int i = 0; i < kUploads; ++i) {
    uploads_.push_back(
        std::make_unique<Upload>(loop_, i % 2 == 0 ? "/upload/x" : "/again/x",
                                 fmt::format("upload-{}", i), body));
    loop_->Connect(fmt::format("127.0.0.1:{}", caller_port_),
                   milliseconds(5000), uploads_.back().get());
  }
  ReadOften();
}

void SlowReaderLoad::ReadOften() {
  for (SlowEndpoint& endpoint : slow_) {
    endpoint.Read();
    for (std::string& id : endpoint.TakeSeen()) {
      seen_.insert(std::move(id));
    }
  }
  for (SlowCaller& caller : light_) {
    caller.Read(kLightReadBytes);
  }
  for (std::vector<SlowCaller>* callers : {&heavy_, &large_}) {
    for (SlowCaller& caller : *callers) {
      caller.Read(kReadBytes);
    }
  }
  loop_->After(kReadInterval, [this] { ReadOften(); });
}

bool SlowReaderLoad::Report() const {
  auto ended = [](const std::vector<SlowCaller>& callers) {
    return std::count_if(callers.begin(), callers.end(),
                         [](const SlowCaller& c) { return c.ended(); });
  };
  int refused = 0;
  int unknown = 0;
  int untruthful = 0;
  for (const std::unique_ptr<Upload>& upload : uploads_) {
    bool not_run = upload->Has("HTTP/1.1 503") && upload->Has("\"not_run\"");
    refused += not_run ? 1 : 0;
    unknown += upload->Has("HTTP/1.1 50") && upload->Has("\"unknown\"") ? 1 : 0;
    untruthful += not_run && seen_.count(upload->id()) > 0 ? 1 : 0;
  }
  std::printf(
      "slow callers that were cut: %d of %d light streams, %d of %d heavy "
      "ones, %d of %d large answers\n"
      "uploads: %d, %d refused as not run (%d of them seen by an endpoint), "
      "%d of unknown outcome; %zu begun to be read\n",
      static_cast<int>(ended(light_)), kLightStreams,
      static_cast<int>(ended(heavy_)), kHeavyStreams,
      static_cast<int>(ended(large_)), kLargeAnswers, kUploads, refused,
      untruthful, unknown, seen_.size());
  return ended(light_) == 0 && untruthful == 0 && unknown > 0 &&
         refused + unknown == kUploads;
}

}  // namespace filbertshift
