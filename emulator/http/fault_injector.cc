#include "emulator/http/fault_injector.h"

#include <algorithm>

namespace filbertshift::emulator {

namespace {

Availability ParseAvailability(const Json& value) {
  if (value == Json(false) || value == "none") {
    return Availability::kUp;
  }
  if (value == Json(true) || value == "refuse") {
    return Availability::kRefusing;
  }
  if (value == "503") {
    return Availability::kAnswering503;
  }
  if (value == "hang") {
    return Availability::kHanging;
  }
  throw ControlError("down: expected false, true, refuse, 503 or hang");
}

}  // namespace

void FaultInjector::Apply(ControlReader* control) {
  std::lock_guard<std::mutex> lock(mutex_);
  FaultSettings changed = settings_;
  Json down;
  if (control->Read("down", &down)) {
    changed.availability = ParseAvailability(down);
  }
  control->ReadDuration("delay_ms", &changed.delay);
  control->ReadDuration("reply_delay_ms", &changed.reply_delay);
  control->Read("drop_replies", &changed.drop_replies);
  control->Read("writes_per_s", &changed.writes_per_second);
  control->Read("reads_per_s", &changed.reads_per_second);
  control->Finish();
  settings_ = changed;
}

Admission FaultInjector::Admit(bool write,
                               std::chrono::steady_clock::time_point now) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (settings_.availability == Availability::kHanging) {
    return Admission::kHanging;
  }
  if (settings_.availability != Availability::kUp) {
    return Admission::kUnavailable;
  }
  const bool within_limit =
      write ? TryConsume(&writes_, settings_.writes_per_second, now)
            : TryConsume(&reads_, settings_.reads_per_second, now);
  return within_limit ? Admission::kAdmitted : Admission::kThrottled;
}

bool FaultInjector::ConsumeReplyDrop(bool write) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (!write || settings_.drop_replies <= 0) {
    return false;
  }
  --settings_.drop_replies;
  return true;
}

FaultSettings FaultInjector::settings() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return settings_;
}

bool FaultInjector::TryConsume(TokenBucket* bucket,
                               double rate,
                               std::chrono::steady_clock::time_point now) {
  if (rate <= 0) {
    return true;
  }
  const std::chrono::duration<double> passed = now - bucket->filled;
  bucket->filled = now;
  bucket->tokens =
      std::min(std::max(rate, 1.0), bucket->tokens + passed.count() * rate);
  if (bucket->tokens < 1) {
    return false;
  }
  bucket->tokens -= 1;
  return true;
}

}  // namespace filbertshift::emulator
