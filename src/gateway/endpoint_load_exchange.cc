#include "src/gateway/endpoint_load_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace filbertshift {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{400};
// A peer that did not answer or does not collect reports is asked again after
// this time, and one of an earlier release after the second one.
constexpr milliseconds kRetryDelay{1000};
// Doublings of that time for a reader that fails again and again.
constexpr int kMaxRetryDoublings = 3;
constexpr milliseconds kUnknownPathRetryDelay{10000};
constexpr milliseconds kMaxIdle{10000};
// Part of the age of the oldest report that is charged to the table. A report
// whose sender is lost grows older until it expires; charged in full, the loss
// of one instance would make the tables of all unknown. Together with
// kMaxLoadInterval, a step and two round trips it is below kMaxLoadAge.
constexpr milliseconds kMaxChargedAge{200};
// Rejections are logged at most once in this time; the metric counts all.
constexpr milliseconds kRejectionLogInterval{1000};
// What a silent instance holds of the responses is forgotten after this time.
constexpr milliseconds kClientRetention{10000};
// A reader may use the bytes of this many instances for the exchange with the
// other readers.
constexpr double kReaderBudgets = 4;
constexpr int kNotFound = 404;

std::uint64_t Number(CallId id) {
  return static_cast<std::uint64_t>(id);
}

}  // namespace

EndpointLoadExchange::EndpointLoadExchange(const GatewaySettings& settings,
                                           std::uint64_t incarnation,
                                           Transport* transport,
                                           HttpClient* client,
                                           EventLog* log,
                                           GatewayMetrics* metrics,
                                           OwnLoadProvider* own_load,
                                           EndpointLoadTable* table)
    : settings_(settings),
      incarnation_(incarnation),
      transport_(transport),
      client_(client),
      log_(log),
      metrics_(metrics),
      own_load_(own_load),
      table_(table),
      tolerance_(ToleranceFor(settings.endpoint_load_bytes_per_second)),
      interval_(settings.endpoint_load_interval) {}

void EndpointLoadExchange::Step(const LoadReaders& readers) {
  TimePoint now = transport_->Now();
  CheckSuspension(readers.is_reader, now);
  collector_.Expire(now);
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    bool gone =
        !entry->second.busy && std::find(readers.all.begin(), readers.all.end(),
                                         entry->first) == readers.all.end();
    entry = gone ? peers_.erase(entry) : std::next(entry);
  }
  for (auto entry = clients_.begin(); entry != clients_.end();) {
    bool silent = now - entry->second.latest_at > kClientRetention;
    entry = silent ? clients_.erase(entry) : std::next(entry);
  }
  UpdateInterval(readers.is_reader ? static_cast<double>(readers.all.size())
                                   : 1);
  if (readers.is_reader) {
    StepAsReader(readers, now);
  } else if (now >= next_report_) {
    std::optional<std::string> reader = SelectReader(readers, now);
    if (reader.has_value() && !peers_[*reader].busy) {
      next_report_ = now + interval_;
      Post(*reader, LoadScope::kInstance, own_load_->OwnLoad());
    }
  }
  ReportState(now);
}

void EndpointLoadExchange::UpdateInterval(double calls) {
  double seconds =
      std::max(calls / kReaderBudgets, 1.0) * call_bytes_.value() /
      static_cast<double>(settings_.endpoint_load_bytes_per_second);
  interval_ = std::max(settings_.endpoint_load_interval,
                       milliseconds(static_cast<std::int64_t>(seconds * 1000)));
}

// Instances start with different readers.
std::optional<std::string> EndpointLoadExchange::SelectReader(
    const LoadReaders& readers,
    TimePoint now) const {
  auto is_open = [&](const std::string& address) {
    auto peer = peers_.find(address);
    return peer == peers_.end() || now >= peer->second.retry_at;
  };
  if (readers.own.has_value() && is_open(*readers.own)) {
    return readers.own;
  }
  std::size_t first = std::hash<std::string>()(settings_.instance.value());
  for (std::size_t i = 0; i < readers.all.size(); ++i) {
    const std::string& address = readers.all[(first + i) % readers.all.size()];
    if (is_open(address)) {
      return address;
    }
  }
  // All readers have just started: the reports are collected all the same.
  if (readers.own.has_value() && peers_.at(*readers.own).takes_reports) {
    return readers.own;
  }
  return std::nullopt;
}

