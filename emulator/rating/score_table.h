// The scores that the emulated rating service gives.

#ifndef EMULATOR_RATING_SCORE_TABLE_H_
#define EMULATOR_RATING_SCORE_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/http/http.h"

namespace filbertshift::emulator {

struct RatedAnswer {
  std::string model;
  std::string version;
  std::string quality_class;
  std::string prompt;
  std::string answer;
};

// Reads the body of a request. Throws ControlError.
RatedAnswer ReadRatedAnswer(const std::string& body);

// Not thread-safe.
class ScoreTable {
 public:
  // Keys: scores (a list of {model, version, quality_class, score} where "*"
  // or an absent key matches everything), default_score, noise, seed,
  // bad_factor. Throws ControlError.
  void Apply(ControlReader* control);

  // From 0 to 1: the score of the last entry that matches, plus noise that
  // depends only on the seed and the answer. Answers with tokens of bad
  // quality are multiplied by bad_factor. An empty answer has score 0.
  double Score(const RatedAnswer& answer) const;

 private:
  struct Entry {
    std::string model = "*";
    std::string version = "*";
    std::string quality_class = "*";
    double score = 0;
  };

  static Entry ReadEntry(const Json& json);
  double Noise(const RatedAnswer& answer) const;

  std::vector<Entry> entries_;
  double default_score_ = 0.9;
  // Greatest deviation in either direction.
  double noise_ = 0.05;
  std::uint64_t seed_ = 1;
  double bad_factor_ = 0.2;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_RATING_SCORE_TABLE_H_
