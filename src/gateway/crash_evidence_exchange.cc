#include "src/gateway/crash_evidence_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/common/document_reader.h"

namespace filbertshift {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{400};
// A peer that did not answer is tried again after this time.
constexpr milliseconds kRetryDelay{1000};
constexpr milliseconds kMaxIdle{10000};
// Bounds of a message from another instance.
constexpr std::size_t kMaxEntries = 2000;
constexpr std::size_t kMaxWaiting = 64;
constexpr std::size_t kMaxParts = 16;
constexpr std::size_t kMaxIdBytes = 200;
constexpr milliseconds kMaxAge = std::chrono::hours(24 * 7);
constexpr int kMaxStrikes = 1000;

std::uint64_t Number(CallId id) {
  return static_cast<std::uint64_t>(id);
}

milliseconds DecodeAge(const json& value) {
  return std::min(ToDuration(value), kMaxAge);
}

std::string DecodeId(const json& value) {
  return value.get<std::string>().substr(0, kMaxIdBytes);
}

json EncodeProfile(const CrashProfile& profile) {
  json parts = json::array();
  for (const CauseId& part : profile.parts) {
    parts.push_back(part.value());
  }
  return json::array(
      {profile.service.value(), profile.request.value(), std::move(parts)});
}

CrashProfile DecodeProfile(const json& value) {
  CrashProfile profile;
  profile.service = ServiceId(DecodeId(value.at(0)));
  profile.request = CauseId(DecodeId(value.at(1)));
  for (const json& part : value.at(2)) {
    if (profile.parts.size() < kMaxParts) {
      profile.parts.emplace_back(DecodeId(part));
    }
  }
  return profile;
}

}  // namespace

json EncodeCrashEvidence(const CrashEvidence& evidence) {
  json crashes = json::array();
  for (const CrashEvidence::Crash& crash : evidence.crashes) {
    json waiting = json::array();
    for (const CrashProfile& profile : crash.waiting) {
      waiting.push_back(EncodeProfile(profile));
    }
    crashes.push_back(json::array(
        {crash.endpoint.value(), crash.age.count(), std::move(waiting)}));
  }
  json answers = json::array();
  for (const CrashEvidence::Answer& answer : evidence.answers) {
    answers.push_back(json::array({answer.cause.value(), answer.age.count()}));
  }
  json blocks = json::array();
  for (const CrashEvidence::Block& block : evidence.blocks) {
    blocks.push_back(
        json::array({block.cause.value(), block.age.count(), block.strikes}));
  }
  return json::array(
      {std::move(crashes), std::move(answers), std::move(blocks)});
}

CrashEvidence DecodeCrashEvidence(const json& value) {
  CrashEvidence evidence;
  for (const json& entry : value.at(0)) {
    CrashEvidence::Crash crash;
    crash.endpoint = EndpointId(DecodeId(entry.at(0)));
    crash.age = DecodeAge(entry.at(1));
    for (const json& profile : entry.at(2)) {
      if (crash.waiting.size() < kMaxWaiting) {
        crash.waiting.push_back(DecodeProfile(profile));
      }
    }
    if (evidence.crashes.size() < kMaxEntries) {
      evidence.crashes.push_back(std::move(crash));
    }
  }
  for (const json& entry : value.at(1)) {
    if (evidence.answers.size() < kMaxEntries) {
      evidence.answers.push_back(
          {CauseId(DecodeId(entry.at(0))), DecodeAge(entry.at(1))});
    }
  }
  for (const json& entry : value.at(2)) {
    if (evidence.blocks.size() < kMaxEntries) {
      evidence.blocks.push_back(
          {CauseId(DecodeId(entry.at(0))), DecodeAge(entry.at(1)),
           static_cast<int>(ToInteger(entry.at(2), 0, kMaxStrikes))});
    }
  }
  return evidence;
}

