#include "src/gateway/peer_exchange.h"

#include <fmt/format.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/common/document_reader.h"
#include "src/gateway/crash_evidence_exchange.h"
#include "src/gateway/endpoint_load_exchange.h"
#include "src/gateway/operator_pages.h"
#include "src/handover/handover.h"

namespace filbertshift {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::string_view kViewPath = "/v1/fleet-view";
constexpr std::string_view kMetricsPath = "/metrics";
// Short, because an instance that gets no view must fall back to the store in
// time.
constexpr milliseconds kReadTimeout{400};
constexpr milliseconds kMaxIdle{3600000};
// Crashes are told to peers that only read after this time.
constexpr milliseconds kMinToldCrashAge{250};
// Position of the era in an encoded table, before the number up to which rows
// may be copied.
constexpr std::size_t kTableEra = 5;
constexpr std::int64_t kNothingCopied = -1;

// Parses the numbers in "/v1/fleet-view/A/B/C/D/E/F": the versions of the
// tables, then their eras. Returns those before the first that is missing.
std::vector<std::int64_t> ParseNumbers(std::string_view target) {
  constexpr std::size_t kMaxNumbers = std::size_t{2} * kStoreTableCount;
  std::vector<std::int64_t> numbers;
  std::string_view rest = target.substr(kViewPath.size());
  while (!rest.empty() && rest.front() == '/' && numbers.size() < kMaxNumbers) {
    rest.remove_prefix(1);
    std::int64_t number = 0;
    auto result =
        std::from_chars(rest.data(), rest.data() + rest.size(), number);
    if (result.ec != std::errc()) {
      break;
    }
    rest.remove_prefix(static_cast<std::size_t>(result.ptr - rest.data()));
    numbers.push_back(number);
  }
  return numbers;
}

// Encodes an unknown time as -1.
std::int64_t EncodeTime(const std::optional<milliseconds>& time) {
  return time.has_value() ? time->count() : -1;
}

std::optional<milliseconds> DecodeTime(const json& value) {
  std::int64_t count = ToInteger(value, -1, kMaxCount);
  return count < 0 ? std::nullopt : std::make_optional(milliseconds(count));
}

}  // namespace

std::string EncodePeerView(const PeerView& view) {
  json tables = json::array();
  for (const PeerTable& table : view.tables) {
    json rows = json::array();
    for (const StoreRow& row : table.changes.rows) {
      rows.push_back(
          json::array({row.key, row.value, row.version, row.removed}));
    }
    tables.push_back(json::array(
        {static_cast<int>(table.changes.table), table.changes.as_of.number,
         table.changes.full_table, table.age.count(), std::move(rows),
         table.changes.as_of.era,
         table.changes.copied_until.value_or(kNothingCopied)}));
  }
  json message =
      json::array({view.source.reads_store, EncodeTime(view.source.store_time),
                   std::move(tables), view.committed_beat,
                   EncodeCrashEvidence(view.crash_evidence)});
  std::vector<std::uint8_t> bytes = json::to_msgpack(message);
  return std::string(bytes.begin(), bytes.end());
}

