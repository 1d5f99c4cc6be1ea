#include "src/gateway/endpoint_probe.h"

#include <utility>

namespace filbertshift {

namespace {

std::uint64_t Number(ConnectionId id) {
  return static_cast<std::uint64_t>(id);
}

}  // namespace

EndpointProbe::EndpointProbe(Transport* transport) : transport_(transport) {}

EndpointProbe::~EndpointProbe() {
  for (const auto& entry : probes_) {
    transport_->Close(ConnectionId{entry.first});
  }
}

void EndpointProbe::Probe(const std::string& address,
                          std::chrono::milliseconds timeout,
                          std::function<void(Result)> done) {
  ConnectionId connection = transport_->Connect(address, timeout, this);
  probes_.emplace(Number(connection), std::move(done));
}

void EndpointProbe::OnConnected(ConnectionId connection) {
  transport_->Close(connection);
  Finish(connection, Result::kAccepted);
}

void EndpointProbe::OnData(ConnectionId /*connection*/,
                           std::string_view /*data*/) {}

void EndpointProbe::OnEnd(ConnectionId connection, ConnectionEnd end) {
  // Any end but these two follows a connection that was accepted.
  Result result = Result::kAccepted;
  if (end == ConnectionEnd::kRefused) {
    result = Result::kRefused;
  } else if (end == ConnectionEnd::kConnectFailed) {
    result = Result::kUnanswered;
  }
  Finish(connection, result);
}

void EndpointProbe::Finish(ConnectionId connection, Result result) {
  auto found = probes_.find(Number(connection));
  if (found == probes_.end()) {
    return;
  }
  std::function<void(Result)> done = std::move(found->second);
  probes_.erase(found);
  done(result);
}

}  // namespace filbertshift
