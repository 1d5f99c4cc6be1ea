#include "src/gateway/peer_exchange.h"

#include <fmt/format.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace filbertshift {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::string_view kViewPath = "/v1/fleet-view";
constexpr std::string_view kMetricsPath = "/metrics";
constexpr milliseconds kReadTimeout{600};
constexpr milliseconds kMaxIdle{3600000};

// The versions of "/v1/fleet-view/A/B/C", one for each table; 0 if missing.
std::array<std::int64_t, kStoreTableCount> KnownVersions(
    std::string_view target) {
  std::array<std::int64_t, kStoreTableCount> versions{};
  std::string_view rest = target.substr(kViewPath.size());
  for (std::int64_t& version : versions) {
    if (rest.empty() || rest.front() != '/') {
      break;
    }
    rest.remove_prefix(1);
    auto result =
        std::from_chars(rest.data(), rest.data() + rest.size(), version);
    rest.remove_prefix(static_cast<std::size_t>(result.ptr - rest.data()));
  }
  return versions;
}

}  // namespace

std::string EncodePeerTables(const std::vector<PeerTable>& tables) {
  json message = json::array();
  for (const PeerTable& table : tables) {
    json rows = json::array();
    for (const StoreRow& row : table.snapshot.rows) {
      rows.push_back(json::array({row.key, row.value, row.version}));
    }
    message.push_back(json::array({static_cast<int>(table.snapshot.table),
                                   table.snapshot.as_of, table.age.count(),
                                   std::move(rows)}));
  }
  std::vector<std::uint8_t> bytes = json::to_msgpack(message);
  return std::string(bytes.begin(), bytes.end());
}

std::vector<PeerTable> DecodePeerTables(const std::string& bytes) {
  try {
    std::vector<PeerTable> tables;
    for (const json& entry : json::from_msgpack(bytes)) {
      PeerTable table;
      int number = entry.at(0).get<int>();
      if (number < 0 || number >= kStoreTableCount) {
        throw FindingsError({{"peer", "", 0, 0, "unknown table"}});
      }
      table.snapshot.table = static_cast<StoreTable>(number);
      table.snapshot.as_of = entry.at(1).get<std::int64_t>();
      table.age = milliseconds(entry.at(2).get<std::int64_t>());
      for (const json& row : entry.at(3)) {
        table.snapshot.rows.push_back(
            StoreRow{row.at(0).get<std::string>(), row.at(1).get<std::string>(),
                     row.at(2).get<std::int64_t>(), false});
      }
      tables.push_back(std::move(table));
    }
    return tables;
  } catch (const json::exception& error) {
    throw FindingsError({{"peer", "", 0, 0, error.what()}});
  }
}

PeerService::PeerService(const FleetView& view,
                         const Transport& transport,
                         GatewayMetrics* metrics)
    : view_(view), transport_(transport), metrics_(metrics) {}

void PeerService::OnRequest(ConnectionId caller,
                            HttpRequestHead head,
                            std::string /*body*/) {
  HttpResponseHead answer{200, "OK", {}};
  std::string body;
  if (head.target.compare(0, kViewPath.size(), kViewPath) == 0) {
    answer.headers.Add("Content-Type", "application/msgpack");
    body = View(head.target);
  } else if (head.target == kMetricsPath) {
    answer.headers.Add("Content-Type", "text/plain; version=0.0.4");
    body = metrics_->Serialize();
  } else {
    answer = {404, "Not Found", {}};
  }
  server_->Respond(caller, std::move(answer), body);
}

std::string PeerService::View(const std::string& target) const {
  std::array<std::int64_t, kStoreTableCount> known = KnownVersions(target);
  std::vector<PeerTable> tables;
  for (int i = 0; i < kStoreTableCount; ++i) {
    auto table = static_cast<StoreTable>(i);
    if (view_.confirmed_at(table) == TimePoint()) {
      continue;
    }
    PeerTable entry;
    entry.snapshot = TableSnapshot{table, view_.as_of(table), {}};
    if (view_.as_of(table) > known[static_cast<std::size_t>(i)]) {
      entry.snapshot = view_.Snapshot(table);
    }
    entry.age = duration_cast<milliseconds>(transport_.Now() -
                                            view_.confirmed_at(table));
    tables.push_back(std::move(entry));
  }
  return EncodePeerTables(tables);
}

void PeerService::OnCallerGone(ConnectionId /*caller*/, ConnectionEnd /*end*/) {
}

void PeerService::OnRejected(int status, std::string_view /*reason*/) {
  metrics_->CountRejected(status);
}

PeerReader::PeerReader(Transport* transport,
                       HttpClient* client,
                       EventLog* log,
                       PeerReaderListener* listener)
    : transport_(transport), client_(client), log_(log), listener_(listener) {}

void PeerReader::Read(const std::string& address) {
  address_ = address;
  status_ = 0;
  body_.clear();
  HttpRequestHead head;
  head.method = "GET";
  head.target = std::string(kViewPath);
  for (int i = 0; i < kStoreTableCount; ++i) {
    head.target +=
        fmt::format("/{}", listener_->KnownVersion(static_cast<StoreTable>(i)));
  }
  head.headers.Add("Host", address);
  call_ = client_->Start(address, SerializeRequestHead(head), kMaxIdle, this);
  timeout_ = transport_->After(kReadTimeout, [this] {
    client_->Cancel(call_);
    call_ = CallId{};
    log_->Write(EventId::kPeerViewFailed,
                fmt::format("peer={} timeout", address_));
  });
}

HeadDecision PeerReader::OnHead(CallId /*call*/, const HttpResponseHead& head) {
  status_ = head.status;
  return HeadDecision::kTake;
}

void PeerReader::OnBody(CallId /*call*/, std::string_view data) {
  body_.append(data);
}

void PeerReader::OnComplete(CallId /*call*/) {
  transport_->Cancel(timeout_);
  call_ = CallId{};
  try {
    if (status_ == 200) {
      listener_->OnPeerTables(address_, DecodePeerTables(body_));
      return;
    }
    log_->Write(EventId::kPeerViewFailed,
                fmt::format("peer={} status={}", address_, status_));
  } catch (const FindingsError& error) {
    log_->Write(EventId::kPeerViewFailed,
                fmt::format("peer={} {}", address_, error.what()));
  }
}

void PeerReader::OnFailed(CallId /*call*/,
                          CallFailure /*failure*/,
                          std::string_view detail) {
  transport_->Cancel(timeout_);
  call_ = CallId{};
  log_->Write(EventId::kPeerViewFailed,
              fmt::format("peer={} {}", address_, detail));
}

}  // namespace filbertshift