PeerView DecodePeerView(const std::string& bytes) {
  try {
    json message = ParseMessagePack(bytes);
    PeerView view;
    view.source.reads_store = message.at(0).get<bool>();
    view.source.store_time = DecodeTime(message.at(1));
    for (const json& entry : message.at(2)) {
      PeerTable table;
      table.changes.table = static_cast<StoreTable>(
          ToInteger(entry.at(0), 0, kStoreTableCount - 1));
      table.changes.as_of.number = ToInteger(entry.at(1), 0, kMaxCount);
      table.changes.full_table = entry.at(2).get<bool>();
      table.age = ToDuration(entry.at(3));
      for (const json& row : entry.at(4)) {
        table.changes.rows.push_back(StoreRow{
            row.at(0).get<std::string>(), row.at(1).get<std::string>(),
            ToInteger(row.at(2), 0, kMaxCount), row.at(3).get<bool>()});
      }
      table.names_era = entry.size() > kTableEra + 1;
      if (table.names_era) {
        table.changes.as_of.era = ToInteger(entry.at(kTableEra), 0, kMaxCount);
        std::int64_t copied_until =
            ToInteger(entry.at(kTableEra + 1), kNothingCopied, kMaxCount);
        if (copied_until != kNothingCopied) {
          table.changes.copied_until = copied_until;
        }
      }
      view.tables.push_back(std::move(table));
    }
    // Instances of earlier versions do not write rows for others.
    constexpr std::size_t kCommittedBeat = 3;
    if (message.size() > kCommittedBeat) {
      view.committed_beat = ToUnsigned(message.at(kCommittedBeat));
    }
    // Nor do they share evidence of crashes.
    constexpr std::size_t kCrashEvidence = 4;
    if (message.size() > kCrashEvidence) {
      view.crash_evidence = DecodeCrashEvidence(message.at(kCrashEvidence));
    }
    return view;
  } catch (const json::exception& error) {
    throw FindingsError({{"peer", "", 0, 0, error.what()}});
  } catch (const DocumentError& error) {
    throw FindingsError({{"peer", "", 0, 0, error.what()}});
  }
}

PeerService::PeerService(const FleetView& view,
                         const PeerSourceProvider& source,
                         const OperatorPages& pages,
                         const Transport& transport,
                         MemberRowCollector* rows,
                         PromptQuarantine* quarantine,
                         EventLog* log,
                         GatewayMetrics* metrics)
    : view_(view),
      source_(source),
      pages_(pages),
      transport_(transport),
      rows_(rows),
      quarantine_(quarantine),
      log_(log),
      metrics_(metrics) {}

void PeerService::OnRequest(ConnectionId caller,
                            HttpRequestHead head,
                            std::string content) {
  if (head.target == kHandoverPath && handovers_ != nullptr) {
    handovers_->OnHandover(caller, server_, content);
    return;
  }
  HttpResponseHead response{200, "OK", {}};
  std::string body;
  if (head.target.compare(0, kViewPath.size(), kViewPath) == 0) {
    response.headers.Add("Content-Type", "application/msgpack");
    body = EncodeViewFor(head.target, CollectRow(caller, content));
  } else if (head.target == kCrashEvidencePath) {
    response.headers.Add("Content-Type", "application/msgpack");
    MergeCrashEvidence(content);
    body = SerializeCrashEvidence(
        quarantine_->Export(kMinToldCrashAge, transport_.Now()));
  } else if (head.target == kEndpointLoadPath && loads_ != nullptr) {
    EndpointLoadExchange::Reply reply = loads_->Receive(content);
    response = {reply.status, std::string(ReasonPhrase(reply.status)), {}};
    response.headers.Add("Content-Type", "application/msgpack");
    body = std::move(reply.body);
  } else if (head.target == kMetricsPath) {
    response.headers.Add("Content-Type", "text/plain; version=0.0.4");
    body = metrics_->Serialize();
  } else if (std::optional<std::string> page = pages_.Render(head.target)) {
    response.headers.Add("Content-Type", "application/json");
    body = std::move(*page);
  } else {
    response = {404, "Not Found", {}};
  }
  server_->Respond(caller, std::move(response), std::move(body));
}

void PeerService::MergeCrashEvidence(const std::string& message) {
  try {
    quarantine_->Merge(ParseCrashEvidence(message), transport_.Now());
    quarantine_->Evaluate(transport_.Now());
  } catch (const FindingsError& error) {
    log_->Write(EventId::kCrashEvidenceRejected, error.what());
  }
}

