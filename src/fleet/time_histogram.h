// Log-scaled histogram of durations. Histograms of several instances are added
// up, and are short enough for their rows.

#ifndef SRC_FLEET_TIME_HISTOGRAM_H_
#define SRC_FLEET_TIME_HISTOGRAM_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace filbertshift {

class TimeHistogram {
 public:
  // Four bins for each doubling, from one millisecond to about a minute. Times
  // beyond either end are counted in the outermost bins.
  static constexpr int kBins = 64;
  static constexpr int kBinsPerDoubling = 4;

  void Add(std::chrono::microseconds time);
  void Add(const TimeHistogram& other);

  std::int64_t total() const { return total_; }
  std::int64_t count(int bin) const {
    return counts_[static_cast<std::size_t>(bin)];
  }

 private:
  friend TimeHistogram DecodeTimeHistogram(std::string_view text);

  std::array<std::int64_t, kBins> counts_{};
  // Invariant: sum of `counts_`.
  std::int64_t total_ = 0;
};

// "FIRST:COUNT,COUNT,...": the first bin that is not empty and the counts from
// there on; an empty count is zero. An empty histogram is an empty text.
std::string EncodeTimeHistogram(const TimeHistogram& histogram);
// Returns an empty histogram if the text is not valid.
TimeHistogram DecodeTimeHistogram(std::string_view text);

}  // namespace filbertshift

#endif  // SRC_FLEET_TIME_HISTOGRAM_H_
