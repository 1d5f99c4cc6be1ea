// What the callers and the endpoints of a soak see of each request, and the
// promises that are checked against it.

#ifndef TESTS_SOAK_SOAK_RECORD_H_
#define TESTS_SOAK_SOAK_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

enum class SoakKind { kOnce, kRepeatable, kStream };

// Events of a whole stream.
constexpr int kSoakEvents = 6;

struct SoakRequest {
  SoakKind kind = SoakKind::kOnce;
  std::string target;
  TimePoint begun_at{};
  // Counts among those that have to be served while it is calm.
  bool counted = true;
  // Its key was withdrawn long enough ago that every instance knows.
  bool must_be_denied = false;
  // Starts of the work on it, one for each run.
  std::vector<TimePoint> runs;
  // 0: no answer, or a broken one.
  int status = 0;
  bool sealed = false;
  std::string answer;
  bool ended = false;
};

class SoakRecord {
 public:
  // `request` has not been begun before.
  void Begin(const std::string& id, SoakRequest request);
  // `detail` is empty if the endpoint got the caller's request unchanged.
  void OnRun(const std::string& id, std::string_view detail, TimePoint now);
  void OnAnswer(const std::string& id,
                int status,
                bool sealed,
                const std::string& answer);
  void OnBroken(const std::string& id);
  // No disruption is in effect, nor was for long enough before.
  void SetCalm(bool calm, TimePoint now);
  void Violate(std::string_view promise, const std::string& detail);
  // Checks what can only be checked when nothing runs any more.
  void CheckAtEnd();

  int requests() const { return static_cast<int>(requests_.size()); }
  // Requests that began and ended while it was calm, and how many of them got
  // an answer of an endpoint.
  int calm_requests() const { return calm_requests_; }
  int calm_served() const { return calm_served_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  void CheckAnswer(const std::string& id, const SoakRequest& request);
  void CheckStream(const std::string& id, const SoakRequest& request);
  void CountIfCalm(const SoakRequest& request, bool served);

  std::map<std::string, SoakRequest> requests_;
  bool calm_ = false;
  TimePoint calm_since_{};
  int calm_requests_ = 0;
  int calm_served_ = 0;
  std::vector<std::string> violations_;
};

// The whole answer of an endpoint to a request.
std::string SoakAnswer(const std::string& id);
std::string SoakEvent(const std::string& id, int number);

}  // namespace filbertshift

#endif  // TESTS_SOAK_SOAK_RECORD_H_
