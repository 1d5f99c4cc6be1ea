#include "src/endpoint/endpoint.h"

#include <utility>

#include "src/endpoint/endpoint_loop.h"

namespace filbertshift {

EndpointClient::EndpointClient(const EndpointClientOptions& options,
                               CoreRing& core_ring,
                               const Clock& clock)
    : core_ring_(core_ring),
      loop_(std::make_unique<EndpointLoop>(options, core_ring, clock)),
      thread_([this] { loop_->Run(); }) {}

EndpointClient::~EndpointClient() {
  while (!loop_->commands().TryPush(StopCommand())) {
    std::this_thread::yield();
  }
  thread_.join();
}

bool EndpointClient::Start(AttemptSpec attempt) {
  if (!loop_->ReserveAttempt()) {
    return false;
  }
  if (!loop_->commands().TryPush(std::move(attempt))) {
    loop_->ReleaseAttempt();
    return false;
  }
  return true;
}

void EndpointClient::Cancel(const AttemptId& attempt) {
  // The ring has room for one cancellation of each accepted attempt.
  loop_->commands().TryPush(CancelCommand{attempt});
}

void EndpointClient::Probe(const EndpointId& endpoint,
                           const std::string& address,
                           std::chrono::milliseconds timeout) {
  if (loop_->commands().TryPush(ProbeCommand{endpoint, address, timeout})) {
    return;
  }
  ProbeResult result;
  result.endpoint = endpoint;
  core_ring_.TryPush(std::move(result));
}

void EndpointClient::Forget(const EndpointId& endpoint) {
  loop_->commands().TryPush(ForgetCommand{endpoint});
}

}  // namespace filbertshift
