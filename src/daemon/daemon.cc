#include "src/daemon/daemon.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

namespace filbertshift {

namespace {

constexpr std::size_t kCoreRingCapacity = 65536;
constexpr std::chrono::milliseconds kTickInterval{10};

FrontendOptions MakeFrontendOptions(const ProcessSettings& settings) {
  FrontendOptions options;
  options.listen_address = settings.caller_listen;
  options.max_connections = settings.max_connections;
  options.max_header_bytes = settings.max_header_bytes;
  options.max_body_bytes = settings.max_body_bytes;
  options.idle_timeout = settings.slow_sender_timeout;
  options.max_buffered_bytes = settings.max_buffered_bytes;
  return options;
}

BackingServicesOptions MakePlatformOptions(const ProcessSettings& settings) {
  BackingServicesOptions options;
  options.table_address = settings.table_address;
  options.table_name = settings.table_name;
  options.object_store_address = settings.object_store_address;
  options.object_store_bucket = settings.object_store_bucket;
  options.instance_list_address = settings.instance_list_address;
  options.rating_address = settings.rating_address;
  options.timeout = settings.table_timeout;
  options.instance_list_poll_interval = settings.instance_list_poll_interval;
  return options;
}

PeerMeshOptions MakePeerOptions(const ProcessSettings& settings) {
  PeerMeshOptions options;
  options.listen_address = settings.peer_listen;
  options.instance = settings.instance;
  return options;
}

AdminServerOptions MakeAdminOptions(const ProcessSettings& settings) {
  AdminServerOptions options;
  options.listen = settings.admin_listen;
  options.instance = settings.instance;
  options.data_centre = settings.data_centre;
  return options;
}

CoreOptions MakeCoreOptions(const ProcessSettings& settings,
                            const std::string& incarnation) {
  CoreOptions options;
  options.instance = settings.instance;
  options.data_centre = settings.data_centre;
  options.seat = settings.seat;
  options.incarnation = incarnation;
  options.max_response_bytes = settings.max_response_bytes;
  options.connect_timeout = settings.connect_timeout;
  options.configuration_poll_interval = settings.configuration_poll_interval;
  options.probe_interval = settings.probe_interval;
  options.charge_batch_interval = settings.charge_batch_interval;
  options.share_transition = settings.share_transition;
  return options;
}

}  // namespace

Daemon::Daemon(const ProcessSettings& settings)
    : settings_(settings),
      random_(settings.random_seed),
      peer_random_(random_.Next()),
      incarnation_(
          fmt::format("{}-{:016x}", settings.instance.value(), random_.Next())),
      stderr_log_(clock_,
                  settings.instance,
                  settings.data_centre,
                  settings.log_severity,
                  settings.kept_events),
      metrics_(registry_),
      log_(stderr_log_, metrics_),
      core_metrics_(metrics_),
      ring_(kCoreRingCapacity),
      frontend_(MakeFrontendOptions(settings), ring_, clock_, log_),
      endpoints_(EndpointClientOptions(), ring_, clock_),
      platform_(MakePlatformOptions(settings), ring_, log_),
      peers_(MakePeerOptions(settings), ring_, clock_, peer_random_, log_),
      admin_(MakeAdminOptions(settings), ring_, stderr_log_, registry_, ready_),
      core_(MakeCoreOptions(settings, incarnation_), MakePorts()) {
  admin_.Start();
  log_.Write(
      EventId::kDaemonStarted,
      fmt::format("incarnation={} seat={} callers={} seed={}", incarnation_,
                  settings_.seat, frontend_.BoundAddress(), random_.seed()));
  core_thread_ = std::thread([this] { RunCore(); });
}

Daemon::~Daemon() {
  if (core_thread_.joinable()) {
    RequestShutdown();
    Join();
  }
}

CorePorts Daemon::MakePorts() {
  return CorePorts{frontend_, endpoints_, platform_,    platform_,
                   platform_, peers_,     admin_,       clock_,
                   random_,   log_,       core_metrics_};
}

void Daemon::RequestShutdown() {
  shutdown_requested_ = true;
}

bool Daemon::Join() {
  core_thread_.join();
  if (drained_) {
    frontend_.Join();
  }
  admin_.Stop();
  log_.Write(EventId::kDaemonStopped,
             drained_ ? "all requests finished" : "shutdown timeout expired");
  return drained_;
}

void Daemon::RunCore() {
  std::vector<CoreMessage> batch;
  TimePoint next_tick = clock_.Now();
  TimePoint shutdown_deadline = TimePoint::max();
  bool stopped_accepting = false;
  for (;;) {
    ring_.Wait(kTickInterval);
    batch.clear();
    ring_.PopAll(&batch);
    for (CoreMessage& message : batch) {
      core_.Handle(std::move(message));
    }
    TimePoint now = clock_.Now();
    if (now < next_tick) {
      continue;
    }
    next_tick = now + kTickInterval;
    if (shutdown_requested_ && shutdown_deadline == TimePoint::max()) {
      shutdown_deadline = now + settings_.shutdown_timeout;
      core_.Handle(ShutdownRequested());
    }
    core_.Tick();
    bool ready = core_.ready();
    if (ready && !ready_) {
      log_.Write(EventId::kDaemonReady, "");
    }
    ready_ = ready;
    // Requests that have arrived meanwhile are still answered: the frontend
    // waits for these answers.
    if (core_.IsDrained() && !stopped_accepting) {
      stopped_accepting = true;
      frontend_.StopAccepting();
    }
    drained_ = stopped_accepting && frontend_.HasEnded() && core_.IsDrained();
    if (drained_ || now >= shutdown_deadline) {
      return;
    }
  }
}

}  // namespace filbertshift
