// Instances that are stopped while callers wait.

#include <catch2/catch.hpp>

#include <thread>

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

}  // namespace
}  // namespace filbertshift
