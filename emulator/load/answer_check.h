// Parses an answer as it arrives and verifies it against the deterministic
// token function.

#ifndef EMULATOR_LOAD_ANSWER_CHECK_H_
#define EMULATOR_LOAD_ANSWER_CHECK_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/http/http.h"
#include "emulator/load/load_plan.h"

namespace filbertshift::emulator {

// Outcome of a request as seen by its caller.
struct AnswerResult {
  // "ok" or a failure code.
  std::string code;
  // not_run, run or unknown from the error body; empty without one.
  std::string run;
  std::string text;
  // Number of bad-quality tokens in a correct answer.
  std::size_t bad_tokens = 0;
  // Arrival times of the token chunks of a stream.
  std::vector<SteadyTime> token_times;
};

class AnswerCheck {
 public:
  // `request` must outlive the object.
  explicit AnswerCheck(const PlannedRequest& request);

  void OnBytes(std::string_view bytes, SteadyTime now);

  // To be called once, after the end of the response. `version_label` is
  // "model:version".
  AnswerResult Finish(int http_status, const std::string& version_label);

 private:
  void ParseEvents(SteadyTime now);
  void ParseEvent(const std::string& data, SteadyTime now);
  void ParseResponseBody();
  void ParseError(const Json& body);
  std::string ValidateAnswer(const std::string& version_label);

  const PlannedRequest& request_;
  std::string buffer_;
  bool done_ = false;
  bool has_finish_reason_ = false;
  bool malformed_ = false;
  std::string error_code_;
  AnswerResult result_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_LOAD_ANSWER_CHECK_H_
