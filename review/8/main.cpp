// Version v2 of a plain service is rolled out, is bad and is rolled back. Then
// the operator orders v3. Counts the requests of sessions that run on v2
// although the request before them in their session ran on v1. What was sent,
// answered and run is written to record.txt.

#include "worker.hpp"

using namespace standin;

namespace {

constexpr double kDeadline = 24;
constexpr double kSessionSeconds = 5;
constexpr int kAllowed = 3;
constexpr int kClients = 60;

struct Finding {
  int moved = 0;
  int moved_failed = 0;
};

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments = Begin(argc, argv);
  Store store;
  History history;
  const std::string service = "ledger";
  store.Put("op", "config",
            {{"version", 1},
             {"routes",
              {{{"name", "signoff"},
                {"host", "site.example"},
                {"prefix", "/signoff/"},
                {"route_kind", "non_idempotent"},
                {"timeout_ms", 1500},
                {"objective_ms", 300},
                {"priority", 2},
                {"service", service},
                {"max_attempts", 3},
                {"public", true}}}},
             {"services",
              {{{"name", service},
                {"health_path", "/healthz"},
                {"max_conns", 110},
                {"cold_start_s", 0},
                {"cold_per_s", 0}}}},
             {"limits",
              {{"max_header_bytes", 16384},
               {"max_body_bytes", 4194304},
               {"header_timeout_ms", 3000},
               {"idle_timeout_ms", 15000}}}});
  auto make = [&](const std::string& version, double fail_share) {
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < 3; ++i) {
      WorkerOptions options;
      options.id = "i-" + version + "-" + std::to_string(i);
      options.service = service;
      options.version = version;
      options.fail_share = fail_share;
      workers.push_back(std::make_unique<Worker>(options, &store, &history));
    }
    return workers;
  };
  auto v1 = make("v1", 0);
  auto v2 = make("v2", arguments.trouble ? 0.5 : 0);
  auto v3 = make("v3", 0);
  for (auto& worker : v1) {
    worker->Register("ready");
  }
  Gateway a(arguments.root, arguments.temporary, "edge-a-1", "zone-a");
  Gateway b(arguments.root, arguments.temporary, "edge-a-2", "zone-a");
  std::vector<std::string> seeds{a.control(), b.control()};
  a.Start(store.address(), seeds);
  b.Start(store.address(), seeds);
  if (!a.WaitReady(10) || !b.WaitReady(10)) {
    fprintf(stderr, "a gateway does not get ready\n");
    return 2;
  }

  // Each client sends a request every half second; half of the clients name one
  // of seven sessions each, which then has a request every 3.5 s.
  std::atomic<bool> stop{false};
  std::atomic<int> served{0}, failed{0}, other{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Client client(i / 2 % 2 == 0 ? a.front() : b.front());
      double next = Now() + 0.5 * i / kClients;
      for (int n = 0; !stop; ++n, next += 0.5) {
        SleepUntil(next);
        std::string id =
            "c" + std::to_string(i) + "n" + std::to_string(n);
        std::string session =
            i % 2 == 0 ? "s" + std::to_string(i) + "-" + std::to_string(n % 7)
                       : "";
        std::string body = "{\"pay\":1}";
        std::string head =
            "POST /signoff/" + id + " HTTP/1.1\r\nHost: site.example\r\n" +
            "Filbertshift-Attempt-Id: " + id +
            "\r\nFilbertshift-Deadline-Ms: 1500\r\n" +
            (session.empty() ? "" : "Session: " + session + "\r\n") +
            "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        Log().Line("client %s sends session=%s", id.c_str(), session.c_str());
        Client::Answer answer = client.Send(head, body, 2);
        Log().Line("client %s gets %d", id.c_str(), answer.status);
        (answer.status == 200   ? served
         : answer.status == 500 ? failed
                                : other)++;
      }
    });
  }

  auto order = [&](const std::string& version,
                   std::vector<std::unique_ptr<Worker>>& workers) {
    for (auto& worker : workers) {
      worker->Register("ready");
    }
    store.Put("op", "rollout/" + service,
              {{"service", service}, {"to", version}, {"deadline_s", kDeadline}});
    Log().Line("operator orders %s", version.c_str());
    return Now();
  };
  // Waits until the system reports the end of the rollout to this version.
  auto wait_end = [&](const std::string& version, double end) {
    for (;;) {
      std::string text = store.Get("status", "rollout/" + service);
      json status = text.empty() ? json::object() : json::parse(text);
      std::string state = status.value("state", "");
      if (status.value("to", "") == version &&
          (state == "reverted" || state == "completed")) {
        Log().Line("status of %s: %s", version.c_str(), state.c_str());
        return state;
      }
      if (Now() > end) {
        return std::string();
      }
      Sleep(0.05);
    }
  };
  Sleep(4);
  double ordered = order("v2", v2);
  std::string state = wait_end("v2", ordered + kDeadline + 2);
  double ended = Now();
  bool valid = state == (arguments.trouble ? "reverted" : "completed");
  if (state == "completed") {
    // On completed the old workers are stopped.
    for (auto& worker : v1) {
      worker->Unregister();
      worker->Stop();
    }
  }
  // At reverted the new workers drain some seconds later.
  std::thread drain([&] {
    if (state != "reverted") {
      return;
    }
    SleepUntil(ended + 4);
    for (auto& worker : v2) {
      worker->Register("draining");
    }
    SleepUntil(ended + 7);
    for (auto& worker : v2) {
      worker->Unregister();
      worker->Stop();
    }
  });
  double ordered_again = 0;
  if (valid) {
    SleepUntil(ended + 1);
    ordered_again = order("v3", v3);
  }
  SleepUntil(ended + 8);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  drain.join();
  bool crashed = a.HasEnded() || b.HasEnded();

  // PINNED, for the rollout to v2: a request of a session runs on v2 in the
  // first half of its rollout, and the one before it in the session, less than
  // session_s ago, ran on another version. No disruption of machines, network
  // or store is part of this case.
  Finding finding;
  int v2_after = 0, v2_after_failed = 0;
  std::map<std::string, Run> latest;
  for (const Run& run : history.runs()) {
    if (run.version == "v2" && state == "reverted" && run.at > ended + 0.5) {
      ++v2_after;
      v2_after_failed += run.status == 500 ? 1 : 0;
    }
    if (run.session.empty()) {
      continue;
    }
    auto before = latest.find(run.session);
    if (before != latest.end() && run.at - before->second.at < kSessionSeconds &&
        run.version == "v2" && before->second.version != "v2" &&
        run.at >= ordered && run.at < ordered + kDeadline / 2) {
      ++finding.moved;
      finding.moved_failed += run.status == 500 ? 1 : 0;
    }
    latest[run.session] = run;
  }
  char summary[512];
  snprintf(summary, sizeof(summary),
           "v2 ended as %s %.1f s after its order; v3 ordered %.1f s later; "
           "%d requests of sessions moved to v2 in the first half of its "
           "rollout (%d allowed), %d of them failed; %d requests at v2 later "
           "than 0.5 s after its end, %d failed; clients: %d x 200, %d x 500, "
           "%d other",
           state.c_str(), ended - ordered,
           ordered_again > 0 ? ordered_again - ended : 0.0, finding.moved,
           kAllowed, finding.moved_failed, v2_after, v2_after_failed,
           served.load(), failed.load(), other.load());
  Log().Line("%s", summary);
  printf("%s\n", summary);
  fflush(stdout);
  a.Kill();
  b.Kill();
  if (crashed) {
    fprintf(stderr, "a gateway ended by itself\n");
    _exit(1);
  }
  if (!valid) {
    fprintf(stderr, "the rollout to v2 did not end as the case needs\n");
    _exit(2);
  }
  bool broken = finding.moved > kAllowed;
  Log().Line("PINNED %s", broken ? "broken" : "held");
  _exit(broken ? 1 : 0);
}
