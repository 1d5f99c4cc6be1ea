// Rate of requests that all instances together may send to a service. Every
// instance computes it from the same reports, so that no message is needed to
// agree on it.

#ifndef SRC_ADMISSION_FLEET_LIMIT_H_
#define SRC_ADMISSION_FLEET_LIMIT_H_

#include <chrono>
#include <optional>

#include "src/admission/service_state.h"

namespace filbertshift {

// Figures of the whole fleet.
struct FleetFigures {
  ServiceTraffic traffic;
  // Attempts that the mean response time is based on.
  double samples = 0;
  int slots = 0;
  // Not set if unknown.
  std::optional<double> free_slots;
  std::optional<double> in_flight;
  std::optional<double> service_ms;
  double objective_ms = 0;
};

class FleetLimit {
 public:
  // May be called for every request; changes the limit a few times a second.
  void Update(const FleetFigures& figures, TimePoint now);
  // Whether requests are held back.
  bool shedding() const { return limit_.has_value(); }
  // Share of the arriving requests that is sent, 0 to 1.
  double admitted_fraction() const { return fraction_; }

 private:
  // Whether requests wait too long at the endpoints.
  static bool IsCongested(const FleetFigures& figures);
  // Rate that the endpoints sustain, less what works off their queues.
  std::optional<double> SustainedRate(const FleetFigures& figures) const;
  void UpdateFreeShare(const FleetFigures& figures, TimePoint now);
  void Begin(const FleetFigures& figures, TimePoint now);
  void Step(const FleetFigures& figures, TimePoint now);
  void Cut(const FleetFigures& figures, TimePoint now);
  void SetFraction(double arrivals);

  // Requests a second; not set while everything is sent.
  std::optional<double> limit_;
  double fraction_ = 1;
  // Share of the capacity that may be used.
  double used_share_ = 1;
  int slots_ = 0;
  // Decayed over the latest updates: a single snapshot of a few slots is noisy.
  double free_share_ = 0;
  TimePoint updated_at_{};
  TimePoint stepped_at_{};
  TimePoint cut_at_{};
};

}  // namespace filbertshift

#endif  // SRC_ADMISSION_FLEET_LIMIT_H_
