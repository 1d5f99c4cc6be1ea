#include "tests/process/deployment.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <stdexcept>
#include <thread>

#include "src/common/common.h"

namespace filbertshift {

namespace {

using nlohmann::json;

const std::string kEmulator =
    FILBERTSHIFT_BINARY_DIR "/emulator/filbertshift-emulator";
const std::string kDaemon = FILBERTSHIFT_BINARY_DIR "/filbertshiftd";
constexpr std::chrono::milliseconds kStartTimeout{10000};
constexpr std::chrono::milliseconds kPollInterval{20};

std::string Loopback(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string MakeFolder() {
  std::string pattern =
      std::filesystem::temp_directory_path() / "filbertshift-test-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create the temporary test folder");
  }
  return pattern;
}

json AccountsSection() {
  json accounts = json::array();
  for (const char* name : {"museum", "parish"}) {
    accounts.push_back(
        {{"account", name},
         {"api_key_hashes", {Sha256Hex(std::string(name) + "-key")}},
         {"models", {{{"model", "small"}}, {{"model", "large"}}}},
         {"services", {"ledger"}},
         {"default_class", "lookup"},
         {"weight", 1},
         {"max_in_flight", 500}});
  }
  return accounts;
}

}  // namespace

Deployment::Deployment(const DeploymentSpec& spec)
    : spec_(spec), folder_(MakeFolder()) {
  StartService(&table_, "table", {"table"});
  StartService(&objects_, "objects", {"objects"});
  StartService(&list_, "instances", {"instances"});
  if (spec_.rating) {
    StartService(&rating_, "rating", {"rating"});
  }
  for (std::size_t i = 0; i < spec_.engines.size(); ++i) {
    const EngineSpec& engine = spec_.engines[i];
    std::vector<std::string> command = {"engine", "--model", engine.model,
                                        "--version", engine.version};
    command.insert(command.end(), engine.options.begin(), engine.options.end());
    std::string name = "engine-" + std::to_string(i);
    Service& service = engines_.emplace_back();
    StartService(&service, name, command);
    StartProxy(&service, name, service.address);
    list_entries_.push_back({{"targets", {service.proxy_address}},
                             {"labels",
                              {{"id", name},
                               {"data_centre", engine.data_centre},
                               {"role", "model_engine"},
                               {"model", engine.model},
                               {"version", engine.version},
                               {"state", "live"}}}});
  }
  for (std::size_t i = 0; i < spec_.services.size(); ++i) {
    std::string name = "ledger-" + std::to_string(i);
    Service& service = services_.emplace_back();
    StartService(&service, name, {"service", "--name", "ledger"});
    StartProxy(&service, name, service.address);
    list_entries_.push_back({{"targets", {service.proxy_address}},
                             {"labels",
                              {{"id", name},
                               {"data_centre", spec_.services[i]},
                               {"role", "plain_service"},
                               {"service", "ledger"},
                               {"state", "live"}}}});
  }
  for (std::size_t i = 0; i < spec_.instances.size(); ++i) {
    Instance& instance = instances_.emplace_back();
    instance.id = "entry-" + std::to_string(i);
    instance.data_centre = spec_.instances[i];
    instance.caller_address = Loopback(FreePort());
    instance.peer_address = Loopback(FreePort());
    instance.admin_address = Loopback(FreePort());
    StartProxy(&instance.table_proxy, instance.id + "-table", table_.address);
    list_entries_.push_back({{"targets", {instance.peer_address}},
                             {"labels",
                              {{"id", instance.id},
                               {"data_centre", instance.data_centre},
                               {"role", "entry"},
                               {"state", "live"}}}});
    WriteSettings(&instance, static_cast<int>(i));
  }
  WriteInstanceList();
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    StartInstance(i);
  }
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (!WaitReady(i, kStartTimeout)) {
      throw std::runtime_error(instances_[i].id + " is not ready: " +
                               instances_[i].process->ErrorOutput());
    }
  }
  ApplyConfiguration();
}

Deployment::~Deployment() {
  // Keeps the folder with the logs, which are needed to analyse a failure.
}

void Deployment::StartService(Service* service,
                              const std::string& name,
                              const std::vector<std::string>& command) {
  std::vector<std::string> full = {kEmulator};
  full.insert(full.end(), command.begin(), command.end());
  for (const char* option : {"--listen", "--control"}) {
    full.insert(full.end(), {option, "127.0.0.1:0"});
  }
  service->process = std::make_unique<ChildProcess>(name, folder_, full);
  service->address = service->process->WaitAddress("listening", kStartTimeout);
  service->control = service->process->WaitAddress("control", kStartTimeout);
}

