#include "emulator/rating/score_table.h"

#include <xxhash.h>

#include <algorithm>
#include <random>

namespace filbertshift::emulator {

namespace {

// Prefix of low-quality tokens in the answers of emulated engines.
constexpr const char* kBadTokenPrefix = " bad";

bool Matches(const std::string& pattern, const std::string& value) {
  return pattern == "*" || pattern == value;
}

}  // namespace

RatedAnswer ReadRatedAnswer(const std::string& body) {
  ControlReader reader(body);
  RatedAnswer answer;
  bool complete = reader.Read("model", &answer.model);
  complete = reader.Read("version", &answer.version) && complete;
  complete = reader.Read("prompt", &answer.prompt) && complete;
  complete = reader.Read("answer", &answer.answer) && complete;
  reader.Read("quality_class", &answer.quality_class);
  if (!complete) {
    throw ControlError("model, version, prompt and answer are needed");
  }
  return answer;
}

void ScoreTable::Apply(ControlReader* control) {
  Json scores;
  if (control->Read("scores", &scores)) {
    std::vector<Entry> entries;
    for (const Json& json : scores) {
      entries.push_back(ReadEntry(json));
    }
    entries_ = entries;
  }
  control->Read("default_score", &default_score_);
  control->Read("noise", &noise_);
  control->Read("seed", &seed_);
  control->Read("bad_factor", &bad_factor_);
}

double ScoreTable::Score(const RatedAnswer& answer) const {
  if (answer.answer.empty()) {
    return 0;
  }
  double score = default_score_;
  for (const Entry& entry : entries_) {
    if (Matches(entry.model, answer.model) &&
        Matches(entry.version, answer.version) &&
        Matches(entry.quality_class, answer.quality_class)) {
      score = entry.score;
    }
  }
  score += Noise(answer);
  if (answer.answer.find(kBadTokenPrefix) != std::string::npos) {
    score *= bad_factor_;
  }
  return std::clamp(score, 0.0, 1.0);
}

ScoreTable::Entry ScoreTable::ReadEntry(const Json& json) {
  ControlReader reader(json.dump());
  Entry entry;
  reader.Read("model", &entry.model);
  reader.Read("version", &entry.version);
  reader.Read("quality_class", &entry.quality_class);
  const bool has_score = reader.Read("score", &entry.score);
  reader.Finish();
  if (!has_score || entry.score < 0 || entry.score > 1) {
    throw ControlError("score: a number from 0 to 1 is needed");
  }
  return entry;
}

double ScoreTable::Noise(const RatedAnswer& answer) const {
  const std::string text = answer.model + '\n' + answer.version + '\n' +
                           answer.quality_class + '\n' + answer.prompt + '\n' +
                           answer.answer;
  std::mt19937_64 random(XXH3_64bits_withSeed(text.data(), text.size(), seed_));
  return std::uniform_real_distribution<double>(-1, 1)(random) * noise_;
}

}  // namespace filbertshift::emulator
