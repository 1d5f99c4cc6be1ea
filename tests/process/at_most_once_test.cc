// A non-idempotent call executes at most once (I9), and a call refused with
// `not_run` was not executed (I8).

#include <catch2/catch.hpp>

#include <iostream>
#include <mutex>
#include <thread>

#include "src/common/common.h"
#include "tests/process/deployment.h"
#include "tests/process/records.h"
#include "tests/unit/support/test_seed.h"

namespace filbertshift {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Caller deadline for tests in which the first response cannot arrive.
constexpr milliseconds kShortDeadline{1200};

HttpCall LedgerCall(Deployment& deployment,
                    std::size_t instance,
                    const std::string& key,
                    milliseconds deadline = seconds(8)) {
  HttpCall call =
      deployment.Ledger(instance, "POST", "/invoices", key, R"({"sum":1})");
  call.headers.push_back("X-Deadline-Ms: " + std::to_string(deadline.count()));
  call.timeout = deadline + seconds(3);
  return call;
}

std::string Describe(const HttpResult& result) {
  return std::to_string(result.status) + " " + result.body + result.error;
}

// The error leaves open whether the call was executed.
bool IsUnknown(const HttpResult& result) {
  return result.status >= 400 && result.Run() == "unknown";
}

bool IsNotRun(const HttpResult& result) {
  return result.status >= 400 && result.Run() == "not_run";
}

// Repeats the call at the instance until it succeeds.
bool SucceedsWithin(Deployment& deployment,
                    std::size_t instance,
                    const std::string& key,
                    milliseconds timeout) {
  return WaitUntil(timeout, [&] {
    return IsSuccess(Call(LedgerCall(deployment, instance, key)));
  });
}

// Guards against two instances that both treat the same key as new.
TEST_CASE("two simultaneous tries of a key execute once", "[process]") {
  Deployment deployment{DeploymentSpec()};
  INFO(deployment.folder());
  for (int round = 0; round < 8; ++round) {
    // In half of the rounds only the writes of the record overlap, in the
    // others the executions as well.
    deployment.Control(deployment.service(0).control,
                       {{"delay_ms", round % 2 == 0 ? 0 : 200}});
    const std::string key = "both-" + std::to_string(round);
    HttpResult first;
    HttpResult second;
    std::thread other([&] { second = Call(LedgerCall(deployment, 1, key)); });
    first = Call(LedgerCall(deployment, 0, key));
    other.join();
    INFO(key << ": " << Describe(first) << " / " << Describe(second));
    CHECK(ExecutionCount(deployment, key) == 1);
    CHECK((IsSuccess(first) || IsSuccess(second)));
    CHECK((IsSuccess(first) || IsUnknown(first)));
    CHECK((IsSuccess(second) || IsUnknown(second)));
    if (IsSuccess(first) && IsSuccess(second)) {
      CHECK(first.body == second.body);
    }
  }
}

// Guards against a second execution, or a permanently blocked key, when the
// reply to a successful write of the table service is lost.
TEST_CASE("a lost reply of the table service executes at most once",
          "[process]") {
  Deployment deployment{DeploymentSpec()};
  INFO(deployment.folder());
  for (int lost = 1; lost <= 4; ++lost) {
    const std::string key = "lost-" + std::to_string(lost);
    deployment.Control(deployment.table().control, {{"drop_replies", lost}});
    HttpResult first = Call(LedgerCall(deployment, 0, key));
    deployment.Control(deployment.table().control, {{"drop_replies", 0}});
    INFO(key << ": " << Describe(first));
    int executions = ExecutionCount(deployment, key);
    CHECK(executions <= 1);
    CHECK((IsSuccess(first) || IsUnknown(first) || IsNotRun(first)));
    if (IsSuccess(first)) {
      CHECK(executions == 1);
    }
    if (IsNotRun(first)) {
      CHECK(executions == 0);
    }
    HttpResult later = Call(LedgerCall(deployment, 1, key, kShortDeadline));
    INFO("later: " << Describe(later));
    executions = ExecutionCount(deployment, key);
    CHECK(executions <= 1);
    CHECK((IsSuccess(later) || IsUnknown(later) || IsNotRun(later)));
    if (IsSuccess(later)) {
      CHECK(executions == 1);
    }
    if (IsSuccess(first) && IsSuccess(later)) {
      CHECK(first.body == later.body);
    }
    if (IsNotRun(first)) {
      CHECK(SucceedsWithin(deployment, 1, key, seconds(5)));
      CHECK(ExecutionCount(deployment, key) == 1);
    }
  }
}

// Guards against sending a call without an execution record, and against a key
// that stays blocked after an outage of the table service.
TEST_CASE("without the table service a call is refused and not run",
          "[process]") {
  Deployment deployment{DeploymentSpec()};
  INFO(deployment.folder());
  for (const char* outage : {"refuse", "503", "hang"}) {
    const std::string key = std::string("outage-") + outage;
    deployment.Control(deployment.table().control, {{"down", outage}});
    HttpResult refused = Call(LedgerCall(deployment, 0, key));
    INFO(key << ": " << Describe(refused));
    CHECK(refused.status == 503);
    CHECK(refused.Run() == "not_run");
    CHECK(ExecutionCount(deployment, key) == 0);
    deployment.Control(deployment.table().control, {{"down", false}});
    CHECK(SucceedsWithin(deployment, 1, key, seconds(5)));
    CHECK(SucceedsWithin(deployment, 0, key, seconds(5)));
    CHECK(ExecutionCount(deployment, key) == 1);
  }
}

// Guards against a second execution while the instance that sent the call is
// stopped.
TEST_CASE("an instance frozen during a call does not lead to a second run",
          "[process]") {
  Deployment deployment{DeploymentSpec()};
  INFO(deployment.folder());
  const std::string key = "frozen-during-call";
  // From here on the instance sends calls without waiting for its share.
  REQUIRE(SucceedsWithin(deployment, 0, key + "-before", seconds(5)));
  deployment.Control(deployment.service(0).control, {{"delay_ms", 700}});
  HttpResult first;
  std::thread caller([&] { first = Call(LedgerCall(deployment, 0, key)); });
  const bool recorded = WaitUntil(
      seconds(3), [&] { return HasExecutionRecord(deployment, key); });
  std::this_thread::sleep_for(milliseconds(200));
  deployment.instance(0).process->Freeze();
  const bool executed = WaitUntil(
      seconds(3), [&] { return ExecutionCount(deployment, key) > 0; });
  HttpResult second = Call(LedgerCall(deployment, 1, key, kShortDeadline));
  const int while_frozen = ExecutionCount(deployment, key);
  deployment.instance(0).process->Resume();
  caller.join();
  HttpResult later = Call(LedgerCall(deployment, 1, key, kShortDeadline));
  INFO(Describe(first) << " / " << Describe(second) << " / "
                       << Describe(later));
  REQUIRE(recorded);
  REQUIRE(executed);
  CHECK(while_frozen == 1);
  CHECK(IsUnknown(second));
  CHECK((IsSuccess(first) || IsUnknown(first)));
  CHECK((IsSuccess(later) || IsUnknown(later)));
  if (IsSuccess(first)) {
    CHECK(IsSuccess(later));
    CHECK(later.body == first.body);
  }
  CHECK(ExecutionCount(deployment, key) == 1);
}

// Guards against a second execution when another instance takes over the record
// of a paused instance, which then resumes and sends the call as well.
TEST_CASE("an instance frozen between record and call keeps the key",
          "[process]") {
  Deployment deployment{DeploymentSpec()};
  INFO(deployment.folder());
  const std::string key = "frozen-before-call";
  deployment.Control(deployment.table().control, {{"reply_delay_ms", 1000}});
  HttpResult first;
  std::thread caller([&] { first = Call(LedgerCall(deployment, 0, key)); });
  const bool recorded = WaitUntil(
      seconds(3), [&] { return HasExecutionRecord(deployment, key); });
  deployment.instance(0).process->Freeze();
  deployment.Control(deployment.table().control, {{"reply_delay_ms", 0}});
  HttpResult second = Call(LedgerCall(deployment, 1, key, kShortDeadline));
  const int while_frozen = ExecutionCount(deployment, key);
  deployment.instance(0).process->Resume();
  caller.join();
  HttpResult later = Call(LedgerCall(deployment, 1, key, kShortDeadline));
  INFO(Describe(first) << " / " << Describe(second) << " / "
                       << Describe(later));
  REQUIRE(recorded);
  CHECK(while_frozen == 0);
  CHECK(IsUnknown(second));
  const int executions = ExecutionCount(deployment, key);
  CHECK(executions <= 1);
  CHECK((IsSuccess(first) || IsUnknown(first) || IsNotRun(first)));
  if (IsSuccess(first)) {
    CHECK(executions == 1);
    CHECK(later.body == first.body);
  }
  if (IsSuccess(later)) {
    CHECK(executions == 1);
  }
}

// Guards against a second execution when the instance or the caller retries a
// call whose response was lost after the execution.
TEST_CASE("a call whose answer is lost is unknown and not repeated",
          "[process]") {
  Deployment deployment{DeploymentSpec()};
  INFO(deployment.folder());
  for (const char* fault : {"drop_replies", "crash_after"}) {
    const std::string key = std::string("answer-") + fault;
    // The service may still be restarting after the previous fault.
    REQUIRE(SucceedsWithin(deployment, 0, key + "-before", seconds(8)));
    deployment.Control(deployment.service(0).control, {{fault, 1}});
    HttpResult first = Call(LedgerCall(deployment, 0, key));
    INFO(key << ": " << Describe(first));
    CHECK(IsUnknown(first));
    CHECK(ExecutionCount(deployment, key) == 1);
    for (std::size_t instance : {1, 0}) {
      HttpResult later =
          Call(LedgerCall(deployment, instance, key, kShortDeadline));
      INFO("later: " << Describe(later));
      CHECK(IsUnknown(later));
    }
    CHECK(ExecutionCount(deployment, key) == 1);
  }
}

// Guards against a second execution after the instance that sent the call was
// killed.
TEST_CASE("a call of a killed instance is not executed again", "[process]") {
  Deployment deployment{DeploymentSpec()};
  INFO(deployment.folder());
  const std::string key = "killed";
  // From here on the instance sends calls without waiting for its share.
  REQUIRE(SucceedsWithin(deployment, 0, key + "-before", seconds(5)));
  deployment.Control(deployment.service(0).control, {{"delay_ms", 600}});
  HttpResult first;
  std::thread caller([&] { first = Call(LedgerCall(deployment, 0, key)); });
  const bool recorded = WaitUntil(
      seconds(3), [&] { return HasExecutionRecord(deployment, key); });
  std::this_thread::sleep_for(milliseconds(200));
  deployment.instance(0).process->Kill();
  caller.join();
  HttpResult second = Call(LedgerCall(deployment, 1, key, kShortDeadline));
  deployment.StartInstance(0);
  const bool ready = deployment.WaitReady(0, seconds(8));
  HttpResult third = Call(LedgerCall(deployment, 0, key, kShortDeadline));
  INFO(Describe(first) << " / " << Describe(second) << " / "
                       << Describe(third));
  REQUIRE(recorded);
  REQUIRE(ready);
  CHECK(first.status == 0);
  CHECK(IsUnknown(second));
  CHECK(IsUnknown(third));
  CHECK(ExecutionCount(deployment, key) <= 1);
}

// Starts and ends one fault. Faults of the same target are not combined.
struct Fault {
  std::string target;
  std::string name;
  std::function<void()> begin;
  std::function<void()> end;
};

class RandomFaults {
 public:
  RandomFaults(Deployment& deployment, std::uint64_t seed)
      : deployment_(deployment), random_(seed) {
    AddTableFaults();
    AddServiceFaults();
    for (std::size_t i = 0; i < deployment.instance_count(); ++i) {
      AddInstanceFaults(i);
    }
  }

