#include "tests/unit/gateway/stand_ins.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace filbertshift {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::string ToBase64(const std::string& bytes) {
  std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

std::string FromBase64(const std::string& text) {
  std::string out(3 * text.size() / 4 + 3, '\0');
  int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  out.resize(static_cast<std::size_t>(size));
  while (!out.empty() && out.back() == '\0') {
    out.pop_back();
  }
  return out;
}

// Returns the value of a query parameter; empty if missing.
std::string QueryParameter(const std::string& target, const std::string& name) {
  std::size_t at = target.find(name + "=");
  if (at == std::string::npos) {
    return std::string();
  }
  at += name.size() + 1;
  return target.substr(at, target.find('&', at) - at);
}

std::int64_t ParseInteger(const std::string& text) {
  std::int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

StandInStore::StandInStore(Transport* transport)
    : transport_(transport), server_(transport, this) {}

void StandInStore::Put(const std::string& table,
                       const std::string& key,
                       const std::string& value) {
  tables_[table][key] = Row{value, ++version_, false};
  RespondToWaiting();
}

void StandInStore::Remove(const std::string& table, const std::string& key) {
  tables_[table][key] = Row{std::string(), ++version_, true};
  RespondToWaiting();
}

void StandInStore::ForgetHistory() {
  history_from_ = ++version_;
}

void StandInStore::ReturnTo(const Copy& copy) {
  tables_ = copy.tables;
  version_ = copy.version;
  history_from_ = std::min(history_from_, version_);
  if (era_.has_value()) {
    ++*era_;
  }
  for (const Waiting& waiting : std::exchange(waiting_, {})) {
    server_.AbortResponse(waiting.caller, CallerCloseReason::kBrokenOff);
  }
}

std::size_t StandInStore::CountWaiting(const std::string& table) const {
  return static_cast<std::size_t>(
      std::count_if(waiting_.begin(), waiting_.end(),
                    [&table](const Waiting& w) { return w.table == table; }));
}

bool StandInStore::Has(const std::string& table, const std::string& key) const {
  auto found = tables_.find(table);
  if (found == tables_.end()) {
    return false;
  }
  auto row = found->second.find(key);
  return row != found->second.end() && !row->second.removed;
}

std::string StandInStore::Value(const std::string& table,
                                const std::string& key) const {
  return Has(table, key) ? tables_.at(table).at(key).value : std::string();
}

void StandInStore::Reply(ConnectionId caller,
                         int status,
                         const std::string& body) {
  HttpResponseHead head{status, "X", {}};
  head.headers.Add("Content-Type", "application/json");
  if (era_.has_value()) {
    head.headers.Add("Store-Era", fmt::format("{}", *era_));
  }
  server_.Respond(caller, head, body);
}

std::string StandInStore::RowsBody(const std::string& table,
                                   std::int64_t after) const {
  json rows = json::array();
  auto found = tables_.find(table);
  if (found != tables_.end()) {
    for (const auto& [key, row] : found->second) {
      // A list (after version 0) contains no removed rows.
      if (row.version <= after || (row.removed && after == 0)) {
        continue;
      }
      rows.push_back({{"table", table},
                      {"part", ""},
                      {"key", key},
                      {"row_version", row.version}});
      if (row.removed) {
        rows.back()["deleted"] = true;
      } else {
        rows.back()["value"] = ToBase64(row.value);
      }
    }
  }
  auto now = transport_->Now().time_since_epoch();
  return json{{"rows", rows},
              {"has_more", false},
              {"row_version", version_},
              {"now_ms", std::chrono::duration_cast<milliseconds>(now).count()}}
      .dump();
}

void StandInStore::OnRequest(ConnectionId caller,
                             HttpRequestHead head,
                             std::string body) {
  reads_ += head.target == "/rows-tx" ? 0 : 1;
  if (busy_) {
    Reply(caller, 503, "{}");
  } else if (head.target == "/rows-tx") {
    Transact(caller, body);
  } else if (head.target.rfind("/rows-get?", 0) == 0) {
    Reply(caller, 200, RowsBody(QueryParameter(head.target, "table"), 0));
  } else {
    Waiting waiting{++last_waiting_, caller,
                    QueryParameter(head.target, "table"),
                    ParseInteger(QueryParameter(head.target, "after"))};
    if (waiting.after < history_from_ || waiting.after > version_) {
      ++lost_reads_;
      Reply(caller, 410, "{}");
      return;
    }
    if (RespondWithChanges(waiting, false)) {
      return;
    }
    waiting_.push_back(waiting);
    milliseconds wait(ParseInteger(QueryParameter(head.target, "wait_ms")));
    transport_->After(wait, [this, waiting] {
      for (std::size_t i = 0; i < waiting_.size(); ++i) {
        if (waiting_[i].number == waiting.number) {
          waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
          RespondWithChanges(waiting, true);
          return;
        }
      }
    });
  }
}

bool StandInStore::RespondWithChanges(const Waiting& waiting,
                                      bool allow_empty) {
  std::string body = RowsBody(waiting.table, waiting.after);
  bool has_rows = body.find("\"rows\":[]") == std::string::npos;
  if (has_rows || allow_empty) {
    Reply(waiting.caller, 200, body);
    return true;
  }
  return false;
}

void StandInStore::RespondToWaiting() {
  std::vector<Waiting> waiting = std::exchange(waiting_, {});
  for (const Waiting& entry : waiting) {
    if (!RespondWithChanges(entry, false)) {
      waiting_.push_back(entry);
    }
  }
}

void StandInStore::Transact(ConnectionId caller, const std::string& body) {
  ++transactions_;
  json message = json::parse(body);
  for (const json& expected : message.at("expect")) {
    std::map<std::string, Row>& table = tables_[expected.at("table")];
    auto found = table.find(expected.at("key").get<std::string>());
    bool exists = found != table.end() && !found->second.removed;
    std::int64_t version = exists ? found->second.version : 0;
    if (version != expected.at("row_version").get<std::int64_t>()) {
      Reply(caller, 412, "{\"rows\":[]}");
      return;
    }
  }
  ++version_;
  for (const json& row : message.at("put")) {
    tables_[row.at("table")][row.at("key")] =
        Row{FromBase64(row.at("value")), version_, false};
  }
  for (const json& row : message.at("remove")) {
    tables_[row.at("table")][row.at("key")] =
        Row{std::string(), version_, true};
  }
  Reply(caller, 200,
        fmt::format("{{\"row_version\":{},\"now_ms\":0}}", version_));
  RespondToWaiting();
}

void StandInStore::OnCallerDisconnected(ConnectionId caller,
                                        ConnectionEnd /*end*/) {
  for (std::size_t i = 0; i < waiting_.size(); ++i) {
    if (waiting_[i].caller == caller) {
      waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
      return;
    }
  }
}

void StandInStore::OnRejected(int /*status*/, std::string_view /*reason*/) {}

StandInWorker::StandInWorker(Transport* transport, std::string id)
    : transport_(transport), id_(std::move(id)), server_(transport, this) {}

void StandInWorker::OnRequest(ConnectionId caller,
                              HttpRequestHead head,
                              std::string body) {
  const std::string* expected =
      head.headers.Find("Filbertshift-Expect-Instance");
  if (expected == nullptr || *expected != id_) {
    server_.Respond(caller, {421, "X", {}}, "");
    return;
  }
  ++runs_;
  HttpResponseHead response{200, "OK", {}};
  response.headers.Add("Filbertshift-Attempt-Id",
                       *head.headers.Find("Filbertshift-Attempt-Id"));
  response.headers.Add("Filbertshift-Response-Seal", "seal-" + id_);
  if (failing_) {
    response.status = 500;
    server_.Respond(caller, response, "failed");
    return;
  }
  if (head.target.rfind("/stream/", 0) != 0) {
    std::string content = head.target + " " + body;
    if (delay_.count() == 0) {
      server_.Respond(caller, response, content);
      return;
    }
    transport_->After(delay_, [this, caller, response, content] {
      server_.Respond(caller, response, content);
    });
    return;
  }
  const std::string* last = head.headers.Find("Last-Event-Id");
  std::int64_t first = last == nullptr ? 1 : ParseInteger(*last) + 1;
  server_.BeginStream(caller, response);
  for (std::int64_t i = first; i <= 3; ++i) {
    server_.SendStream(caller, fmt::format("id: {}\ndata: {}\n\n", i, i));
    if (std::exchange(break_next_, false)) {
      server_.AbortResponse(caller, CallerCloseReason::kBrokenOff);
      return;
    }
  }
  server_.EndStream(caller);
}

void StandInWorker::OnCallerDisconnected(ConnectionId /*caller*/,
                                         ConnectionEnd /*end*/) {}

void StandInWorker::OnRejected(int /*status*/, std::string_view /*reason*/) {}

}  // namespace filbertshift
