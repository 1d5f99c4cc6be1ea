// Exchange of load reports at a reader: it collects the reports of instances
// and responds with sums.

#include <algorithm>
#include <utility>

#include "src/gateway/endpoint_load_exchange.h"

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// The process steps every 100 ms; after a longer gap the reports that have
// arrived since are of unknown age.
constexpr milliseconds kMaxStepGap{600};
// Time in which all instances have reported to a reader that has just started,
// also those that found it not listening yet.
constexpr milliseconds kWarmUp{2000};

}  // namespace

void EndpointLoadExchange::CheckSuspension(bool is_reader, TimePoint now) {
  bool suspended = now - last_step_ > kMaxStepGap;
  last_step_ = now;
  if (!is_reader) {
    collecting_since_.reset();
  } else if (suspended || !collecting_since_.has_value()) {
    collecting_since_ = now;
  }
}

// A sum that lacks most instances would draw all requests to endpoints that
// only seem idle, so a reader that has not collected for long enough says so.
bool EndpointLoadExchange::CanServe(TimePoint now) const {
  return IsCollecting() && now - *collecting_since_ >= kWarmUp &&
         now - last_step_ <= kMaxStepGap;
}

bool EndpointLoadExchange::IsCollecting() const {
  return interval_ <= kMaxLoadInterval && collecting_since_.has_value();
}

void EndpointLoadExchange::StepAsReader(const LoadReaders& readers,
                                        TimePoint now) {
  std::optional<LoadReport> sum;
  for (const std::string& address : readers.all) {
    Peer& peer = peers_[address];
    if (peer.busy || now < peer.next_at || now < peer.retry_at) {
      continue;
    }
    if (!sum.has_value()) {
      sum = collector_.SumOfInstances();
      sum->Add(own_load_->OwnLoad());
    }
    peer.next_at = now + interval_;
    Post(address, LoadScope::kSum, *sum);
  }
  // Without any report this instance cannot tell that it is alone from that it
  // is cut off.
  if (now >= next_table_ && CanServe(now) && !collector_.empty()) {
    next_table_ = now + interval_;
    SetTable(collector_.SumWithout(InstanceId()), collector_.OldestAge(now),
             milliseconds(0));
  }
}

EndpointLoadExchange::Reply EndpointLoadExchange::Receive(
    const std::string& body) {
  TimePoint now = transport_->Now();
  metrics_->CountEndpointLoadBytes("reader", "received", body.size());
  LoadMessage request;
  try {
    request = ParseLoadMessage(body);
    if (request.instance == settings_.instance) {
      throw FindingsError({{"endpoint load", "", 0, 0, "own instance name"}});
    }
  } catch (const FindingsError& error) {
    Reject("-", error.what());
    return {kLoadMalformed, std::string()};
  }
  InstanceId sender = request.instance;
  std::uint64_t held = request.held;
  LoadMessage response = MessageOf(LoadScope::kSum);
  bool is_sum = request.scope == LoadScope::kSum;
  if (!collector_.Add(std::move(request), now)) {
    return {kLoadBaseUnknown, std::string()};
  }
  if (!is_sum) {
    LoadReport report = collector_.SumWithout(sender);
    report.Add(own_load_->OwnLoad());
    if (!CanServe(now)) {
      return {IsCollecting() ? kLoadAccepted : kLoadNotReady, std::string()};
    }
    if (report.endpoints.size() > kMaxLoadEntries ||
        report.services.size() > kMaxLoadEntries) {
      return {kLoadNotReady, std::string()};
    }
    Client& client = clients_[sender];
    client.latest_at = now;
    std::uint64_t base = held == client.sequence ? held : 0;
    response.sequence = ++client.sequence;
    FillReport(std::move(report), base, tolerance_, &response, &client.held);
  }
  response.age = collector_.OldestAge(now);
  Reply reply;
  reply.body = SerializeLoadMessage(response);
  metrics_->CountEndpointLoadBytes("reader", "sent",
                                   kLoadResponseHeadBytes + reply.body.size());
  return reply;
}

}  // namespace filbertshift
