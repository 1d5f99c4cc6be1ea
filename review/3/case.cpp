// Case 3: a configuration adds a route with `sizes` whose streams can't be
// resumed. Whenever the small model's answer has a low confidence, the instance
// drops that answer, which ran, and then must not send the request again: 502.

#include "standin.hpp"

namespace {

using namespace standin;

constexpr int kWorkers = 3;
constexpr int kClients = 4;
constexpr double kSendMs = 12000;
// The added route counts as badly served below this part of the first one's.
constexpr double kMinPart = 0.25;
constexpr int kMinRequests = 20;

struct Served {
  int requests = 0;
  int whole = 0;
  int ran_and_failed = 0;
};

// The small model finds these requests hard.
int ConfidenceOf(const std::string& model, const std::string& id) {
  int spread = static_cast<int>(std::hash<std::string>()(id) % 20);
  if (model == "m0") {
    return 25 + spread;
  }
  return model == "m1" ? 60 + spread : 80 + spread;
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
  std::mutex mutex;
  std::map<std::string, int> runs;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < kWorkers; ++i) {
    Worker::Hooks hooks;
    hooks.answer = [&](int fd, const Message& request, Worker* worker) {
      std::string id = request.Field("Filbertshift-Attempt-Id");
      std::string model = request.Field("Filbertshift-Model");
      {
        std::lock_guard<std::mutex> lock(mutex);
        ++runs[id];
      }
      record.Write("worker %s runs %s with model %s, confidence %d",
                   worker->options().id.c_str(), id.c_str(), model.c_str(),
                   ConfidenceOf(model, id));
      worker->Stream(fd, request,
                     "Filbertshift-Confidence: " +
                         std::to_string(ConfidenceOf(model, id)) + "\r\n");
      return true;
    };
    WorkerOptions options;
    options.id = "w" + std::to_string(i);
    options.service = "draft-writers";
    options.slots = 48;
    options.work_ms = 50;
    options.events = 10;
    workers.push_back(
        std::make_unique<Worker>(options, &store, &record, hooks));
  }
  json sizes{{"sizes", json::array({"m0", "m1", "m2"})},
             {"sticky", true},
             {"gap_aim_ms", 1000}};
  std::vector<RouteOptions> routes{{"report", "/report/", "streaming",
                                    "draft-writers", 20000, 2000, 3, true,
                                    sizes}};
  store.Put("op", "config", Configuration(1, routes).dump());
  Gateway gateway(argv[1], argv[2], "edge-1", "zone-a", store.address());
  gateway.Start();
  if (!gateway.AwaitReady(10000)) {
    std::printf("the instance did not become ready\n");
    gateway.Kill();
    Exit(2);
  }
  if (trouble) {
    routes.push_back({"note", "/note/", "streaming", "draft-writers", 20000,
                      2000, 3, false, sizes});
    store.Put("op", "config", Configuration(4, routes).dump());
    record.Write("operator: version 4 adds the route /note/");
  }
  // config_apply_ms, and contact_ms after the start.
  SleepMs(4000);

  std::map<std::string, Served> served;
  std::vector<std::thread> clients;
  double end = NowMs() + kSendMs;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      Client client(gateway.front());
      for (int n = 0; NowMs() < end; ++n) {
        Request request;
        request.path = trouble && n % 2 == 1 ? "/note/a" : "/report/a";
        request.id = "c" + std::to_string(c) + "-" + std::to_string(n);
        request.deadline_ms = 15000;
        request.body = "draft";
        request.fields = {
            {"Filbertshift-Model", "*"},
            {"Filbertshift-Token-Count", "820,70"},
            {"Filbertshift-Prompt-Prefix",
             "5c1e07a2:600,f" + std::to_string(c * 100000 + n) + ":220"}};
        record.Write("client sends %s %s", request.path.c_str(),
                     request.id.c_str());
        Message answer = client.Call(request);
        bool whole = answer.complete && answer.status() == 200 &&
                     answer.body.find("id: 10\n") != std::string::npos;
        record.Write("client gets %d for %s %s%s", answer.status(),
                     request.path.c_str(), request.id.c_str(),
                     whole ? ", whole" : "");
        std::lock_guard<std::mutex> lock(mutex);
        Served& kind = served[request.path];
        ++kind.requests;
        kind.whole += whole ? 1 : 0;
        kind.ran_and_failed += !whole && runs[request.id] > 0 ? 1 : 0;
        client.CloseIf(!answer.complete);
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  gateway.Kill();

  for (const auto& [path, kind] : served) {
    std::printf("%s: %d requests, %d served whole, %d ran and were not\n",
                path.c_str(), kind.requests, kind.whole, kind.ran_and_failed);
  }
  const Served& first = served["/report/a"];
  const Served& added = served["/note/a"];
  if (first.whole < kMinRequests) {
    Exit(2);
  }
  auto share = [](const Served& kind) {
    return kind.requests == 0 ? 1.0
                              : static_cast<double>(kind.whole) / kind.requests;
  };
  bool broken =
      added.requests >= kMinRequests && share(added) < kMinPart * share(first);
  if (broken) {
    record.Write(
        "BROKEN CONFIG: the added route is served %.2f, the first %.2f",
        share(added), share(first));
  }
  Exit(broken ? 1 : 0);
}
