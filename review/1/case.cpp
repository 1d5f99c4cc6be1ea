// Case 1: a worker hands out second answers (`garble`, `extra late`). A request
// that may run once was refused by the worker and is sent to it again on the
// same connection; the late second copy of the refusal is then read as the
// answer to the repeat, which runs.

#include "standin.hpp"

namespace {

using namespace standin;

constexpr int kWorkers = 2;
constexpr int kClients = 40;
// Share of the answers of one of two workers that come twice.
constexpr double kDoubled = 0.03;
constexpr double kQuietMs = 2000;
// Of the 5 s, the latest second answer takes 14 ms.
constexpr double kTroubleMs = 4950;
constexpr double kMeanPauseMs = 50;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  const bool trouble = Trouble();
  Record record(argv[3]);
  Store store(&record);
  std::atomic<bool> garbling{false};
  std::mutex garble_mutex;
  std::atomic<int> copies{0};
  // Answers of the worker while it is in trouble.
  std::atomic<int> answers{0};
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < kWorkers; ++i) {
    Worker::Hooks hooks;
    if (i == 0) {
      auto second_answer = [&](int fd, const Message& request,
                               const std::string& sent) {
        thread_local std::mt19937 random(std::random_device{}());
        if (!garbling) {
          return;
        }
        // Never more than the share of the answers so far.
        {
          std::lock_guard<std::mutex> lock(garble_mutex);
          if (copies + 1 > kDoubled * ++answers) {
            return;
          }
          ++copies;
        }
        SleepMs(std::uniform_real_distribution<double>(2, 14)(random));
        record.Write("worker w0 sends a second answer to %s",
                     request.Field("Filbertshift-Attempt-Id").c_str());
        SendAll(fd, sent);
      };
      hooks.refused = second_answer;
      hooks.answered = second_answer;
    }
    WorkerOptions options;
    options.id = "w" + std::to_string(i);
    options.service = "job-ledger";
    options.slots = 2;
    options.queue = 1;
    options.work_ms = 6;
    workers.push_back(
        std::make_unique<Worker>(options, &store, &record, hooks));
  }
  store.Put("op", "config",
            Configuration(
                1, {{"billing", "/billing/", "non_idempotent", "job-ledger"}})
                .dump());
  Gateway gateway(argv[1], argv[2], "edge-1", "zone-a", store.address());
  gateway.Start();
  if (!gateway.AwaitReady(10000)) {
    std::printf("the instance did not become ready\n");
    gateway.Kill();
    Exit(2);
  }

  std::mutex mutex;
  std::map<std::string, int> statuses;
  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      std::mt19937 random(static_cast<unsigned>(c));
      std::exponential_distribution<double> pause(1 / kMeanPauseMs);
      Client client(gateway.front());
      for (int n = 0; !stop; ++n) {
        Request request;
        request.path = "/billing/invoice";
        request.id = "c" + std::to_string(c) + "-" + std::to_string(n);
        request.body = "invoice " + request.id;
        record.Write("client sends %s", request.id.c_str());
        Message answer = client.Call(request);
        record.Write("client gets %d for %s", answer.status(),
                     request.id.c_str());
        {
          std::lock_guard<std::mutex> lock(mutex);
          statuses[request.id] = answer.status();
        }
        SleepMs(pause(random));
      }
    });
  }
  SleepMs(kQuietMs);
  garbling = trouble;
  SleepMs(kTroubleMs);
  garbling = false;
  SleepMs(kQuietMs);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  SleepMs(500);
  gateway.Kill();

  std::map<std::string, int> runs;
  for (auto& worker : workers) {
    for (const auto& [id, count] : worker->runs()) {
      runs[id] += count;
    }
  }
  int twice = 0;
  int refused = 0;
  std::map<int, int> counts;
  for (const auto& [id, count] : runs) {
    if (count > 1) {
      ++twice;
      record.Write("BROKEN TWICE: %s ran %d times", id.c_str(), count);
    }
  }
  for (const auto& [id, status] : statuses) {
    ++counts[status];
    bool promise =
        status == 503 || status == 429 || status == 408 || status == 421;
    if (promise && runs[id] > 0) {
      ++refused;
      record.Write("BROKEN REFUSED: %s was answered %d and ran", id.c_str(),
                   status);
    }
  }
  std::printf("answers:");
  for (const auto& [status, count] : counts) {
    std::printf(" %d x %d", status, count);
  }
  std::printf(
      "; second answers: %d of %d; ran twice: %d; refused and ran: %d\n",
      copies.load(), answers.load(), twice, refused);
  Exit(!counts.count(200) ? 2 : twice + refused > 0 ? 1 : 0);
}
