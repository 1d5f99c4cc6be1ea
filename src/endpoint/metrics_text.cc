#include "src/endpoint/metrics_text.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace filbertshift {

namespace {

struct Sample {
  std::string_view name;
  double value = 0;
  // Milliseconds since 1970; zero if absent.
  double timestamp = 0;
};

// Parses a finite number at the start of `text` and removes it; returns false
// if there is none.
bool ConsumeNumber(std::string_view* text, double* number) {
  const std::size_t start = text->find_first_not_of(" \t");
  if (start == std::string_view::npos) {
    return false;
  }
  text->remove_prefix(start);
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, *number);
  if (parsed.ec != std::errc() || !std::isfinite(*number)) {
    return false;
  }
  text->remove_prefix(static_cast<std::size_t>(parsed.ptr - text->data()));
  return true;
}

bool ParseSample(std::string_view line, Sample* sample) {
  if (line.empty() || line.front() == '#') {
    return false;
  }
  const std::size_t name_end = line.find_first_of("{ \t");
  if (name_end == std::string_view::npos) {
    return false;
  }
  sample->name = line.substr(0, name_end);
  line.remove_prefix(name_end);
  if (line.front() == '{') {
    const std::size_t labels_end = line.rfind('}');
    if (labels_end == std::string_view::npos) {
      return false;
    }
    line.remove_prefix(labels_end + 1);
  }
  if (!ConsumeNumber(&line, &sample->value)) {
    return false;
  }
  ConsumeNumber(&line, &sample->timestamp);
  return true;
}

bool EndsWith(std::string_view text, std::string_view suffix) {
  return text.size() >= suffix.size() &&
         text.substr(text.size() - suffix.size()) == suffix;
}

std::chrono::milliseconds ToMilliseconds(double milliseconds) {
  // Values outside the range of the integer type would make the conversion
  // undefined.
  constexpr double kMaxMilliseconds = 1e15;
  if (milliseconds <= 0 || milliseconds > kMaxMilliseconds) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::milliseconds(std::llround(milliseconds));
}

int ToCount(double value) {
  constexpr double kMaxCount = 1e6;
  return static_cast<int>(std::clamp(value, 0.0, kMaxCount));
}

void ApplySample(const Sample& sample, EndpointMetrics* metrics) {
  constexpr double kMillisecondsPerSecond = 1000.0;
  if (sample.name == "process_start_time_seconds") {
    metrics->start_time = ToMilliseconds(sample.value * kMillisecondsPerSecond);
    metrics->sample_time = ToMilliseconds(sample.timestamp);
  } else if (EndsWith(sample.name, "num_requests_running")) {
    metrics->running += ToCount(sample.value);
  } else if (EndsWith(sample.name, "num_requests_waiting")) {
    metrics->waiting += ToCount(sample.value);
  }
}

}  // namespace

EndpointMetrics ParseEndpointMetrics(std::string_view page) {
  EndpointMetrics metrics;
  while (!page.empty()) {
    const std::size_t line_end = std::min(page.find('\n'), page.size());
    Sample sample;
    if (ParseSample(page.substr(0, line_end), &sample)) {
      ApplySample(sample, &metrics);
    }
    page.remove_prefix(std::min(line_end + 1, page.size()));
  }
  return metrics;
}

}  // namespace filbertshift
