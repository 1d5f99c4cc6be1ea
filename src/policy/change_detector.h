// Sequential detection of a rise in the share of bad answers.

#ifndef SRC_POLICY_CHANGE_DETECTOR_H_
#define SRC_POLICY_CHANGE_DETECTOR_H_

#include <vector>

namespace filbertshift {

struct ChangeDetectorOptions {
  // Rises over the reference share that are looked for. Several, since a test
  // for a small rise is slow to see a large one.
  std::vector<double> rises = {0.05, 0.2, 0.5};
  // Bound on the chance of a false alarm for each answer, over all rises. The
  // expected number of answers between false alarms is at least its inverse.
  double false_alarm_per_answer = 1e-5;
};

// One cumulative sum (Page's test) for each rise. Each sum is the log
// likelihood ratio of "share is reference + rise" against "share is the
// reference", cut off at zero, so that a version that turns bad late is seen as
// fast as one that was bad from the start.
class ChangeDetector {
 public:
  explicit ChangeDetector(ChangeDetectorOptions options);

  // Adds one answer. `reference` is the share of bad answers that is normal, in
  // (0, 1). True if the share has risen; stays true until Reset.
  bool Add(bool bad, double reference);
  bool alarmed() const { return alarmed_; }
  void Reset();

 private:
  const ChangeDetectorOptions options_;
  // Threshold of each sum.
  double threshold_;
  // Invariant: one sum for each rise, none negative.
  std::vector<double> sums_;
  bool alarmed_ = false;
};

}  // namespace filbertshift

#endif  // SRC_POLICY_CHANGE_DETECTOR_H_
