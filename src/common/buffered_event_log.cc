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

// Lines are collected for this long, so that the writer wakes up seldom.
constexpr std::chrono::milliseconds kCollectTime{50};
constexpr std::chrono::milliseconds kIdleWait{1000};
// How long a reader that has stopped may hold up the end of the process.
constexpr int kPollMs = 200;

}  // namespace

BufferedEventLog::BufferedEventLog(const Clock& clock,
                                   InstanceId instance,
                                   DataCentreId data_centre,
                                   Severity least_severity,
                                   int descriptor,
                                   std::size_t capacity)
    : clock_(clock),
      instance_(std::move(instance)),
      data_centre_(std::move(data_centre)),
      least_severity_(least_severity),
      descriptor_(descriptor),
      lines_(capacity),
      writer_([this] { WriteLines(); }) {}

BufferedEventLog::~BufferedEventLog() {
  stopping_ = true;
  writer_.join();
}

void BufferedEventLog::Write(EventId event,
                             const EventContext& context,
                             std::string detail) {
  const EventDefinition& definition = FindEventDefinition(event);
  if (definition.severity < least_severity_) {
    return;
  }
  std::string line = FormatEventLine(clock_.WallNow(), definition, instance_,
                                     data_centre_, context, detail);
  if (!lines_.TryPush(std::move(line))) {
    ++dropped_;
  }
}

void BufferedEventLog::WriteLines() {
  while (true) {
    bool last_round = stopping_;
    std::vector<std::string> lines;
    lines_.PopAll(&lines);
    std::string text = DroppedLine();
    for (const std::string& line : lines) {
      text += line;
    }
    if (!text.empty() && !WriteAll(text)) {
      dropped_ += lines.size();
    }
    if (last_round) {
      return;
    }
    lines_.Wait(kIdleWait);
    std::this_thread::sleep_for(kCollectTime);
  }
}

std::string BufferedEventLog::DroppedLine() {
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
    pollfd waiting{descriptor_, POLLOUT, 0};
    int ready = poll(&waiting, 1, kPollMs);
    if (ready == 0 && stopping_) {
      return false;
    }
    if (ready <= 0) {
      continue;
    }
    // At most what a pipe takes without blocking once it is writable.
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
