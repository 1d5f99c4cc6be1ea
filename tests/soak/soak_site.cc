#include "tests/soak/soak_site.h"

#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 3;
constexpr std::int64_t kMemoryMb = 128;
constexpr int kCallers = 10;
constexpr milliseconds kSilenceTimeout{1500};
constexpr milliseconds kCheckInterval{100};
// Time after the end of a fault until an instance counts as reconnected.
constexpr milliseconds kReconnectTime{3500};
// Upper bounds on the time until a new configuration is in force, and until a
// removed endpoint receives no more requests.
constexpr milliseconds kApplyTime{2000};
constexpr milliseconds kRemovalTime{2000};
// Upper bound on the time an instance takes to exit after SIGTERM.
constexpr milliseconds kShutdownTime{8000};
constexpr milliseconds kReadyTime{5000};
// Time within which all instances serve again after a simultaneous restart.
constexpr milliseconds kRecoveryTime{12000};

struct SoakRoute {
  const char* name;
  const char* kind;
  int max_attempts;
  bool resumable;
};
// More attempts than one let a refused request return to an endpoint that
// refused it before.
constexpr SoakRoute kRoutes[] = {{"once", "non_idempotent", 3, false},
                                 {"again", "idempotent", 4, false},
                                 {"stream", "streaming", 4, true},
                                 {"tale", "streaming", 3, false}};

// The port of a stopped instance looks free to soaks that run concurrently, so
// each soak uses its own loopback address.
std::string LoopbackAddress() {
  int pid = getpid();
  return fmt::format("127.{}.{}.{}:{}", 1 + (pid >> 14) % 254,
                     (pid >> 7) & 0x7f, 1 + (pid & 0x7f), FreePort());
}

}  // namespace

SoakSite::SoakSite(const SoakOptions& options)
    : options_(options),
      variant_(options.seed),
      random_(options.seed),
      notice_random_(options.seed + 1000000),
      unruly_random_(options.seed + 2000000),
      drill_random_(options.seed + 4000000),
      loop_(kSilenceTimeout),
      store_(&loop_),
      drill_(&loop_,
             &store_,
             options.seed + 5000000,
             [this](const std::string& text) { Log(text); }),
      store_address_(LoopbackAddress()),
      contention_(&loop_, &record_, &store_, options.seed, LoopbackAddress),
      started_at_(loop_.Now()) {
  loop_.Listen(store_address_, store_.listener());
  PutConfiguration(true);
  for (int i = 0; i < options.endpoints; ++i) {
    AddEndpoint();
  }
  std::vector<std::string> addresses;
  for (int i = 0; i < kInstances; ++i) {
    AddInstance();
    addresses.push_back(instances_.back()->caller_address);
  }
  for (int i = 0; i < kCallers; ++i) {
    callers_.push_back(
        std::make_unique<SoakCaller>(&loop_, fmt::format("c{}", i), "key-1",
                                     addresses, random_(), &record_));
  }
  second_caller_ = std::make_unique<SoakCaller>(&loop_, "second", "key-2",
                                                addresses, random_(), &record_);
  second_caller_->ExcludeFromServedRatio();
}

void SoakSite::PutConfiguration(bool with_second_key) {
  std::string routes;
  for (const SoakRoute& route : kRoutes) {
    routes +=
        fmt::format(R"({}{{"name":"{}","host":"soak.example","prefix":"/{}/",)"
                    R"("route_kind":"{}","timeout_ms":4000,"objective_ms":500,)"
                    R"("gap_aim_ms":500,"service":"s","max_attempts":{},)"
                    R"("resumable":{}}})",
                    routes.empty() ? "" : ",", route.name, route.name,
                    route.kind, route.max_attempts, route.resumable);
  }
  drill_.Put(
      "op", "config",
      fmt::format(R"({{"version":{},"routes":[{}{}],)"
                  R"("services":[{{"name":"s"}}{}],)"
                  R"("tenants":[{{"name":"{}","api_keys":["key-1"{}]}}]}})",
                  ++configuration_version_, routes, SoakContention::Routes(),
                  SoakContention::Services(), kSoakAccount,
                  with_second_key ? ",\"key-2\"" : ""));
}

