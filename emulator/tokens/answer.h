// Deterministic answers of emulated engines. A test can recompute every answer
// from the request and the version that served it.

#ifndef EMULATOR_TOKENS_ANSWER_H_
#define EMULATOR_TOKENS_ANSWER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace filbertshift::emulator {

enum class AnswerQuality { kGood, kBad };

// Returns "model:version", as used by the token function and in the header
// X-Model-Version.
std::string VersionLabel(const std::string& model, const std::string& version);

// The answer of a version to a prompt.
class Answer {
 public:
  Answer(std::string version_label, std::string prompt);

  // Returns " w<index>-<hash>" for good and " bad<index>-<hash>" for bad
  // quality. The hash covers the version label, the prompt and the index.
  std::string Token(std::size_t index, AnswerQuality quality) const;

  // Number of tokens of an answer without max_tokens: 16 to 127, derived from
  // the hash of the prompt.
  std::size_t DefaultLength() const;

  struct Match {
    // Complete tokens.
    std::size_t tokens = 0;
    // Bytes of an incomplete token at the end.
    std::size_t partial_bytes = 0;
    // Complete tokens of bad quality.
    std::size_t bad_tokens = 0;
  };
  // Matches `text` against the start of this answer, with tokens of either
  // quality. Returns nullopt if it differs.
  std::optional<Match> MatchPrefix(std::string_view text) const;

 private:
  std::string version_label_;
  std::string prompt_;
};

// 64-bit hash in hexadecimal, which identifies prompts and bodies in records.
std::string TextHash(std::string_view text);

}  // namespace filbertshift::emulator

#endif  // EMULATOR_TOKENS_ANSWER_H_