// A row that cannot be written is reported here and not to its sender, which
// writes it itself when no commit is reported.
std::uint64_t PeerService::CollectRow(ConnectionId caller,
                                      const std::string& row) {
  auto connection = static_cast<std::uint64_t>(caller);
  rows_->Confirm(connection);
  if (row.empty()) {
    return 0;
  }
  try {
    return rows_->Add(connection, row, transport_.Now());
  } catch (const FindingsError& error) {
    log_->Write(EventId::kPeerRowRejected, error.what());
    return 0;
  }
}

std::string PeerService::EncodeViewFor(const std::string& target,
                                       std::uint64_t committed_beat) const {
  std::vector<std::int64_t> known = ParseNumbers(target);
  PeerView view;
  view.source = source_.Source();
  view.committed_beat = committed_beat;
  view.crash_evidence = quarantine_->Export(kMinToldCrashAge, transport_.Now());
  for (int i = 0; i < kStoreTableCount; ++i) {
    auto table = static_cast<StoreTable>(i);
    if (view_.confirmed_at(table) != TimePoint()) {
      auto position = static_cast<std::size_t>(i);
      std::size_t era_position = position + kStoreTableCount;
      // A reader of an earlier version names no era.
      StoreVersion version{known.size() > era_position ? known[era_position]
                                                       : view_.as_of(table).era,
                           known.size() > position ? known[position] : 0};
      view.tables.push_back(
          {view_.ChangesSince(table, version),
           duration_cast<milliseconds>(transport_.Now() -
                                       view_.confirmed_at(table))});
    }
  }
  return EncodePeerView(view);
}

void PeerService::OnCallerDisconnected(ConnectionId caller, ConnectionEnd end) {
  if (handovers_ != nullptr) {
    handovers_->OnSenderDisconnected(caller, end);
  }
}

void PeerService::OnRejected(int status, std::string_view /*reason*/) {
  metrics_->CountRejected(status);
}

PeerReader::PeerReader(Transport* transport,
                       HttpClient* client,
                       PeerReaderListener* listener)
    : transport_(transport), client_(client), listener_(listener) {}

void PeerReader::Read(const std::string& address, const std::string& row) {
  address_ = address;
  status_ = 0;
  body_.clear();
  HttpRequestHead head;
  head.method = row.empty() ? "GET" : "POST";
  head.target = std::string(kViewPath);
  std::string eras;
  for (int i = 0; i < kStoreTableCount; ++i) {
    StoreVersion known = listener_->KnownVersion(static_cast<StoreTable>(i));
    head.target += fmt::format("/{}", known.number);
    eras += fmt::format("/{}", known.era);
  }
  head.target += eras;
  head.headers.Add("Host", address);
  if (!row.empty()) {
    head.headers.Add("Content-Length", fmt::format("{}", row.size()));
  }
  call_ =
      client_->Start(address, SerializeRequestHead(head) + row, kMaxIdle, this);
  timeout_ = transport_->After(kReadTimeout, [this] {
    client_->Cancel(call_);
    Fail("timeout");
  });
}

HeadDecision PeerReader::OnHead(CallId /*call*/, const HttpResponseHead& head) {
  status_ = head.status;
  return HeadDecision::kAccept;
}

void PeerReader::OnBody(CallId /*call*/, std::string_view data) {
  body_.append(data);
}

void PeerReader::OnComplete(CallId /*call*/) {
  transport_->Cancel(timeout_);
  if (status_ != 200) {
    Fail(fmt::format("status {}", status_));
    return;
  }
  PeerView view;
  try {
    view = DecodePeerView(body_);
  } catch (const FindingsError& error) {
    Fail(error.what());
    return;
  }
  call_ = CallId{};
  listener_->OnPeerView(address_, view);
}

void PeerReader::OnFailed(CallId /*call*/,
                          CallFailure /*failure*/,
                          std::string_view detail) {
  transport_->Cancel(timeout_);
  Fail(detail);
}

void PeerReader::Fail(std::string_view detail) {
  call_ = CallId{};
  listener_->OnPeerFailed(address_, detail);
}

}  // namespace filbertshift
