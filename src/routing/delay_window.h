// Sliding window over the latest delays of one kind at one endpoint, with mean
// and standard deviation.

#ifndef SRC_ROUTING_DELAY_WINDOW_H_
#define SRC_ROUTING_DELAY_WINDOW_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace filbertshift {

// Sums are integers in microseconds: floating-point sums would accumulate
// rounding errors as samples are added and removed.
class DelayWindow {
 public:
  // Replaces the oldest sample once the window holds `capacity` (at least 1).
  void Add(std::chrono::microseconds delay, std::size_t capacity) {
    const std::uint64_t sample = static_cast<std::uint64_t>(
        std::clamp(delay, std::chrono::microseconds(0), kMaxDelay).count());
    if (samples_.size() < capacity) {
      samples_.push_back(static_cast<std::uint32_t>(sample));
    } else {
      const std::uint64_t oldest = samples_[next_];
      sum_ -= oldest;
      sum_of_squares_ -= oldest * oldest;
      samples_[next_] = static_cast<std::uint32_t>(sample);
      next_ = (next_ + 1) % capacity;
    }
    sum_ += sample;
    sum_of_squares_ += sample * sample;
  }

  std::size_t size() const { return samples_.size(); }

  // In microseconds; undefined for an empty window.
  double Mean() const { return static_cast<double>(sum_) / Count(); }
  double Deviation() const {
    const double mean = Mean();
    return std::sqrt(std::max(0.0, MeanSquare() - mean * mean));
  }
  // Root mean square of the differences from `period` (microseconds).
  double RootMeanSquareBeyond(double period) const {
    return std::sqrt(
        std::max(0.0, MeanSquare() - 2 * period * Mean() + period * period));
  }

 private:
  // Longer delays are clamped, so that the sum of squares of up to 5,000
  // samples fits into 64 bits.
  static constexpr std::chrono::microseconds kMaxDelay =
      std::chrono::seconds(60);

  double Count() const { return static_cast<double>(samples_.size()); }
  double MeanSquare() const {
    return static_cast<double>(sum_of_squares_) / Count();
  }

  // Ring buffer; next_ is the index of the oldest sample once it is full.
  std::vector<std::uint32_t> samples_;
  std::size_t next_ = 0;
  // Invariant: sums over samples_ and over the squares of samples_.
  std::uint64_t sum_ = 0;
  std::uint64_t sum_of_squares_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_DELAY_WINDOW_H_