void SoakSite::AddEndpoint() {
  Endpoint endpoint;
  std::string upstream = LoopbackAddress();
  endpoint.address = LoopbackAddress();
  endpoint.data_centre = variant_.DataCentreOf(endpoints_.size());
  endpoint.worker = std::make_unique<SoakWorker>(
      &loop_, fmt::format("e{}", endpoints_.size()), random_(), &record_);
  endpoint.proxy = std::make_unique<FaultProxy>(&loop_, upstream);
  loop_.Listen(upstream, endpoint.worker->listener());
  loop_.Listen(endpoint.address, endpoint.proxy.get());
  PutEndpoint(endpoint);
  endpoints_.push_back(std::move(endpoint));
}

void SoakSite::PutEndpoint(const Endpoint& endpoint, std::string_view state) {
  ++row_count_;
  drill_.Put(
      "servers", endpoint.worker->id(),
      fmt::format(R"({{"service":"s","address":"{}","zone":"{}",)"
                  R"("version":"v1","slots":{},"state":"{}",)"
                  R"("cold_remaining_ms":0,"sequence":{},"born":{}}})",
                  endpoint.address, endpoint.data_centre, 32 + row_count_ % 2,
                  state, row_count_, endpoint.worker->start()));
}

void SoakSite::AddInstance() {
  auto instance = std::make_unique<Instance>();
  instance->name = fmt::format("i{}", instances_.size());
  instance->settings_file =
      fmt::format("{}/{}.json", options_.folder, instance->name);
  instance->caller_address = LoopbackAddress();
  std::string proxy_address = LoopbackAddress();
  instance->store_proxy = std::make_unique<FaultProxy>(&loop_, store_address_);
  loop_.Listen(proxy_address, instance->store_proxy.get());
  std::ofstream(instance->settings_file) << fmt::format(
      R"({{"instance":"{}","data_centre":"{}","caller_listen":"{}",)"
      R"("readiness_listen":"{}","peer_listen":"{}","store_address":"{}",)"
      R"("configuration_apply_ms":{},"shutdown_s":{},"repeat_ratio":0.9,)"
      R"("repeat_allowance":60,"memory_mb":{}{}}})",
      instance->name, variant_.DataCentreOf(instances_.size()),
      instance->caller_address, LoopbackAddress(), LoopbackAddress(),
      proxy_address, kApplyTime.count(),
      duration_cast<seconds>(kShutdownTime).count(), kMemoryMb,
      variant_.Settings());
  StartProcess(instance.get());
  instances_.push_back(std::move(instance));
}

void SoakSite::StartProcess(Instance* instance) {
  ExcuseNotices(instance->caller_address, milliseconds(0));
  instance->process = std::make_unique<ChildProcess>(
      fmt::format("{}-{}", instance->name, ++instance->starts), options_.folder,
      std::vector<std::string>{options_.program, "--settings",
                               instance->settings_file});
  instance->started_at = loop_.Now();
  ExcuseCopiedState();
}

void SoakSite::Log(const std::string& text) {
  std::printf("%8.3f %s\n",
              std::chrono::duration<double>(loop_.Now() - started_at_).count(),
              text.c_str());
  std::fflush(stdout);
}

void SoakSite::RunFor(milliseconds time) {
  loop_.After(time, [this] { loop_.Stop(); });
  loop_.Run();
}

milliseconds SoakSite::RandomDuration(int min_ms, int max_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(min_ms, max_ms)(random_));
}

void SoakSite::ExtendDisruption(milliseconds time) {
  disrupted_until_ =
      std::max(disrupted_until_, loop_.Now() + time + kReconnectTime);
  UpdateFaultFree();
}

