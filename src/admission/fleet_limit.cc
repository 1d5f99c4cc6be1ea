#include "src/admission/fleet_limit.h"

#include <algorithm>
#include <cmath>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Share of the capacity that is used at first: the rest absorbs the randomness
// of arrivals, which would otherwise wait in the endpoints' queues.
constexpr double kUsedShare = 0.92;
// The share rises to this while responses are quick: the learned service time
// includes the time on the network, so that the capacity is underestimated.
constexpr double kMaxUsedShare = 1.0;
constexpr double kUsedShareStep = 0.01;
// Share of the objective that a response may take on the mean.
constexpr double kMaxResponseShare = 0.7;
// Below this the limit may rise again.
constexpr double kGoodResponseShare = 0.5;
// A cut is based on what the endpoints answered; twice a second at most, since
// its effect is reported that much later.
constexpr double kCutFactor = 0.85;
constexpr milliseconds kCutInterval{500};
constexpr milliseconds kStepInterval{250};
constexpr double kMaxSteps = 4;
constexpr milliseconds kUpdateInterval{50};
constexpr double kRecoveryFactor = 1.03;
// With this share of slots free, the capacity was underestimated.
constexpr double kIdleFactor = 1.15;
constexpr double kIdleFreeShare = 0.3;
// With this share free, the overload is over: the arrivals of the latest second
// show that later. The second part is for the noise of a report, which is
// smaller the more slots there are.
constexpr double kOpenFreeShare = 0.33;
constexpr double kFreeShareNoise = 0.78;
// At 0.92 of the capacity, a tenth of the slots is free on the mean; nothing is
// held back while more than this is.
constexpr double kBusyFreeShare = 0.15;
// A report holds for 300 ms.
constexpr milliseconds kFreeShareDecay{250};
// Requests in progress for each slot that need not be worked off, those that
// are too many, and the time in which the excess is worked off.
constexpr double kGoodQueuePerSlot = 1.5;
constexpr double kLongQueuePerSlot = 2.0;
constexpr double kDrainSeconds = 1.0;
constexpr double kMinUsedShare = 0.4;
// The limit ends when it exceeds the arrivals by this much.
constexpr double kEndFactor = 1.05;
// Fewer attempts say nothing about the response time.
constexpr double kMinSamples = 4;
// Nothing is cut below this share of the arrivals at once.
constexpr double kMinCutShare = 0.3;

}  // namespace

bool FleetLimit::IsCongested(const FleetFigures& figures) {
  // The response times are those of the latest second; the queues may be worked
  // off since.
  if (figures.in_flight.has_value() &&
      *figures.in_flight < kLongQueuePerSlot * figures.slots) {
    return false;
  }
  return figures.samples >= kMinSamples &&
         figures.traffic.MeanMs(figures.objective_ms) >
             figures.objective_ms * kMaxResponseShare;
}

std::optional<double> FleetLimit::SustainedRate(
    const FleetFigures& figures) const {
  if (!figures.service_ms.has_value()) {
    return std::nullopt;
  }
  double capacity = figures.slots * 1000 / *figures.service_ms;
  double queued = figures.in_flight.has_value()
                      ? std::max(0.0, *figures.in_flight -
                                          kGoodQueuePerSlot * figures.slots)
                      : 0;
  return std::max(used_share_ * capacity - queued / kDrainSeconds,
                  kMinUsedShare * capacity);
}

void FleetLimit::Update(const FleetFigures& figures, TimePoint now) {
  bool lost_slots = figures.slots < slots_;
  if (now - updated_at_ < kUpdateInterval && !lost_slots) {
    return;
  }
  slots_ = figures.slots;
  UpdateFreeShare(figures, now);
  updated_at_ = now;
  if (limit_.has_value()) {
    Step(figures, now);
  } else {
    Begin(figures, now);
  }
  SetFraction(figures.traffic.arrivals);
}

void FleetLimit::UpdateFreeShare(const FleetFigures& figures, TimePoint now) {
  double share = figures.free_slots.has_value()
                     ? *figures.free_slots / std::max(figures.slots, 1)
                     : 0;
  std::chrono::duration<double, std::milli> age = now - updated_at_;
  double weight =
      1 - std::exp(-age.count() / static_cast<double>(kFreeShareDecay.count()));
  free_share_ += weight * (share - free_share_);
}

void FleetLimit::Begin(const FleetFigures& figures, TimePoint now) {
  if (figures.free_slots.has_value() && free_share_ > kBusyFreeShare) {
    used_share_ = kMaxUsedShare;
    return;
  }
  std::optional<double> sustained = SustainedRate(figures);
  // Without reports, the own arrivals times the number of instances are too
  // noisy to refuse requests for; the own response times are not.
  if (figures.free_slots.has_value() && sustained.has_value() &&
      figures.traffic.arrivals > *sustained) {
    used_share_ = kUsedShare;
    limit_ = SustainedRate(figures);
    stepped_at_ = now;
  }
  if (IsCongested(figures)) {
    Cut(figures, now);
  }
}

void FleetLimit::Cut(const FleetFigures& figures, TimePoint now) {
  if (now - cut_at_ < kCutInterval) {
    return;
  }
  cut_at_ = now;
  stepped_at_ = now;
  used_share_ = kUsedShare;
  double cut = std::max(kCutFactor * figures.traffic.answers,
                        kMinCutShare * figures.traffic.arrivals);
  limit_ = std::min(limit_.value_or(cut), cut);
}

void FleetLimit::Step(const FleetFigures& figures, TimePoint now) {
  bool is_known = figures.free_slots.has_value();
  bool idle = is_known && free_share_ > kIdleFreeShare;
  if (IsCongested(figures) && !idle) {
    Cut(figures, now);
  } else if (now - stepped_at_ >= kStepInterval) {
    // Instances with few requests are updated rarely and must not fall behind.
    auto steps = std::min<double>(
        static_cast<double>((now - stepped_at_) / kStepInterval), kMaxSteps);
    stepped_at_ = now;
    bool good = figures.traffic.MeanMs(figures.objective_ms) <
                figures.objective_ms * kGoodResponseShare;
    if (idle) {
      *limit_ *= std::pow(kIdleFactor, steps);
    } else if (good) {
      *limit_ *= std::pow(kRecoveryFactor, steps);
      used_share_ =
          std::min(used_share_ + steps * kUsedShareStep, kMaxUsedShare);
    }
  }
  std::optional<double> sustained = SustainedRate(figures);
  if (sustained.has_value() && is_known && !idle) {
    limit_ = std::min(*limit_, *sustained);
  }
  if (*limit_ > figures.traffic.arrivals * kEndFactor ||
      (is_known &&
       free_share_ >
           kOpenFreeShare + kFreeShareNoise / std::sqrt(figures.slots))) {
    limit_.reset();
  }
}

void FleetLimit::SetFraction(double arrivals) {
  fraction_ = limit_.has_value() && arrivals > 0
                  ? std::clamp(*limit_ / arrivals, 0.0, 1.0)
                  : 1;
}

}  // namespace filbertshift