LoadMessage EndpointLoadExchange::MessageOf(LoadScope scope) const {
  LoadMessage message;
  message.instance = settings_.instance;
  message.incarnation = incarnation_;
  message.data_centre = settings_.data_centre;
  message.scope = scope;
  return message;
}

void EndpointLoadExchange::Post(const std::string& address,
                                LoadScope scope,
                                LoadReport report) {
  if (report.endpoints.size() > kMaxLoadEntries ||
      report.services.size() > kMaxLoadEntries) {
    return;
  }
  Peer& peer = peers_[address];
  Call call;
  call.address = address;
  call.scope = scope;
  call.sent_at = transport_->Now();
  call.sequence = ++peer.last_sequence;
  call.sent = peer.sent;
  LoadMessage message = MessageOf(scope);
  if (scope == LoadScope::kSum) {
    message.age = collector_.OldestAge(call.sent_at);
  }
  message.sequence = call.sequence;
  message.held = peer.received_sequence;
  FillReport(std::move(report), peer.sent_sequence, tolerance_, &message,
             &call.sent);
  std::string body = SerializeLoadMessage(message);
  HttpRequestHead head;
  head.method = "POST";
  head.target = std::string(kEndpointLoadPath);
  head.headers.Add("Host", address);
  head.headers.Add("Content-Type", "application/msgpack");
  head.headers.Add("Content-Length", fmt::format("{}", body.size()));
  std::string request = SerializeRequestHead(head) + body;
  call.request_bytes = request.size();
  metrics_->CountEndpointLoadBytes("client", "sent", request.size());
  CallId id = client_->Start(address, std::move(request), kMaxIdle, this);
  call.timeout = transport_->After(kTimeout, [this, id] {
    client_->Cancel(id);
    End(id, kRetryDelay);
  });
  peer.busy = true;
  // Set when the peer has accepted the message.
  peer.sent_sequence = 0;
  calls_.emplace(Number(id), std::move(call));
}

HeadDecision EndpointLoadExchange::OnHead(CallId call,
                                          const HttpResponseHead& head) {
  calls_.at(Number(call)).status = head.status;
  return HeadDecision::kAccept;
}

void EndpointLoadExchange::OnBody(CallId call, std::string_view data) {
  std::string& body = calls_.at(Number(call)).body;
  // One byte beyond the limit is enough for the message to be rejected.
  std::size_t room = kMaxLoadMessageBytes + 1 - body.size();
  body.append(data.substr(0, std::min(room, data.size())));
}

void EndpointLoadExchange::OnComplete(CallId id) {
  const Call& call = calls_.at(Number(id));
  std::size_t received = kLoadResponseHeadBytes + call.body.size();
  metrics_->CountEndpointLoadBytes("client", "received", received);
  Peer& peer = peers_[call.address];
  peer.uncounted_bytes += call.request_bytes + received;
  milliseconds retry_delay = kRetryDelay;
  if (call.status == kNotFound) {
    retry_delay = kUnknownPathRetryDelay;
  } else if (call.status == kLoadBaseUnknown) {
    // The whole report follows with the next step.
    retry_delay = milliseconds(0);
    peer.next_at = TimePoint();
    next_report_ = TimePoint();
  } else {
    // Whole reports at the first contact are rare.
    if (peer.received_sequence != 0 || call.sequence > 1) {
      call_bytes_.Add(static_cast<double>(peer.uncounted_bytes));
    }
    peer.uncounted_bytes = 0;
    bool taken = call.status == kLoadOk || call.status == kLoadAccepted ||
                 call.status == kLoadNotReady;
    if (taken) {
      peer.sent_sequence = call.sequence;
      peer.sent = call.sent;
    }
    if (call.status == kLoadOk && TakeReply(call)) {
      retry_delay = milliseconds(0);
    }
  }
  End(id, retry_delay);
}

