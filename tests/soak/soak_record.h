// Records the outcome of each soak request at its caller and at the endpoints,
// and checks the guarantees of the router against it.

#ifndef TESTS_SOAK_SOAK_RECORD_H_
#define TESTS_SOAK_SOAK_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

enum class SoakKind { kNonIdempotent, kIdempotent, kStream };

// Number of events in a complete stream.
constexpr int kSoakEventCount = 6;

struct SoakRequest {
  SoakKind kind = SoakKind::kNonIdempotent;
  std::string target;
  TimePoint started_at{};
  // Included in the share of requests that must be served without faults.
  bool counts_for_served_ratio = true;
  // The API key was revoked long enough ago for every instance to have applied
  // it, so the request must be denied.
  bool key_revoked = false;
  // Start time of each execution at an endpoint.
  std::vector<TimePoint> execution_times;
  // 0: no response, or an incomplete one.
  int status = 0;
  bool sealed = false;
  std::string body;
  bool ended = false;
};

class SoakRecord {
 public:
  // `id` must be new.
  void OnSent(const std::string& id, SoakRequest request);
  // `detail` is empty if the endpoint received the request unmodified,
  // otherwise it describes the difference.
  void OnExecution(const std::string& id,
                   std::string_view detail,
                   TimePoint now);
  void OnResponse(const std::string& id,
                  int status,
                  bool sealed,
                  const std::string& body);
  void OnNoResponse(const std::string& id);
  // `fault_free` is true if no fault is active and the recovery time after the
  // last one has passed.
  void SetFaultFree(bool fault_free, TimePoint now);
  void ReportViolation(std::string_view guarantee, const std::string& detail);
  // Checks that refused requests were never executed. Call it after all
  // requests have ended, since an execution can follow its refusal.
  void CheckRefusedRequests();

  int requests() const { return static_cast<int>(requests_.size()); }
  // Requests that started and ended without faults, and how many of them got a
  // response from an endpoint.
  int fault_free_requests() const { return fault_free_requests_; }
  int fault_free_served() const { return fault_free_served_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  void CheckResponse(const std::string& id, const SoakRequest& request);
  void CheckStream(const std::string& id, const SoakRequest& request);
  void CountIfFaultFree(const SoakRequest& request, bool served);

  std::map<std::string, SoakRequest> requests_;
  bool fault_free_ = false;
  TimePoint fault_free_since_{};
  int fault_free_requests_ = 0;
  int fault_free_served_ = 0;
  std::vector<std::string> violations_;
};

// The complete response body of an endpoint.
std::string SoakResponseBody(const std::string& id);
std::string SoakEvent(const std::string& id, int number);

}  // namespace filbertshift

#endif  // TESTS_SOAK_SOAK_RECORD_H_
