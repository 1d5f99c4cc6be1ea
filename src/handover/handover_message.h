// The messages with which a request is handed over: the request with what the
// first instance knows of it, and what the answer says about a run.

#ifndef SRC_HANDOVER_HANDOVER_MESSAGE_H_
#define SRC_HANDOVER_HANDOVER_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

// Path at the peer address to which requests are handed over.
constexpr std::string_view kHandoverPath = "/v1/handover";
// Header fields of an answer that the receiver has written itself, and not an
// endpoint: whether the request has run, and the id of the request.
constexpr std::string_view kHandoverRunField = "Handover-Run";
constexpr std::string_view kHandoverRequestField = "Handover-Request";

struct HandoverRequest {
  // Request line and header fields as the caller sent them.
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::chrono::milliseconds time_left{0};
  // Sends to endpoints so far, and those of them that may have run.
  int sends = 0;
  int runs = 0;
  // Runs with which the request ends, with `runs`: the rest is for other
  // instances if this one is lost.
  int max_runs = 1;
  // Version of the configuration by which the sender has let the request pass.
  std::int64_t configuration = 0;
  // Event after which the stream resumes.
  std::optional<std::string> last_event_id;
  std::string body;
};

std::string EncodeHandover(const HandoverRequest& request);
// Bytes that EncodeHandover() adds to a head and body at most.
constexpr std::size_t kMaxHandoverOverhead = std::size_t{64} * 1024;
// Throws FindingsError if the message is invalid or its head is longer than
// `max_head_bytes` of a request allow.
HandoverRequest DecodeHandover(std::string_view message,
                               std::size_t max_head_bytes);

// What an answer says of the request.
enum class HandoverRun {
  // Not run, and another peer may be asked.
  kTryAnother,
  // Not run, and it would not be elsewhere.
  kNotRun,
  kMayHaveRun,
};

// Value of kHandoverRunField. `code` is the reason, as told to callers.
std::string EncodeHandoverRun(bool not_run, std::string_view code);
// An unknown value means kMayHaveRun.
HandoverRun DecodeHandoverRun(std::string_view value);

}  // namespace filbertshift

#endif  // SRC_HANDOVER_HANDOVER_MESSAGE_H_
