#include "emulator/tokens/answer.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <cstdint>
#include <utility>

namespace filbertshift::emulator {

namespace {

constexpr std::size_t kMinDefaultLength = 16;
constexpr std::size_t kDefaultLengthRange = 112;
constexpr std::uint64_t kTokenHashMask = 0xffffff;

std::uint64_t Hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

std::string VersionLabel(const std::string& model, const std::string& version) {
  return model + ":" + version;
}

Answer::Answer(std::string version_label, std::string prompt)
    : version_label_(std::move(version_label)), prompt_(std::move(prompt)) {}

std::string Answer::Token(std::size_t index, AnswerQuality quality) const {
  const std::uint64_t hash =
      Hash(fmt::format("{}\n{:x}\n{}", version_label_, Hash(prompt_), index)) &
      kTokenHashMask;
  return fmt::format(" {}{}-{:06x}",
                     quality == AnswerQuality::kGood ? "w" : "bad", index,
                     hash);
}

std::size_t Answer::DefaultLength() const {
  return kMinDefaultLength + Hash(prompt_) % kDefaultLengthRange;
}

std::optional<Answer::Match> Answer::MatchPrefix(std::string_view text) const {
  Match match;
  while (!text.empty()) {
    const std::string good = Token(match.tokens, AnswerQuality::kGood);
    const std::string bad = Token(match.tokens, AnswerQuality::kBad);
    if (text.substr(0, good.size()) == good) {
      text.remove_prefix(good.size());
    } else if (text.substr(0, bad.size()) == bad) {
      text.remove_prefix(bad.size());
      ++match.bad_tokens;
    } else if (good.compare(0, text.size(), text) == 0 ||
               bad.compare(0, text.size(), text) == 0) {
      match.partial_bytes = text.size();
      return match;
    } else {
      return std::nullopt;
    }
    ++match.tokens;
  }
  return match;
}

std::string TextHash(std::string_view text) {
  return fmt::format("{:016x}", Hash(text));
}

}  // namespace filbertshift::emulator
