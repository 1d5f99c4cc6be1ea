#include "src/common/buffered_event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <string>
#include <utility>
#include <vector>

namespace filbertshift {

namespace {

// Delay after a wake-up that collects further lines into one batch, so that the
// writer thread wakes up less often.
constexpr std::chrono::milliseconds kBatchDelay{50};
constexpr std::chrono::milliseconds kIdleTimeout{1000};
// Limits how long a stalled reader can delay the exit of the process.
constexpr int kWritePollTimeoutMs = 200;

}  // namespace

BufferedEventLog::BufferedEventLog(const Clock& clock,
                                   InstanceId instance,
                                   DataCentreId data_centre,
                                   Severity min_severity,
                                   int descriptor,
                                   std::size_t capacity)
    : clock_(clock),
      instance_(std::move(instance)),
      data_centre_(std::move(data_centre)),
      min_severity_(min_severity),
      descriptor_(descriptor),
      lines_(capacity),
      writer_thread_([this] { RunWriter(); }) {}

BufferedEventLog::~BufferedEventLog() {
  stop_requested_ = true;
  // Wakes the writer, which would wait for kIdleTimeout. A full queue has woken
  // it already.
  lines_.TryPush(std::string());
  writer_thread_.join();
}

void BufferedEventLog::Write(EventId event,
                             const EventContext& context,
                             std::string detail) {
  const EventDefinition& definition = FindEventDefinition(event);
  if (definition.severity < min_severity_) {
    return;
  }
  std::string line = FormatEventLine(clock_.WallNow(), definition, instance_,
                                     data_centre_, context, detail);
  if (!lines_.TryPush(std::move(line))) {
    ++dropped_;
  }
}

void BufferedEventLog::RunWriter() {
  while (true) {
    bool final_pass = stop_requested_;
    std::vector<std::string> lines;
    lines_.PopAll(&lines);
    std::string text = FormatDroppedLines();
    for (const std::string& line : lines) {
      text += line;
    }
    if (!text.empty() && !WriteAll(text)) {
      dropped_ += lines.size();
    }
    if (final_pass) {
      return;
    }
    lines_.Wait(kIdleTimeout);
    std::this_thread::sleep_for(kBatchDelay);
  }
}

std::string BufferedEventLog::FormatDroppedLines() {
  std::uint64_t dropped = dropped_;
  if (dropped == reported_dropped_) {
    return std::string();
  }
  std::string detail = "lines=" + std::to_string(dropped - reported_dropped_);
  reported_dropped_ = dropped;
  return FormatEventLine(clock_.WallNow(),
                         FindEventDefinition(EventId::kLogLinesDropped),
                         instance_, data_centre_, EventContext(), detail);
}

bool BufferedEventLog::WriteAll(const std::string& text) {
  std::size_t offset = 0;
  while (offset < text.size()) {
    pollfd poll_descriptor{descriptor_, POLLOUT, 0};
    int ready = poll(&poll_descriptor, 1, kWritePollTimeoutMs);
    if (ready == 0 && stop_requested_) {
      return false;
    }
    if (ready <= 0) {
      continue;
    }
    // A writable pipe accepts at least this many bytes without blocking.
    std::size_t size =
        std::min<std::size_t>(text.size() - offset, _POSIX_PIPE_BUF);
    ssize_t written = write(descriptor_, text.data() + offset, size);
    if (written < 0 && errno != EINTR && errno != EAGAIN) {
      return false;
    }
    offset += written > 0 ? static_cast<std::size_t>(written) : 0;
  }
  return true;
}

}  // namespace filbertshift