void SoakSite::UpdateFaultFree() {
  record_.SetFaultFree(loop_.Now() >= disrupted_until_, loop_.Now());
}

void SoakSite::BeginProcessFault(Instance* instance) {
  milliseconds time = RandomDuration(300, 3000);
  ExcuseNotices(instance->caller_address, time);
  // Another fault may restart the instance before this one ends.
  int start_number = instance->starts;
  ExtendDisruption(time);
  switch (random_() % 3) {
    case 0:
      Log(fmt::format("{} killed, restart in {} ms", instance->name,
                      time.count()));
      instance->process->Kill();
      loop_.After(time, [this, instance, start_number] {
        if (instance->starts == start_number) {
          StartProcess(instance);
        }
      });
      break;
    case 1:
      Log(fmt::format("{} stopped by SIGSTOP for {} ms", instance->name,
                      time.count()));
      instance->process->Freeze();
      loop_.After(time, [instance] { instance->process->Resume(); });
      break;
    default:
      Log(fmt::format("{} terminated by SIGTERM", instance->name));
      ExtendDisruption(kShutdownTime);
      instance->process->Resume();
      instance->process->Terminate();
      loop_.After(kShutdownTime, [this, instance, start_number] {
        if (instance->starts == start_number) {
          CheckExit(*instance);
          StartProcess(instance);
        }
      });
  }
}

void SoakSite::CheckExit(const Instance& instance) {
  // The soak may have killed the process in the meantime.
  constexpr int kKilled = 128 + SIGKILL;
  int status = instance.process->WaitExit(milliseconds(0)).value_or(-1);
  if (status != 0 && status != kKilled) {
    record_.ReportViolation("an instance ends in time after SIGTERM",
                            fmt::format("{} status {}", instance.name, status));
  }
}

void SoakSite::BeginStoreFault() {
  milliseconds time = RandomDuration(500, 4000);
  ExtendDisruption(time);
  switch (random_() % 4) {
    case 0:
      Log(fmt::format("store rejects requests for {} ms", time.count()));
      store_.SetBusy(true);
      loop_.After(time, [this] { store_.SetBusy(false); });
      break;
    case 1:
      Log("store discards its change history");
      store_.ForgetHistory();
      break;
    default: {
      auto fault = static_cast<ProxyFault>(1 + random_() % 4);
      bool all = random_() % 2 == 0;
      std::size_t one = random_() % instances_.size();
      Log(fmt::format("store connections of {}: fault {} for {} ms",
                      all ? "all" : instances_[one]->name,
                      static_cast<int>(fault), time.count()));
      for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (all || i == one) {
          FaultProxy* proxy = instances_[i]->store_proxy.get();
          proxy->SetFault(fault);
          loop_.After(time, [proxy] { proxy->SetFault(ProxyFault::kNone); });
        }
      }
    }
  }
}

void SoakSite::BeginFault() {
  switch (random_() % 3) {
    case 0: {
      Instance* instance = instances_[random_() % instances_.size()].get();
      if (!instance->process->WaitExit(milliseconds(0)).has_value()) {
        BeginProcessFault(instance);
      }
      break;
    }
    case 1:
      BeginStoreFault();
      break;
    default: {
      Endpoint& endpoint = endpoints_[random_() % endpoints_.size()];
      milliseconds time = RandomDuration(300, 3000);
      auto fault = static_cast<ProxyFault>(1 + random_() % 4);
      Log(fmt::format("endpoint {}: fault {} for {} ms", endpoint.worker->id(),
                      static_cast<int>(fault), time.count()));
      ExtendDisruption(time);
      ExcuseNotices(endpoint.worker->id(), time);
      FaultProxy* proxy = endpoint.proxy.get();
      proxy->SetFault(fault);
      loop_.After(time, [proxy] { proxy->SetFault(ProxyFault::kNone); });
    }
  }
}

