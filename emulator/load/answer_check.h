// Reads one answer as it arrives and checks it against the deterministic
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

// How one request ended for its caller.
struct AnswerResult {
  // "ok", or why it failed.
  std::string code;
  // not_run, run or unknown from an error body; empty if there is none.
  std::string run;
  std::string text;
  // Tokens of bad quality in a correct answer.
  std::size_t bad_tokens = 0;
  // Token chunks of a stream in order of arrival.
  std::vector<SteadyTime> token_times;
};

class AnswerCheck {
 public:
  explicit AnswerCheck(const PlannedRequest& request);

  void OnBytes(std::string_view bytes, SteadyTime now);

  // After the end of the response. `version_label` is "model:version".
  AnswerResult Finish(int http_status, const std::string& version_label);

 private:
  void ReadEvents(SteadyTime now);
  void ReadEvent(const std::string& data, SteadyTime now);
  void ReadWholeAnswer();
  void ReadError(const Json& body);
  std::string Verdict(const std::string& version_label);

  const PlannedRequest& request_;
  std::string buffer_;
  bool done_ = false;
  bool finish_reason_ = false;
  bool malformed_ = false;
  std::string error_code_;
  AnswerResult result_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_LOAD_ANSWER_CHECK_H_
