// Tells other instances at once what this one knows about crashes. Instances
// that read a peer's view receive the same with it (see peer_exchange.h).

#ifndef SRC_GATEWAY_CRASH_EVIDENCE_EXCHANGE_H_
#define SRC_GATEWAY_CRASH_EVIDENCE_EXCHANGE_H_

#include <chrono>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/dispatch/dispatch.h"
#include "src/gateway/http_client.h"

namespace filbertshift {

// Path at the peer address to which evidence is posted. The response carries
// the evidence of the receiver.
constexpr std::string_view kCrashEvidencePath = "/v1/crash-evidence";

nlohmann::json EncodeCrashEvidence(const CrashEvidence& evidence);
// Throws nlohmann::json::exception or DocumentError if it is malformed. Entries
// beyond a limit are dropped.
CrashEvidence DecodeCrashEvidence(const nlohmann::json& value);

// MessagePack. Decoding throws FindingsError if the message is invalid.
std::string SerializeCrashEvidence(const CrashEvidence& evidence);
CrashEvidence ParseCrashEvidence(const std::string& bytes);

class CrashEvidenceExchange : public CallListener {
 public:
  CrashEvidenceExchange(Transport* transport,
                        HttpClient* client,
                        EventLog* log,
                        PromptQuarantine* quarantine);
  CrashEvidenceExchange(const CrashEvidenceExchange&) = delete;
  CrashEvidenceExchange& operator=(const CrashEvidenceExchange&) = delete;

  // Exchanges evidence with the peers ("ip:port") if this instance has news for
  // them, and with those that it has not exchanged any with before.
  void Step(const std::vector<std::string>& peers);

  HeadDecision OnHead(CallId call, const HttpResponseHead& head) override;
  void OnBody(CallId call, std::string_view data) override;
  void OnComplete(CallId call) override;
  void OnFailed(CallId call,
                CallFailure failure,
                std::string_view detail) override;

 private:
  struct Call {
    std::string address;
    std::uint64_t revision = 0;
    TimerId timeout{};
    int status = 0;
    std::string body;
  };
  struct Peer {
    bool busy = false;
    // Revision of the quarantine that the peer has received; unset: none.
    std::optional<std::uint64_t> revision;
    TimePoint retry_at{};
  };

  void Send(const std::string& address, const std::string& message);
  void End(CallId call, bool succeeded);

  Transport* const transport_;
  HttpClient* const client_;
  EventLog* const log_;
  PromptQuarantine* const quarantine_;
  std::map<std::string, Peer> peers_;
  std::map<std::uint64_t, Call> calls_;
};

}  // namespace filbertshift

#endif  // SRC_GATEWAY_CRASH_EVIDENCE_EXCHANGE_H_