std::string SerializeCrashEvidence(const CrashEvidence& evidence) {
  std::vector<std::uint8_t> bytes =
      json::to_msgpack(EncodeCrashEvidence(evidence));
  return std::string(bytes.begin(), bytes.end());
}

CrashEvidence ParseCrashEvidence(const std::string& bytes) {
  try {
    return DecodeCrashEvidence(ParseMessagePack(bytes));
  } catch (const json::exception& error) {
    throw FindingsError({{"crash evidence", "", 0, 0, error.what()}});
  } catch (const DocumentError& error) {
    throw FindingsError({{"crash evidence", "", 0, 0, error.what()}});
  }
}

CrashEvidenceExchange::CrashEvidenceExchange(Transport* transport,
                                             HttpClient* client,
                                             EventLog* log,
                                             PromptQuarantine* quarantine)
    : transport_(transport),
      client_(client),
      log_(log),
      quarantine_(quarantine) {}

void CrashEvidenceExchange::Step(const std::vector<std::string>& peers) {
  std::string message;
  TimePoint now = transport_->Now();
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    bool gone = !entry->second.busy && std::find(peers.begin(), peers.end(),
                                                 entry->first) == peers.end();
    entry = gone ? peers_.erase(entry) : std::next(entry);
  }
  for (const std::string& address : peers) {
    Peer& peer = peers_[address];
    if (peer.busy || now < peer.retry_at ||
        peer.revision == quarantine_->revision()) {
      continue;
    }
    if (message.empty()) {
      message =
          SerializeCrashEvidence(quarantine_->Export(milliseconds(0), now));
    }
    peer.busy = true;
    Send(address, message);
  }
}

void CrashEvidenceExchange::Send(const std::string& address,
                                 const std::string& message) {
  HttpRequestHead head;
  head.method = "POST";
  head.target = std::string(kCrashEvidencePath);
  head.headers.Add("Host", address);
  head.headers.Add("Content-Length", fmt::format("{}", message.size()));
  CallId id = client_->Start(address, SerializeRequestHead(head) + message,
                             kMaxIdle, this);
  Call call;
  call.address = address;
  call.revision = quarantine_->revision();
  call.timeout = transport_->After(kTimeout, [this, id] {
    client_->Cancel(id);
    End(id, false);
  });
  calls_.emplace(Number(id), std::move(call));
}

HeadDecision CrashEvidenceExchange::OnHead(CallId call,
                                           const HttpResponseHead& head) {
  calls_.at(Number(call)).status = head.status;
  return HeadDecision::kAccept;
}

void CrashEvidenceExchange::OnBody(CallId call, std::string_view data) {
  calls_.at(Number(call)).body.append(data);
}

void CrashEvidenceExchange::OnComplete(CallId id) {
  const Call& call = calls_.at(Number(id));
  // An instance of an earlier version does not know the path.
  if (call.status == 200) {
    try {
      quarantine_->Merge(ParseCrashEvidence(call.body), transport_->Now());
      quarantine_->Evaluate(transport_->Now());
    } catch (const FindingsError& error) {
      log_->Write(EventId::kCrashEvidenceRejected,
                  fmt::format("peer={} {}", call.address, error.what()));
    }
  }
  constexpr int kNotFound = 404;
  End(id, call.status == 200 || call.status == kNotFound);
}

void CrashEvidenceExchange::OnFailed(CallId call,
                                     CallFailure /*failure*/,
                                     std::string_view /*detail*/) {
  End(call, false);
}

void CrashEvidenceExchange::End(CallId id, bool succeeded) {
  auto found = calls_.find(Number(id));
  Call call = std::move(found->second);
  calls_.erase(found);
  transport_->Cancel(call.timeout);
  Peer& peer = peers_[call.address];
  peer.busy = false;
  if (succeeded) {
    peer.revision = call.revision;
  } else {
    peer.retry_at = transport_->Now() + kRetryDelay;
  }
}

}  // namespace filbertshift