void Deployment::StartProxy(Service* service,
                            const std::string& name,
                            const std::string& target) {
  service->proxy = std::make_unique<ChildProcess>(
      name + "-proxy", folder_,
      std::vector<std::string>{kEmulator, "proxy", "--target", target});
  service->proxy_address =
      service->proxy->WaitAddress("listening", kStartTimeout);
  service->proxy_control =
      service->proxy->WaitAddress("control", kStartTimeout);
}

void Deployment::WriteInstanceList() {
  HttpResult result = Call(
      {"PUT", list_.control + "/_control/instances", {}, list_entries_.dump()});
  if (result.status != 200 && result.status != 204) {
    throw std::runtime_error("cannot write the instance list: " + result.body +
                             result.error);
  }
}

void Deployment::WriteSettings(Instance* instance, int seat) {
  json settings = {{"instance", instance->id},
                   {"data_centre", instance->data_centre},
                   {"seat", seat},
                   {"caller_listen", instance->caller_address},
                   {"peer_listen", instance->peer_address},
                   {"admin_listen", instance->admin_address},
                   {"table_address", instance->table_proxy.proxy_address},
                   {"object_store_address", objects_.address},
                   {"instance_list_address", list_.address},
                   {"instance_list_poll_interval", "200ms"},
                   {"configuration_poll_interval", "500ms"},
                   {"probe_interval", "200ms"},
                   {"charge_batch_interval", "200ms"},
                   {"share_transition", "300ms"},
                   {"log_severity", "debug"}};
  if (spec_.rating) {
    settings["rating_address"] = rating_.address;
  }
  settings.update(spec_.extra_settings);
  instance->settings_file = folder_ + "/" + instance->id + ".json";
  std::ofstream(instance->settings_file) << settings.dump(2);
}

void Deployment::StartInstance(std::size_t index) {
  Instance& instance = instances_[index];
  instance.process = std::make_unique<ChildProcess>(
      instance.id, folder_,
      std::vector<std::string>{kDaemon, "--settings", instance.settings_file});
}