  // Injects two faults at a time until `end`.
  void Run(std::chrono::steady_clock::time_point end) {
    while (std::chrono::steady_clock::now() < end) {
      const Fault& first = faults_[random_.Next() % faults_.size()];
      const Fault& second = FaultOfOtherTarget(first.target);
      first.begin();
      second.begin();
      history_ += first.name + " + " + second.name + "; ";
      std::this_thread::sleep_for(milliseconds(150 + random_.Next() % 350));
      second.end();
      first.end();
      std::this_thread::sleep_for(milliseconds(random_.Next() % 300));
    }
  }

  const std::string& history() const { return history_; }

 private:
  const Fault& FaultOfOtherTarget(const std::string& target) {
    for (;;) {
      const Fault& fault = faults_[random_.Next() % faults_.size()];
      if (fault.target != target) {
        return fault;
      }
    }
  }

  void Add(const std::string& name,
           const std::string& control,
           const json& begin,
           const json& end) {
    faults_.push_back(
        {control, name,
         [this, control, begin] { deployment_.Control(control, begin); },
         [this, control, end] { deployment_.Control(control, end); }});
  }

  void AddTableFaults() {
    const std::string& control = deployment_.table().control;
    for (const char* outage : {"refuse", "503", "hang"}) {
      Add(std::string("table ") + outage, control, {{"down", outage}},
          {{"down", false}});
    }
    Add("table drops replies", control, {{"drop_replies", 3}},
        {{"drop_replies", 0}});
    Add("table replies late", control, {{"reply_delay_ms", 300}},
        {{"reply_delay_ms", 0}});
  }

