// Sequential detection of an increase in the share of bad responses.

#ifndef SRC_POLICY_CHANGE_DETECTOR_H_
#define SRC_POLICY_CHANGE_DETECTOR_H_

#include <vector>

namespace filbertshift {

struct ChangeDetectorOptions {
  // Increases over the reference share to test for. There are several, because
  // a test for a small increase is slow to detect a large one.
  std::vector<double> increases = {0.05, 0.2, 0.5};
  // Upper bound on the false alarm probability per response, over all
  // increases. The expected number of responses between false alarms is at
  // least its inverse.
  double false_alarm_per_answer = 1e-5;
};

// Runs one CUSUM test (Page's test) per increase. Each sum is the
// log-likelihood ratio of "share is reference + increase" against "share is
// reference", clamped at zero, so that a version that turns bad late is
// detected as fast as one that was bad from the start.
class ChangeDetector {
 public:
  explicit ChangeDetector(ChangeDetectorOptions options);

  // Adds one response. `reference` is the expected share of bad responses, in
  // (0, 1). Returns true once an increase is detected, until Reset() is called.
  bool Add(bool bad, double reference);
  bool alarmed() const { return alarmed_; }
  void Reset();

 private:
  const ChangeDetectorOptions options_;
  // Alarm threshold of each sum.
  double threshold_;
  // Invariant: one sum per increase, none negative.
  std::vector<double> sums_;
  bool alarmed_ = false;
};

}  // namespace filbertshift

#endif  // SRC_POLICY_CHANGE_DETECTOR_H_
