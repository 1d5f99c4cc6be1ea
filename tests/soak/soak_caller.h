// A soak caller: sends one request at a time over persistent connections, each
// to a randomly chosen instance.

#ifndef TESTS_SOAK_SOAK_CALLER_H_
#define TESTS_SOAK_SOAK_CALLER_H_

#include <random>
#include <string>
#include <vector>

#include "src/gateway/http_client.h"
#include "src/net/net.h"
#include "tests/soak/soak_record.h"

namespace filbertshift {

class SoakCaller : public CallListener {
 public:
  SoakCaller(Transport* transport,
             std::string name,
             std::string api_key,
             std::vector<std::string> addresses,
             unsigned seed,
             SoakRecord* record);

  void Start() { ScheduleNextRequest(); }
  void Stop() { stopped_ = true; }
  // Excludes its requests from the share that must be served without faults.
  void ExcludeFromServedRatio() { counts_for_served_ratio_ = false; }
  // Sends requests to the plain service only, with a short deadline.
  void UsePlainService() { plain_ = true; }
  // While not active, it begins no request.
  void SetActive(bool active) { active_ = active; }
  // Set once every instance has applied the revocation of the key.
  void SetKeyRevoked(bool revoked) { key_revoked_ = revoked; }
  // Set while the key is in force at every instance.
  void SetKeyInForce(bool in_force) { key_in_force_ = in_force; }

  HeadDecision OnHead(CallId call, const HttpResponseHead& head) override;
  void OnBody(CallId call, std::string_view data) override;
  void OnComplete(CallId call) override;
  void OnFailed(CallId call,
                CallFailure failure,
                std::string_view detail) override;

 private:
  void ScheduleNextRequest();
  void SendRequest();
  void GiveUp();
  std::chrono::milliseconds deadline() const;
  void FinishRequest();

  Transport* const transport_;
  const std::string name_;
  const std::string api_key_;
  const std::vector<std::string> addresses_;
  std::mt19937 random_;
  SoakRecord* const record_;
  HttpClient client_;
  int request_count_ = 0;
  std::string id_;
  CallId call_{};
  TimerId give_up_timer_{};
  int status_ = 0;
  bool sealed_ = false;
  std::string body_;
  bool counts_for_served_ratio_ = true;
  bool key_revoked_ = false;
  bool key_in_force_ = false;
  bool plain_ = false;
  bool active_ = true;
  bool stopped_ = false;
};

}  // namespace filbertshift

#endif  // TESTS_SOAK_SOAK_CALLER_H_