  void AddServiceFaults() {
    const std::string& control = deployment_.service(0).control;
    const std::string& proxy = deployment_.service(0).proxy_control;
    Add("service drops replies", control, {{"drop_replies", 2}},
        {{"drop_replies", 0}});
    Add("service crashes before", control, {{"crash_before", 1}},
        {{"crash_before", 0}});
    Add("service crashes after", control, {{"crash_after", 1}},
        {{"crash_after", 0}});
    Add("service slow", control, {{"delay_ms", 300}}, {{"delay_ms", 0}});
    Add("service cut", proxy, {{"cut", true}}, {{"cut", false}});
    Add("service replies cut", proxy, {{"drop_replies", 1}},
        {{"drop_replies", 0}});
  }

  void AddInstanceFaults(std::size_t index) {
    const std::string name = "instance " + std::to_string(index);
    const std::string& proxy =
        deployment_.instance(index).table_proxy.proxy_control;
    Add(name + " cut from the table", proxy, {{"cut", true}}, {{"cut", false}});
    Add(name + " loses table replies", proxy, {{"drop_replies", 2}},
        {{"drop_replies", 0}});
    faults_.push_back(
        {name, name + " frozen",
         [this, index] { deployment_.instance(index).process->Freeze(); },
         [this, index] { deployment_.instance(index).process->Resume(); }});
    faults_.push_back(
        {name, name + " killed",
         [this, index] { deployment_.instance(index).process->Kill(); },
         [this, index] { deployment_.StartInstance(index); }});
  }

