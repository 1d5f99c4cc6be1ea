#include "src/fleet/time_histogram.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace filbertshift {

namespace {

// Far above the number of requests of one rollout; sums stay in range.
constexpr std::int64_t kMaxCount = 1'000'000'000;

int BinOf(std::chrono::microseconds time) {
  constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
  auto milliseconds = static_cast<double>(std::max<std::int64_t>(
                          time.count(), kMicrosecondsPerMillisecond)) /
                      static_cast<double>(kMicrosecondsPerMillisecond);
  double bin =
      std::floor(std::log2(milliseconds) * TimeHistogram::kBinsPerDoubling);
  return static_cast<int>(
      std::min(bin, static_cast<double>(TimeHistogram::kBins - 1)));
}

std::optional<std::int64_t> ParseCount(std::string_view text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || value < 0 ||
      value > kMaxCount) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

void TimeHistogram::Add(std::chrono::microseconds time) {
  ++counts_[static_cast<std::size_t>(BinOf(time))];
  ++total_;
}

void TimeHistogram::Add(const TimeHistogram& other) {
  for (std::size_t bin = 0; bin < counts_.size(); ++bin) {
    counts_[bin] += other.counts_[bin];
  }
  total_ += other.total_;
}

std::string EncodeTimeHistogram(const TimeHistogram& histogram) {
  int last = TimeHistogram::kBins - 1;
  while (last >= 0 && histogram.count(last) == 0) {
    --last;
  }
  if (last < 0) {
    return "";
  }
  int first = 0;
  while (histogram.count(first) == 0) {
    ++first;
  }
  std::string text = fmt::format("{}:", first);
  for (int bin = first; bin <= last; ++bin) {
    if (bin > first) {
      text += ',';
    }
    if (histogram.count(bin) > 0) {
      text += fmt::format("{}", histogram.count(bin));
    }
  }
  return text;
}

TimeHistogram DecodeTimeHistogram(std::string_view text) {
  std::size_t colon = text.find(':');
  if (colon == std::string_view::npos) {
    return {};
  }
  std::optional<std::int64_t> first = ParseCount(text.substr(0, colon));
  if (!first.has_value()) {
    return {};
  }
  TimeHistogram histogram;
  std::string_view rest = text.substr(colon + 1);
  for (std::int64_t bin = *first;; ++bin) {
    std::size_t comma = rest.find(',');
    std::string_view field = rest.substr(0, comma);
    std::optional<std::int64_t> count =
        field.empty() ? std::int64_t{0} : ParseCount(field);
    if (!count.has_value() || bin >= TimeHistogram::kBins) {
      return {};
    }
    histogram.counts_[static_cast<std::size_t>(bin)] = *count;
    histogram.total_ += *count;
    if (comma == std::string_view::npos) {
      return histogram;
    }
    rest.remove_prefix(comma + 1);
  }
}

}  // namespace filbertshift
