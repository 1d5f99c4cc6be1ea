// A deployment on loopback for one test: emulated backing services and
// endpoints, and entry instances as real processes.

#ifndef TESTS_PROCESS_DEPLOYMENT_H_
#define TESTS_PROCESS_DEPLOYMENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "tests/process/child_process.h"
#include "tests/process/http_client.h"

namespace filbertshift {

struct EngineSpec {
  std::string model = "small";
  std::string version = "v1";
  std::string data_centre = "a";
  // Additional command-line options of the emulated engine.
  std::vector<std::string> options = {"--start-warm", "--token-us", "5000"};
};

struct DeploymentSpec {
  // Data centre of each entry instance; seats are numbered from 0.
  std::vector<std::string> instances = {"a", "b"};
  std::vector<EngineSpec> engines = {EngineSpec(), EngineSpec()};
  // Data centre of each endpoint of the plain service "ledger".
  std::vector<std::string> services = {"a"};
  bool rating = false;
  // Limits of every model version in the configuration.
  int max_concurrency = 16;
  int cold_start_concurrency = 4;
  std::string warm_up = "1s";
  // Merged into the settings of each instance.
  nlohmann::json extra_settings = nlohmann::json::object();
};

// An emulated service with a fault-injecting proxy in front of it.
struct Service {
  std::unique_ptr<ChildProcess> process;
  std::unique_ptr<ChildProcess> proxy;
  // Address of the service itself, of its control port, and of its proxy.
  std::string address;
  std::string control;
  std::string proxy_address;
  std::string proxy_control;
};

struct Instance {
  std::unique_ptr<ChildProcess> process;
  std::string id;
  std::string data_centre;
  std::string caller_address;
  std::string peer_address;
  std::string admin_address;
  std::string settings_file;
  // Proxy between this instance and the table service.
  Service table_proxy;
};

class Deployment {
 public:
  // Starts everything, applies a configuration and waits until all instances
  // are ready. Throws std::runtime_error if that fails.
  explicit Deployment(const DeploymentSpec& spec);
  ~Deployment();

  Instance& instance(std::size_t index) { return instances_[index]; }
  Service& engine(std::size_t index) { return engines_[index]; }
  Service& service(std::size_t index) { return services_[index]; }
  Service& table() { return table_; }
  Service& objects() { return objects_; }
  Service& instance_list() { return list_; }
  Service& rating() { return rating_; }
  std::size_t instance_count() const { return instances_.size(); }
  std::size_t engine_count() const { return engines_.size(); }
  std::size_t service_count() const { return services_.size(); }

  // Starts or restarts the process of the instance.
  void StartInstance(std::size_t index);
  // Waits until the instance answers 200 on /readyz.
  bool WaitReady(std::size_t index, std::chrono::milliseconds timeout);
  // Waits until the instance reports at least `count` endpoints in `state`.
  bool WaitEndpoints(std::size_t index,
                     std::size_t count,
                     const std::string& state,
                     std::chrono::milliseconds timeout);

  // Sets faults of an emulated service or a proxy through its control address.
  void Control(const std::string& control, const nlohmann::json& faults);
  nlohmann::json History(const Service& service);
  // Rows of the table service whose key starts with `prefix`.
  nlohmann::json Rows(const std::string& prefix);

  // Builds a chat call of the client account "museum".
  HttpCall Chat(std::size_t instance,
                const std::string& prompt,
                int max_tokens,
                bool stream = true) const;
  // Builds a call of the plain service "ledger".
  HttpCall Ledger(std::size_t instance,
                  const std::string& method,
                  const std::string& path,
                  const std::string& idempotency_key,
                  const std::string& body) const;
  // Reads a configuration section, edits it with `change` and applies it.
  HttpResult ChangeSection(std::size_t instance,
                           const std::string& section,
                           const std::function<void(nlohmann::json*)>& change);
  nlohmann::json SectionOf(std::size_t instance, const std::string& section);

  // Edits the instance list that the instances poll.
  void ChangeInstanceList(const std::function<void(nlohmann::json*)>& change);

  const std::string& folder() const { return folder_; }

 private:
  void StartService(Service* service,
                    const std::string& name,
                    const std::vector<std::string>& command);
  void StartProxy(Service* service,
                  const std::string& name,
                  const std::string& target);
  void WriteInstanceList();
  void WriteSettings(Instance* instance, int seat);
  void ApplyConfiguration();
  nlohmann::json ModelsSection() const;
  nlohmann::json DataCentresSection() const;

  const DeploymentSpec spec_;
  std::string folder_;
  Service table_;
  Service objects_;
  Service list_;
  Service rating_;
  std::vector<Service> engines_;
  std::vector<Service> services_;
  std::vector<Instance> instances_;
  nlohmann::json list_entries_ = nlohmann::json::array();
};

// The API key of the client account "museum".
inline constexpr char kMuseumKey[] = "museum-key";

}  // namespace filbertshift

#endif  // TESTS_PROCESS_DEPLOYMENT_H_