  Deployment& deployment_;
  SystemRandom random_;
  std::vector<Fault> faults_;
  std::string history_;
};

struct Try {
  std::size_t instance = 0;
  HttpResult result;
};

// Sends up to three calls with the key to random instances.
std::vector<Try> TryKey(Deployment& deployment,
                        const std::string& key,
                        SystemRandom* random) {
  std::vector<Try> tries;
  while (tries.size() < 3) {
    const std::size_t instance = random->Next() % deployment.instance_count();
    HttpCall call = LedgerCall(deployment, instance, key, milliseconds(800));
    call.timeout = milliseconds(1500);
    tries.push_back({instance, Call(call)});
    if (IsSuccess(tries.back().result) && random->Next() % 4 != 0) {
      break;
    }
    // A refused connection fails immediately; without a delay most keys would
    // spend all their tries on an instance that is down.
    std::this_thread::sleep_for(milliseconds(20));
  }
  return tries;
}

void CheckKey(const std::string& key,
              const std::vector<Try>& tries,
              int executions) {
  std::string outcomes;
  std::string body;
  bool all_not_run = true;
  bool same = true;
  for (const Try& one : tries) {
    outcomes +=
        std::to_string(one.instance) + ": " + Describe(one.result) + "\n";
    all_not_run = all_not_run && IsNotRun(one.result);
    if (IsSuccess(one.result)) {
      same = same && (body.empty() || body == one.result.body);
      body = one.result.body;
    }
  }
  INFO(key << " executed " << executions << " times\n" << outcomes);
  CHECK(executions <= 1);
  CHECK(same);
  if (!body.empty()) {
    CHECK(executions == 1);
  }
  if (all_not_run) {
    CHECK(executions == 0);
  }
}

// Guards against second executions under combinations of faults that the other
// tests do not cover.
TEST_CASE("under random faults a key executes at most once", "[process]") {
  const std::uint64_t seed = TestSeed();
  std::cout << "FILBERTSHIFT_TEST_SEED=" << seed << std::endl;
  DeploymentSpec spec;
  spec.instances = {"a", "b", "a"};
  Deployment deployment{spec};
  RandomFaults faults(deployment, seed);
  const auto end = std::chrono::steady_clock::now() + seconds(7);
  std::map<std::string, std::vector<Try>> tries;
  std::mutex mutex;
  std::vector<std::thread> callers;
  for (std::uint64_t caller = 0; caller < 6; ++caller) {
    callers.emplace_back([&, caller] {
      SystemRandom random(seed + 1 + caller);
      for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
        const std::string key =
            "random-" + std::to_string(caller) + "-" + std::to_string(i);
        std::vector<Try> made = TryKey(deployment, key, &random);
        std::lock_guard<std::mutex> lock(mutex);
        tries[key] = std::move(made);
      }
    });
  }
  faults.Run(end);
  for (std::thread& caller : callers) {
    caller.join();
  }
  // Waits for accepted calls, which may still execute.
  std::this_thread::sleep_for(milliseconds(1500));
  std::map<std::string, int> counts = ExecutionCounts(deployment);
  INFO("FILBERTSHIFT_TEST_SEED=" << seed << " " << deployment.folder() << "\n"
                                 << faults.history());
  int succeeded = 0;
  for (const auto& [key, made] : tries) {
    CheckKey(key, made, counts[key]);
    succeeded += IsSuccess(made.back().result) ? 1 : 0;
  }
  std::cout << tries.size() << " keys, " << succeeded << " succeeded"
            << std::endl;
  // The checks are vacuous if no call succeeded.
  CHECK(succeeded > 0);
}

}  // namespace
}  // namespace filbertshift