void SoakSite::BeginUnruly() {
  milliseconds time(3000 + unruly_random_() % 4000);
  std::size_t calm =
      unruly_random_() % 2 == 0 ? unruly_random_() % endpoints_.size() : 0;
  Log(fmt::format("all endpoints but {} unruly for {} ms", calm, time.count()));
  ExtendDisruption(time);
  for (std::size_t i = calm; i < endpoints_.size(); ++i) {
    SoakWorker* worker = endpoints_[i].worker.get();
    worker->SetUnruly(true);
    loop_.After(time, [worker] { worker->SetUnruly(false); });
  }
}

void SoakSite::SilenceEndpoint() {
  SoakWorker* worker =
      endpoints_[unruly_random_() % endpoints_.size()].worker.get();
  milliseconds time(500 + unruly_random_() % 700);
  Log(fmt::format("endpoint {} silent for {} ms", worker->id(), time.count()));
  worker->FallSilent(time);
  RunFor(time);
}

void SoakSite::RevokeKey() {
  Log("second API key revoked");
  second_caller_->SetKeyInForce(false);
  PutConfiguration(false);
  RunFor(kApplyTime);
  second_caller_->SetKeyRevoked(true);
  RunFor(milliseconds(1000));
  RestoreKey();
}

void SoakSite::RestoreKey() {
  second_caller_->SetKeyRevoked(false);
  PutConfiguration(true);
  RunFor(kApplyTime);
  second_caller_->SetKeyInForce(true);
}

void SoakSite::RemoveEndpoint() {
  Endpoint& endpoint = endpoints_[random_() % endpoints_.size()];
  Log(fmt::format("endpoint {} removed from the store", endpoint.worker->id()));
  drill_.Remove("servers", endpoint.worker->id());
  RunFor(kRemovalTime);
  endpoint.worker->SetRemoved(true);
  RunFor(milliseconds(1000));
  endpoint.worker->SetRemoved(false);
  PutEndpoint(endpoint);
  record_put_back_at_ = loop_.Now();
}

void SoakSite::ExcuseNotices(const std::string& instance_or_endpoint,
                             milliseconds time) {
  record_.ExcuseNotices(instance_or_endpoint,
                        loop_.Now() + time + kReconnectTime);
}

void SoakSite::LeaveEndpoint() {
  Endpoint& endpoint = endpoints_[notice_random_() % endpoints_.size()];
  bool has_row = notice_random_() % 2 == 0;
  Log(fmt::format("endpoint {} leaves, {} draining row", endpoint.worker->id(),
                  has_row ? "with a" : "without a"));
  endpoint.worker->Leave();
  RunFor(milliseconds(notice_random_() % 1000));
  PutEndpoint(endpoint, has_row ? "draining" : "ready");
  RunFor(kSoakDrainTime + milliseconds(notice_random_() % 1500));
  endpoint.worker->StartAgain();
  PutEndpoint(endpoint);
  int arrivals = endpoint.worker->arrivals();
  bool calm = loop_.Now() >= disrupted_until_ && drill_.is_settled();
  RunFor(kApplyTime + milliseconds(1000));
  if (calm && endpoint.worker->arrivals() == arrivals) {
    record_.ReportViolation("an endpoint that started again gets requests",
                            endpoint.worker->id());
  }
}

void SoakSite::PauseEndpoints() {
  bool all = notice_random_() % 4 == 0;
  milliseconds pause(600 + notice_random_() % 2000);
  milliseconds time(200 + notice_random_() % 1500);
  std::size_t one = notice_random_() % endpoints_.size();
  Log(fmt::format("{} refuses with Retry-After {} ms for {} ms",
                  all ? "each endpoint" : endpoints_[one].worker->id(),
                  pause.count(), time.count()));
  // With two endpoints, a pause leaves none for an instance that has not yet
  // read the record of the other one again.
  bool other_unknown =
      endpoints_.size() == 2 && loop_.Now() - record_put_back_at_ < kApplyTime;
  if (all || other_unknown) {
    ExtendDisruption(time + pause);
  }
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    if (all || i == one) {
      endpoints_[i].worker->SetPause(pause);
    }
  }
  RunFor(time);
  for (Endpoint& endpoint : endpoints_) {
    endpoint.worker->SetPause(std::nullopt);
  }
  RunFor(pause);
}

