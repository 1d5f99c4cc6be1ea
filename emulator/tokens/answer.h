// The deterministic answer of an emulated engine, so that a checker can
// recompute every answer from the request and the version that ran it.

#ifndef EMULATOR_TOKENS_ANSWER_H_
#define EMULATOR_TOKENS_ANSWER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace filbertshift::emulator {

enum class AnswerQuality { kGood, kBad };

// "model:version": the name of a version in the token function and in the
// header X-Model-Version.
std::string VersionLabel(const std::string& model, const std::string& version);

// The answer of one version to one prompt.
class Answer {
 public:
  Answer(std::string version_label, std::string prompt);

  // " w<index>-<hash>" for good and " bad<index>-<hash>" for bad quality. The
  // hash covers version label, prompt and index.
  std::string Token(std::size_t index, AnswerQuality quality) const;

  // Number of tokens if the request has no max_tokens: 16 to 127, by a hash of
  // the prompt.
  std::size_t NaturalLength() const;

  // The number of whole tokens in `text` if it is the start of this answer,
  // where tokens may be of either quality; else nothing. `partial` receives
  // the number of characters of a token that was begun at the end of the text,
  // and `bad_tokens` the number of whole tokens of bad quality.
  struct Match {
    std::size_t tokens = 0;
    std::size_t partial = 0;
    std::size_t bad_tokens = 0;
  };
  std::optional<Match> MatchPrefix(std::string_view text) const;

 private:
  std::string version_label_;
  std::string prompt_;
};

// 64-bit hash in hexadecimal digits, to name prompts in histories.
std::string TextHash(std::string_view text);

}  // namespace filbertshift::emulator

#endif  // EMULATOR_TOKENS_ANSWER_H_
