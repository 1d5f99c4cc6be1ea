// Scores returned by the emulated rating service.

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

// Parses the body of a rating request. Throws ControlError.
RatedAnswer ReadRatedAnswer(const std::string& body);

// Not thread-safe.
class ScoreTable {
 public:
  // Applies the keys scores (a list of {model, version, quality_class, score}
  // where "*" or an absent key matches everything), default_score, noise, seed
  // and bad_factor. Throws ControlError.
  void Apply(ControlReader* control);

  // Returns the score of the last matching entry plus noise, limited to [0, 1].
  // The noise depends only on the seed and `answer`. The score of an answer
  // with low-quality tokens is multiplied by bad_factor; an empty answer scores
  // 0.
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
  // Maximum deviation in either direction.
  double noise_ = 0.05;
  std::uint64_t seed_ = 1;
  double bad_factor_ = 0.2;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_RATING_SCORE_TABLE_H_
