// Instances that are stopped while callers wait.

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

#include "tests/process/deployment.h"

namespace filbertshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an instance that never ends, and leaves its caller waiting,
// because it stopped deciding while the answer was due.
TEST_CASE("an instance answers a job submission and ends", "[process]") {
  Deployment deployment{DeploymentSpec()};
  deployment.Control(deployment.table().control, {{"down", "hang"}});
  HttpCall submission = deployment.Chat(0, "job", 5, false);
  submission.headers.push_back("Prefer: respond-async");
  HttpResult result;
  std::thread caller([&] { result = Call(submission); });
  std::this_thread::sleep_for(milliseconds(500));
  deployment.instance(0).process->Terminate();
  std::this_thread::sleep_for(milliseconds(500));
  deployment.Control(deployment.table().control, {{"down", false}});
  bool ended = deployment.instance(0).process->WaitExit(seconds(10)) == 0;
  deployment.instance(0).process->Kill();
  caller.join();
  INFO(deployment.folder());
  INFO(result.status << " " << result.body << " " << result.error);
  CHECK(ended);
  CHECK(result.status == 202);
}

// Guards against an instance that never ends, and leaves callers waiting,
// because requests arrived after it had stopped deciding.
TEST_CASE("an instance ends while requests arrive", "[process]") {
  Deployment deployment{DeploymentSpec()};
  int ends = 0;
  std::atomic<int> unanswered{0};
  for (int round = 0; round < 12; ++round) {
    HttpCall listing = deployment.Chat(0, "", 1);
    listing.method = "GET";
    listing.url = deployment.instance(0).caller_address + "/v1/models";
    listing.body.clear();
    listing.timeout = seconds(6);
    std::atomic<bool> stop{false};
    std::vector<std::thread> callers;
    for (int i = 0; i < 12; ++i) {
      callers.emplace_back([&] {
        while (!stop) {
          HttpResult result = Call(listing);
          unanswered += result.total >= seconds(3) ? 1 : 0;
        }
      });
    }
    std::this_thread::sleep_for(milliseconds(300));
    deployment.instance(0).process->Terminate();
    std::this_thread::sleep_for(milliseconds(200));
    stop = true;
    ends += deployment.instance(0).process->WaitExit(seconds(4)) == 0 ? 1 : 0;
    deployment.instance(0).process->Kill();
    for (std::thread& caller : callers) {
      caller.join();
    }
    deployment.StartInstance(0);
    REQUIRE(deployment.WaitReady(0, seconds(10)));
  }
  CHECK(ends == 12);
  CHECK(unanswered == 0);
}

}  // namespace
}  // namespace filbertshift