void SoakSite::PlayNotice() {
  if (notice_random_() % 2 == 0) {
    LeaveEndpoint();
  } else {
    PauseEndpoints();
  }
}

// A drill is no disruption: what holds for requests without it holds during it.
// Excused is only what an instance that starts meanwhile has from the copy, and
// rules with a time bound are checked from kSoakDrillSettleTime after it, as
// the platform says that the store loses what it acknowledged in a drill.
void SoakSite::BeginDrill(std::optional<milliseconds> age) {
  constexpr int kMinAgeMs = 1000;
  constexpr int kMaxAgeMs = 10000;
  bool cut = drill_random_() % 2 == 0;
  bool again = drill_random_() % 4 == 0;
  std::vector<FaultProxy*> proxies;
  for (const std::unique_ptr<Instance>& instance : instances_) {
    if (cut) {
      proxies.push_back(instance->store_proxy.get());
    }
  }
  milliseconds random_age(
      std::uniform_int_distribution<int>(kMinAgeMs, kMaxAgeMs)(drill_random_));
  drill_.Begin(age.value_or(random_age), std::move(proxies), again);
  ExcuseCopiedState();
}

void SoakSite::ExcuseCopiedState() {
  if (drill_.is_settled()) {
    return;
  }
  for (const std::unique_ptr<Instance>& instance : instances_) {
    // One that started just before may not have read the store yet.
    if (instance->started_at + kReconnectTime > drill_.began_at()) {
      record_.ExcuseCopiedState(instance->caller_address,
                                loop_.Now() + kCheckInterval);
    }
  }
}

void SoakSite::WaitUntilCalm() {
  while (loop_.Now() < disrupted_until_ || !drill_.is_settled()) {
    RunFor(kCheckInterval);
  }
}

void SoakSite::BeginFaultsBesideDrill() {
  std::swap(random_, drill_random_);
  int faults = static_cast<int>(random_() % 3);
  for (int i = 0; i < faults; ++i) {
    BeginFault();
    RunFor(RandomDuration(0, 1500));
  }
  std::swap(random_, drill_random_);
}

void SoakSite::PlayDrillAfterRevocation() {
  // Revoked so shortly before that instances may not have read it, the key is
  // denied from the time at which the bounds hold again.
  bool late = drill_random_() % 3 == 0;
  Log(fmt::format("second API key revoked{}", late ? " just before" : ""));
  second_caller_->SetKeyInForce(false);
  PutConfiguration(false);
  RunFor(late ? milliseconds(drill_random_() % 200) : kApplyTime);
  second_caller_->SetKeyRevoked(!late);
  BeginDrill();
  BeginFaultsBesideDrill();
  WaitUntilCalm();
  if (late) {
    second_caller_->SetKeyRevoked(true);
    RunFor(milliseconds(1000));
  }
  PlayChangesAfterDrill(true);
}

