// A whole site of a soak: instances as processes, and in this process the
// store, the endpoints, the callers and the faults.

#ifndef TESTS_SOAK_SOAK_SITE_H_
#define TESTS_SOAK_SOAK_SITE_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "src/net/net.h"
#include "tests/process/child_process.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/soak_caller.h"
#include "tests/soak/soak_record.h"
#include "tests/soak/soak_worker.h"
#include "tests/unit/gateway/stand_ins.h"

namespace filbertshift {

struct SoakOptions {
  // Path of filbertshift-gatewayd.
  std::string program;
  // For settings and logs; it exists.
  std::string folder;
  unsigned seed = 1;
  // How long faults come.
  std::chrono::seconds faults{30};
};

class SoakSite {
 public:
  explicit SoakSite(const SoakOptions& options);

  // Plays the whole soak.
  void Run();
  const SoakRecord& record() const { return record_; }

 private:
  struct Instance {
    std::string name;
    std::string settings_file;
    std::string caller_address;
    std::unique_ptr<FaultProxy> store_proxy;
    std::unique_ptr<ChildProcess> process;
    // Distinguishes the log files of its lives.
    int starts = 0;
  };
  struct Endpoint {
    std::unique_ptr<SoakWorker> worker;
    std::unique_ptr<FaultProxy> proxy;
    std::string address;
  };

  void AddInstance();
  void AddEndpoint();
  void PutEndpoint(const Endpoint& endpoint);
  void PutConfiguration(bool with_second_key);
  void StartProcess(Instance* instance);
  void WaitUntilReady();
  // Runs the loop for the time.
  void Pass(std::chrono::milliseconds time);
  std::chrono::milliseconds Between(int least_ms, int most_ms);
  // Begins a fault that ends by itself.
  void BeginFault();
  void BeginProcessFault(Instance* instance);
  void BeginStoreFault();
  // The instance has ended after SIGTERM.
  void CheckExit(const Instance& instance);
  void Disturb(std::chrono::milliseconds time);
  void UpdateCalm();
  // Planned changes, which cost no request.
  void WithdrawKey();
  void RemoveEndpoint();
  void EndAll();
  void CheckLogs();
  void Note(const std::string& text);

  const SoakOptions options_;
  std::mt19937 random_;
  TcpLoop loop_;
  SoakRecord record_;
  StandInStore store_;
  std::string store_address_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<Endpoint> endpoints_;
  std::vector<std::unique_ptr<SoakCaller>> callers_;
  // Holds the second key.
  std::unique_ptr<SoakCaller> second_caller_;
  TimePoint begun_at_{};
  TimePoint disturbed_until_{};
  int configuration_version_ = 0;
};

}  // namespace filbertshift

#endif  // TESTS_SOAK_SOAK_SITE_H_