void EndpointLoadExchange::OnFailed(CallId call,
                                    CallFailure /*failure*/,
                                    std::string_view /*detail*/) {
  End(call, kRetryDelay);
}

void EndpointLoadExchange::End(CallId id, milliseconds retry_delay) {
  auto found = calls_.find(Number(id));
  Call call = std::move(found->second);
  calls_.erase(found);
  transport_->Cancel(call.timeout);
  Peer& peer = peers_[call.address];
  peer.busy = false;
  peer.takes_reports = call.status == kLoadAccepted;
  if (retry_delay.count() == 0) {
    failures_ = 0;
    peer.failures = 0;
    peer.retry_at = TimePoint();
    return;
  }
  TimePoint now = transport_->Now();
  peer.retry_at = now + retry_delay;
  if (call.scope == LoadScope::kSum) {
    return;
  }
  peer.retry_at = now + retry_delay * (1 << peer.failures);
  peer.failures = std::min(peer.failures + 1, kMaxRetryDoublings);
  // The first time, another reader is asked with the next step. If that does
  // not help either, the instance must not go through all readers at once.
  milliseconds pause =
      peer.takes_reports ? interval_ : std::max(interval_, kRetryDelay);
  next_report_ = failures_ == 0 ? now : now + pause;
  ++failures_;
}

// The response to another reader is empty: it reports its sum itself.
bool EndpointLoadExchange::TakeReply(const Call& call) {
  Peer& peer = peers_[call.address];
  try {
    LoadMessage message = ParseLoadMessage(call.body);
    if (call.scope == LoadScope::kSum) {
      return true;
    }
    if (message.base == 0) {
      peer.received = std::move(message.report);
    } else if (message.base == peer.received_sequence &&
               message.incarnation == peer.incarnation) {
      ApplyChanges(message.report, &peer.received);
    } else {
      throw FindingsError(
          {{"endpoint load", "", 0, 0, "changes to an unknown report"}});
    }
    peer.received_sequence = message.sequence;
    peer.incarnation = message.incarnation;
    SetTable(peer.received, message.age,
             duration_cast<milliseconds>(transport_->Now() - call.sent_at));
    return true;
  } catch (const FindingsError& error) {
    peer.received_sequence = 0;
    Reject(call.address, error.what());
    return false;
  }
}

void EndpointLoadExchange::SetTable(LoadReport report,
                                    milliseconds oldest,
                                    milliseconds delay) {
  metrics_->SetEndpointLoadOldestPart(oldest + delay);
  if (interval_ <= kMaxLoadInterval) {
    table_->SetOthers(std::move(report),
                      std::min(oldest, kMaxChargedAge) + delay,
                      transport_->Now());
  }
}

void EndpointLoadExchange::Reject(std::string_view peer,
                                  std::string_view detail) {
  metrics_->CountEndpointLoadRejected();
  TimePoint now = transport_->Now();
  if (now >= next_rejection_log_) {
    next_rejection_log_ = now + kRejectionLogInterval;
    log_->Write(EventId::kEndpointLoadRejected,
                fmt::format("peer={} {}", peer, detail));
  }
}

void EndpointLoadExchange::ReportState(TimePoint now) {
  std::optional<milliseconds> age = table_->AgeAt(now);
  metrics_->SetEndpointLoad(age, interval_);
  bool is_current = table_->IsCurrent(now);
  if (is_current == was_current_) {
    return;
  }
  was_current_ = is_current;
  log_->Write(is_current ? EventId::kEndpointLoadCurrent
                         : EventId::kEndpointLoadUnknown,
              fmt::format("age_ms={} interval_ms={} collects={}",
                          age.value_or(milliseconds(0)).count(),
                          interval_.count(), collecting_since_.has_value()));
}

}  // namespace filbertshift