void SoakSite::PlayDrillAfterLeaving() {
  Endpoint& endpoint = endpoints_[drill_random_() % endpoints_.size()];
  bool drains = drill_random_() % 2 == 0;
  bool late = drill_random_() % 3 == 0;
  Log(fmt::format("endpoint {} {}{}", endpoint.worker->id(),
                  drains ? "drains" : "removed from the store",
                  late ? " just before" : ""));
  if (drains) {
    PutEndpoint(endpoint, "draining");
  } else {
    drill_.Remove("servers", endpoint.worker->id());
  }
  RunFor(late ? milliseconds(drill_random_() % 200) : kRemovalTime);
  endpoint.worker->SetRemoved(!late);
  BeginDrill();
  BeginFaultsBesideDrill();
  WaitUntilCalm();
  if (late) {
    endpoint.worker->SetRemoved(true);
    RunFor(milliseconds(1000));
  }
  endpoint.worker->SetRemoved(false);
  if (drains) {
    endpoint.worker->StartAgain();
  }
  PutEndpoint(endpoint);
  if (endpoints_.size() == 2) {
    // The next change takes the other one away.
    RunFor(kApplyTime);
  }
  PlayChangesAfterDrill(false);
}

void SoakSite::PlayDrillAfterRegistration() {
  constexpr milliseconds kAbsence{2000};
  // The instances have noticed the return after the first time, and the
  // endpoint gets a request within the second one.
  constexpr milliseconds kNoticed{1000};
  constexpr milliseconds kMinLost{500};
  Endpoint& endpoint = endpoints_[drill_random_() % endpoints_.size()];
  const std::string& id = endpoint.worker->id();
  Log(fmt::format("endpoint {} removed, and registers before the drill", id));
  drill_.Remove("servers", id);
  RunFor(kAbsence);
  PutEndpoint(endpoint);
  record_put_back_at_ = loop_.Now();
  RunFor(kApplyTime);
  int arrivals = endpoint.worker->arrivals();
  RunFor(milliseconds(1000));
  bool was_used = endpoint.worker->arrivals() > arrivals;
  // From a copy without it.
  BeginDrill(duration_cast<milliseconds>(loop_.Now() - record_put_back_at_) +
             milliseconds(1000));
  while (!drill_.is_over()) {
    if (drill_.IsLost("servers", id)) {
      RunFor(kNoticed);
    }
    arrivals = endpoint.worker->arrivals();
    TimePoint lost_at = loop_.Now();
    while (drill_.IsLost("servers", id)) {
      RunFor(kCheckInterval);
    }
    milliseconds lost = duration_cast<milliseconds>(loop_.Now() - lost_at);
    if (lost >= kMinLost) {
      bool used = endpoint.worker->arrivals() > arrivals;
      Log(fmt::format("endpoint {} lost for {} ms, {} requests", id,
                      lost.count(), endpoint.worker->arrivals() - arrivals));
      if (was_used && !used) {
        record_.ReportViolation(
            "an endpoint that the store has lost goes on being used", id);
      }
    }
    RunFor(kCheckInterval);
  }
  WaitUntilCalm();
  PlayChangesAfterDrill(false);
}

void SoakSite::PlayChangesAfterDrill(bool key_is_revoked) {
  Endpoint& endpoint = endpoints_[drill_random_() % endpoints_.size()];
  Log(fmt::format("endpoint {} removed from the store, second API key {}",
                  endpoint.worker->id(),
                  key_is_revoked ? "restored" : "revoked"));
  second_caller_->SetKeyRevoked(false);
  second_caller_->SetKeyInForce(false);
  PutConfiguration(key_is_revoked);
  drill_.Remove("servers", endpoint.worker->id());
  RunFor(kApplyTime);
  second_caller_->SetKeyRevoked(!key_is_revoked);
  second_caller_->SetKeyInForce(key_is_revoked);
  endpoint.worker->SetRemoved(true);
  RunFor(milliseconds(1000));
  endpoint.worker->SetRemoved(false);
  PutEndpoint(endpoint);
  record_put_back_at_ = loop_.Now();
  if (!key_is_revoked) {
    RestoreKey();
  }
}

void SoakSite::PlayDrill() {
  switch (drill_random_() % 3) {
    case 0:
      PlayDrillAfterRevocation();
      break;
    case 1:
      PlayDrillAfterLeaving();
      break;
    default:
      PlayDrillAfterRegistration();
  }
}

void SoakSite::WaitUntilReady() {
  RunFor(kReadyTime);
}

