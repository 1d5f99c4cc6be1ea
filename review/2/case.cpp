// Case 2: one tenant sends many times its usual (`hot_tenant`). The bodies of
// all requests in progress are held in memory without a bound, each more than
// twice, so the process exceeds the memory of its machine and is killed.

#include "standin.hpp"

namespace {

using namespace standin;

constexpr int kWorkers = 3;
// Of an edge machine of the small deployment.
constexpr long kMemoryMb = 520;
constexpr std::size_t kBodyBytes = 4000000;
constexpr int kDeadlineMs = 6000;
// Requests a second of the large tenant and of the others.
constexpr double kTenantRate = 4;
constexpr double kOtherRate = 10;
constexpr double kHotFactor = 7.5;
constexpr double kQuietMs = 5000;
constexpr double kHotMs = 6500;
constexpr int kConnections = 60;
// Requests cut that the rule allows.
constexpr int kAllowed = 3;

long ResidentMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  long size = 0;
  long resident = 0;
  file >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE) / (1024 * 1024);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  const bool trouble = Trouble();
  Record record(argv[3]);
  Store store(&record);
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < kWorkers; ++i) {
    WorkerOptions options;
    options.id = "w" + std::to_string(i);
    options.service = "job-ledger";
    options.slots = 6;
    options.queue = 24;
    options.work_ms = 600;
    workers.push_back(std::make_unique<Worker>(options, &store, &record));
  }
  json configuration = Configuration(
      1, {{"upload", "/upload/", "non_idempotent", "job-ledger", kDeadlineMs}});
  configuration["tenants"].push_back(
      {{"name", "tenant-b"}, {"api_keys", json::array({"key-of-tenant-b"})}});
  store.Put("op", "config", configuration.dump());
  Gateway gateway(argv[1], argv[2], "edge-1", "zone-a", store.address());
  gateway.Start();
  if (!gateway.AwaitReady(10000)) {
    std::printf("the instance did not become ready\n");
    gateway.Kill();
    Exit(2);
  }

  // The platform: kills a process that exceeds its memory, and starts it again.
  std::atomic<bool> stop{false};
  std::atomic<int> kills{0};
  std::atomic<long> peak{0};
  std::thread platform([&] {
    while (!stop) {
      long resident = ResidentMb(gateway.pid());
      peak = std::max(peak.load(), resident);
      if (resident > kMemoryMb) {
        record.Write("platform: %ld MB are more than %ld; kills the process",
                     resident, kMemoryMb);
        ++kills;
        gateway.Kill();
        SleepMs(300);
        gateway.Start();
      }
      SleepMs(5);
    }
  });

  std::mutex mutex;
  // Kept connections; each has had an answer before.
  std::vector<std::unique_ptr<Client>> idle;
  std::map<int, int> statuses;
  std::vector<std::string> cut;
  int sent = 0;
  std::atomic<int> running{0};
  auto call = [&](const std::string& key, std::size_t body_bytes,
                  bool may_reuse) {
    std::unique_ptr<Client> client;
    Request request;
    {
      std::lock_guard<std::mutex> lock(mutex);
      request.id = "r" + std::to_string(++sent);
      if (may_reuse && !idle.empty()) {
        client = std::move(idle.back());
        idle.pop_back();
      }
    }
    bool kept = client != nullptr;
    if (!kept) {
      client = std::make_unique<Client>(gateway.front());
    }
    request.path = "/upload/photo";
    request.key = key;
    request.deadline_ms = kDeadlineMs;
    request.body = std::string(body_bytes, 'p');
    record.Write("client of %s sends %s", key.c_str(), request.id.c_str());
    Message answer = client->Call(request);
    record.Write("client gets %s for %s",
                 answer.complete ? std::to_string(answer.status()).c_str()
                                 : "a closed connection",
                 request.id.c_str());
    std::lock_guard<std::mutex> lock(mutex);
    ++statuses[answer.complete ? answer.status() : 0];
    if (answer.complete) {
      idle.push_back(std::move(client));
    } else if (kept) {
      cut.push_back(request.id);
    }
    --running;
  };
  // Evenly spaced, so that the rates are exact.
  auto send_at = [&](const std::string& key, double rate, double hot_rate) {
    double start = NowMs();
    double next = start;
    while (next - start < kQuietMs + kHotMs + 2000) {
      double elapsed = next - start;
      bool hot = elapsed >= kQuietMs && elapsed < kQuietMs + kHotMs;
      next += 1000 / (hot ? hot_rate : rate);
      SleepMs(next - NowMs());
      if (running < 200) {
        ++running;
        std::thread(call, key, kBodyBytes, true).detach();
      }
    }
  };
  // The clients' connections, each with one small request.
  for (int i = 0; i < kConnections; ++i) {
    ++running;
    std::thread(call, "key-of-tenant-b", std::size_t{100}, false).detach();
    SleepMs(1000 / kOtherRate);
  }
  while (running > 0) {
    SleepMs(20);
  }
  std::thread others(send_at, "key-of-tenant-b", kOtherRate, kOtherRate);
  std::thread large(send_at, "key-of-tenant-a", kTenantRate,
                    trouble ? kTenantRate * kHotFactor : kTenantRate);
  others.join();
  large.join();
  double end = NowMs() + kDeadlineMs + 2000;
  while (running > 0 && NowMs() < end) {
    SleepMs(50);
  }
  stop = true;
  platform.join();
  gateway.Kill();

  int lost = 0;
  for (const std::string& id : cut) {
    for (auto& worker : workers) {
      auto runs = worker->runs();
      if (runs.count(id) > 0) {
        ++lost;
        record.Write("LOST: %s ran at %s, and its connection was closed",
                     id.c_str(), worker->options().id.c_str());
        break;
      }
    }
  }
  std::printf("answers:");
  for (const auto& [status, count] : statuses) {
    std::printf(" %d x %d", status, count);
  }
  std::printf(
      "; peak %ld MB; killed for memory: %d; ran and cut on kept "
      "connections: %d\n",
      peak.load(), kills.load(), lost);
  if (lost > kAllowed) {
    record.Write("BROKEN LOST: %d requests", lost);
  }
  Exit(statuses.count(200) == 0 ? 2 : lost > kAllowed ? 1 : 0);
}
