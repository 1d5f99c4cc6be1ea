// The deployment under soak: instances run as child processes; the store, the
// endpoints, the callers and the fault injection run in this process.

#ifndef TESTS_SOAK_SOAK_SITE_H_
#define TESTS_SOAK_SOAK_SITE_H_

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "src/net/net.h"
#include "tests/process/child_process.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/soak_caller.h"
#include "tests/soak/soak_contention.h"
#include "tests/soak/soak_drill.h"
#include "tests/soak/soak_record.h"
#include "tests/soak/soak_worker.h"
#include "tests/unit/gateway/stand_ins.h"

namespace filbertshift {

struct SoakOptions {
  // Path of filbertshift-gatewayd.
  std::string program;
  // Existing folder for settings and logs.
  std::string folder;
  unsigned seed = 1;
  // Period during which faults are injected.
  std::chrono::seconds fault_duration{30};
  int endpoints = 6;
};

class SoakSite {
 public:
  explicit SoakSite(const SoakOptions& options);

  // Runs the soak to its end, including the final checks.
  void Run();
  const SoakRecord& record() const { return record_; }

 private:
  struct Instance {
    std::string name;
    std::string settings_file;
    std::string caller_address;
    std::unique_ptr<FaultProxy> store_proxy;
    std::unique_ptr<ChildProcess> process;
    // Number of process starts; distinguishes the log files.
    int starts = 0;
    TimePoint started_at{};
    bool exceeded_memory = false;
  };
  struct Endpoint {
    std::unique_ptr<SoakWorker> worker;
    std::unique_ptr<FaultProxy> proxy;
    std::string address;
    std::string data_centre;
  };

  void AddInstance();
  void AddEndpoint();
  void PutEndpoint(const Endpoint& endpoint, std::string_view state = "ready");
  void PutConfiguration(bool with_second_key);
  void StartProcess(Instance* instance);
  void WaitUntilReady();
  // Runs the event loop for `time`.
  void RunFor(std::chrono::milliseconds time);
  std::chrono::milliseconds RandomDuration(int min_ms, int max_ms);
  // Starts a random fault and schedules its end.
  void BeginFault();
  void BeginProcessFault(Instance* instance);
  void BeginStoreFault();
  // Makes most endpoints, or all of them, unruly for a while.
  void BeginUnruly();
  // Reports a violation unless the instance ended with status 0 after SIGTERM
  // or was killed by the soak.
  void CheckExit(const Instance& instance);
  void CheckMemory();
  void ExtendDisruption(std::chrono::milliseconds time);
  void UpdateFaultFree();
  // Begins a drill of the store with an age of its copy of 1 to 10 s, or with
  // the given one.
  void BeginDrill(std::optional<std::chrono::milliseconds> age = std::nullopt);
  // Changes something, with the store returning from an older copy after that,
  // and mostly with other faults beside.
  void PlayDrill();
  void PlayDrillAfterRevocation();
  void PlayDrillAfterLeaving();
  void PlayDrillAfterRegistration();
  void BeginFaultsBesideDrill();
  // The configuration and an endpoint change, once bounds hold again.
  void PlayChangesAfterDrill(bool key_is_revoked);
  // An instance that started during a drill and has read no later state may go
  // by the copy until the drill has settled.
  void ExcuseCopiedState();
  // Waits until no fault is active, and the rules with a time bound hold again
  // after a drill.
  void WaitUntilCalm();
  // Planned changes, which must not make any request fail.
  void RevokeKey();
  void RestoreKey();
  // An endpoint falls silent for about a second and goes on.
  void SilenceEndpoint();
  void RemoveEndpoint();
  // An endpoint says in its answers that it leaves, and starts again.
  void LeaveEndpoint();
  // One endpoint, or all of them, ask for no requests for a while.
  void PauseEndpoints();
  void PlayNotice();
  // No notice counts that the instance gets until a time after a fault.
  void ExcuseNotices(const std::string& instance_or_endpoint,
                     std::chrono::milliseconds time);
  void StopAll();
  void CheckLogs();
  void Log(const std::string& text);

  const SoakOptions options_;
  const SoakVariant variant_;
  std::mt19937 random_;
  // Its own, so that the other faults of a seed stay as they are.
  std::mt19937 notice_random_;
  std::mt19937 unruly_random_;
  std::mt19937 drill_random_;
  TcpLoop loop_;
  SoakRecord record_;
  StandInStore store_;
  // All rows of the operator and of endpoints_ are written through it.
  SoakDrill drill_;
  std::string store_address_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<Endpoint> endpoints_;
  SoakContention contention_;
  std::vector<std::unique_ptr<SoakCaller>> callers_;
  // Uses the API key that is revoked and restored.
  std::unique_ptr<SoakCaller> second_caller_;
  TimePoint started_at_{};
  TimePoint disrupted_until_{};
  // When the latest removed record of an endpoint was put back.
  TimePoint record_put_back_at_{};
  int row_count_ = 0;
  int configuration_version_ = 0;
};

}  // namespace filbertshift

#endif  // TESTS_SOAK_SOAK_SITE_H_