void SoakSite::Run() {
  std::function<void()> check = [this, &check] {
    UpdateFaultFree();
    CheckMemory();
    ExcuseCopiedState();
    loop_.After(kCheckInterval, check);
  };
  drill_.SaveCopies();
  ExtendDisruption(kReadyTime);
  WaitUntilReady();
  check();
  for (const std::unique_ptr<SoakCaller>& caller : callers_) {
    caller->Start();
  }
  second_caller_->SetKeyInForce(true);
  second_caller_->Start();
  std::vector<std::string> addresses;
  for (const std::unique_ptr<Instance>& instance : instances_) {
    addresses.push_back(instance->caller_address);
  }
  contention_.Start(addresses, options_.seed);
  TimePoint end = loop_.Now() + options_.fault_duration;
  while (loop_.Now() < end) {
    BeginUnruly();
    if (drill_random_() % 2 == 0) {
      BeginDrill();
    }
    int faults = 1 + static_cast<int>(random_() % 3);
    for (int i = 0; i < faults; ++i) {
      BeginFault();
      RunFor(RandomDuration(0, 1500));
    }
    PlayNotice();
    SilenceEndpoint();
    WaitUntilCalm();
    if (random_() % 2 == 0) {
      RevokeKey();
    } else {
      RemoveEndpoint();
    }
    PlayNotice();
    WaitUntilCalm();
    TimePoint drill_began = loop_.Now();
    PlayDrill();
    end += loop_.Now() - drill_began;
  }
  Log("all instances killed simultaneously");
  ExtendDisruption(kRecoveryTime - kReconnectTime);
  for (const std::unique_ptr<Instance>& instance : instances_) {
    instance->process->Kill();
    ExcuseNotices(instance->caller_address, kRecoveryTime);
  }
  RunFor(RandomDuration(300, 1500));
  for (const std::unique_ptr<Instance>& instance : instances_) {
    StartProcess(instance.get());
  }
  RunFor(kRecoveryTime + milliseconds(3000));
  StopAll();
  record_.CheckRefusedRequests();
  CheckLogs();
}

void SoakSite::CheckMemory() {
  for (const std::unique_ptr<Instance>& instance : instances_) {
    std::int64_t peak_kb = instance->process->PeakMemoryKb();
    if (peak_kb > kMemoryMb * 1024 && !instance->exceeded_memory) {
      instance->exceeded_memory = true;
      record_.ReportViolation("an instance stays within its memory",
                              fmt::format("{} {} kB", instance->name, peak_kb));
    }
  }
}

void SoakSite::StopAll() {
  Log("all instances terminated by SIGTERM");
  record_.SetFaultFree(false, loop_.Now());
  disrupted_until_ = TimePoint::max();
  for (const std::unique_ptr<Instance>& instance : instances_) {
    instance->process->Terminate();
  }
  RunFor(kShutdownTime);
  for (const std::unique_ptr<Instance>& instance : instances_) {
    CheckExit(*instance);
  }
  for (const std::unique_ptr<SoakCaller>& caller : callers_) {
    caller->Stop();
  }
  second_caller_->Stop();
  contention_.Stop();
  Log(contention_.Summary());
  Log(fmt::format("{} drills, {} rows written again", drill_.returns(),
                  drill_.rows_written_again()));
  RunFor(milliseconds(500));
}

void SoakSite::CheckLogs() {
  for (const std::unique_ptr<Instance>& instance : instances_) {
    for (int start = 1; start <= instance->starts; ++start) {
      std::ifstream log(
          fmt::format("{}/{}-{}.out", options_.folder, instance->name, start));
      std::string line;
      while (std::getline(log, line)) {
        if (line.find("invariant_violated") != std::string::npos) {
          record_.ReportViolation("no instance breaks its own invariants",
                                  line);
        }
      }
    }
  }
}

}  // namespace filbertshift