bool Deployment::WaitReady(std::size_t index,
                           std::chrono::milliseconds timeout) {
  auto end = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < end) {
    HttpCall call;
    call.url = instances_[index].admin_address + "/readyz";
    call.timeout = std::chrono::milliseconds(500);
    if (Call(call).status == 200) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

bool Deployment::WaitEndpoints(std::size_t index,
                               std::size_t count,
                               const std::string& state,
                               std::chrono::milliseconds timeout) {
  auto end = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < end) {
    HttpCall call;
    call.url = instances_[index].admin_address + "/v1/endpoints";
    json reply = Call(call).Json();
    std::size_t found = 0;
    if (reply.is_object() && reply.contains("endpoints")) {
      for (const json& endpoint : reply["endpoints"]) {
        found += endpoint.value("state", "") == state ? 1 : 0;
      }
    }
    if (found >= count) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

json Deployment::ModelsSection() const {
  json limits = {{"max_concurrency", spec_.max_concurrency},
                 {"cold_start_concurrency", spec_.cold_start_concurrency},
                 {"warm_up", spec_.warm_up}};
  std::map<std::string, std::set<std::string>> versions = {{"small", {"v1"}},
                                                           {"large", {"v1"}}};
  for (const EngineSpec& engine : spec_.engines) {
    versions[engine.model].insert(engine.version);
  }
  json models = json::array();
  for (const auto& [model, names] : versions) {
    json list = json::array();
    for (const std::string& name : names) {
      list.push_back({{"version", name}, {"limits", limits}});
    }
    models.push_back({{"model", model},
                      {"cost_per_1000_tokens", model == "large" ? 8.0 : 1.0},
                      {"versions", list}});
  }
  json routes = json::array(
      {{{"method", "GET"}, {"path_prefix", "/"}, {"repeatable", true}}});
  json classes = json::array();
  for (const auto& [name, priority] :
       std::map<std::string, int>{{"lookup", 0}, {"draft", 8}}) {
    classes.push_back({{"name", name},
                       {"priority", priority},
                       {"deadline", name == "draft" ? "2m" : "30s"},
                       {"queue_limit", 1000},
                       {"cascade", {"small"}}});
  }
  return {{"models", models},
          {"services",
           {{{"service", "ledger"}, {"limits", limits}, {"routes", routes}}}},
          {"classes", classes},
          {"seats_per_endpoint", 4}};
}

json Deployment::DataCentresSection() const {
  std::map<std::string, std::vector<int>> seats;
  for (const EngineSpec& engine : spec_.engines) {
    seats[engine.data_centre];
  }
  for (const std::string& data_centre : spec_.services) {
    seats[data_centre];
  }
  for (std::size_t i = 0; i < spec_.instances.size(); ++i) {
    seats[spec_.instances[i]].push_back(static_cast<int>(i));
  }
  json section = json::array();
  for (const auto& [data_centre, numbers] : seats) {
    section.push_back({{"data_centre", data_centre},
                       {"region", "test"},
                       {"drained", false},
                       {"seats", numbers}});
  }
  return section;
}

void Deployment::ApplyConfiguration() {
  const std::vector<std::pair<std::string, json>> sections = {
      {"models", ModelsSection()},
      {"client_accounts", AccountsSection()},
      {"data_centres", DataCentresSection()}};
  for (const auto& [name, text] : sections) {
    HttpResult result =
        Call({"PUT",
              instances_[0].admin_address + "/v1/configuration/" + name +
                  "?base_revision=0&author=test",
              {},
              text.dump(2)});
    if (result.status != 200) {
      throw std::runtime_error("cannot apply " + name + ": " + result.body +
                               result.error);
    }
  }
  std::size_t endpoints = engines_.size() + services_.size();
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (!WaitEndpoints(i, endpoints, "live", kStartTimeout)) {
      throw std::runtime_error(instances_[i].id +
                               " does not see all endpoints");
    }
  }
}

void Deployment::Control(const std::string& control, const json& faults) {
  HttpResult result = Call({"POST", control + "/_control", {}, faults.dump()});
  if (result.status != 200 && result.status != 204) {
    throw std::runtime_error("fault control failed: " + result.body +
                             result.error);
  }
}

json Deployment::History(const Service& service) {
  HttpCall call;
  call.url = service.control + "/_history";
  return Call(call).Json();
}

json Deployment::Rows(const std::string& prefix) {
  HttpCall call;
  call.url = table_.control + "/_dump?prefix=" + prefix;
  return Call(call).Json();
}

HttpCall Deployment::Chat(std::size_t instance,
                          const std::string& prompt,
                          int max_tokens,
                          bool stream) const {
  json body = {{"model", "small"},
               {"messages", {{{"role", "user"}, {"content", prompt}}}},
               {"max_tokens", max_tokens},
               {"stream", stream}};
  return {"POST",
          instances_[instance].caller_address + "/v1/chat/completions",
          {std::string("Authorization: Bearer ") + kMuseumKey,
           "Content-Type: application/json"},
          body.dump()};
}

HttpCall Deployment::Ledger(std::size_t instance,
                            const std::string& method,
                            const std::string& path,
                            const std::string& idempotency_key,
                            const std::string& body) const {
  HttpCall call{method,
                instances_[instance].caller_address + "/services/ledger" + path,
                {std::string("Authorization: Bearer ") + kMuseumKey,
                 "Content-Type: application/json"},
                body};
  if (!idempotency_key.empty()) {
    call.headers.push_back("Idempotency-Key: " + idempotency_key);
  }
  return call;
}

json Deployment::SectionOf(std::size_t instance, const std::string& section) {
  HttpCall call;
  call.url = instances_[instance].admin_address + "/v1/configuration";
  json reply = Call(call).Json();
  if (!reply.is_object() || !reply.contains("sections") ||
      !reply["sections"].contains(section)) {
    return {{"revision", 0}, {"text", ""}};
  }
  return reply["sections"][section];
}

HttpResult Deployment::ChangeSection(std::size_t instance,
                                     const std::string& section,
                                     const std::function<void(json*)>& change) {
  json present = SectionOf(instance, section);
  std::string text = present.value("text", "");
  json parsed = text.empty() ? json::array() : json::parse(text);
  change(&parsed);
  return Call(
      {"PUT",
       instances_[instance].admin_address + "/v1/configuration/" + section +
           "?base_revision=" + std::to_string(present.value("revision", 0)) +
           "&author=test",
       {},
       parsed.dump(2)});
}

void Deployment::ChangeInstanceList(const std::function<void(json*)>& change) {
  change(&list_entries_);
  WriteInstanceList();
}

}  // namespace filbertshift
