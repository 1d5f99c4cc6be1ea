#include "src/dispatch/overflow_plan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace filbertshift {

namespace {

using std::chrono::milliseconds;

// Nothing leaves below this utilisation, nor for a destination that is less
// than kMinDifference (and the cost of the path) below the source.
constexpr double kMinUtilisation = 0.7;
constexpr double kMinDifference = 0.2;
// The same for a flow that exists. Reports are 0.6 s old; without the distance
// to the values above, a load near them would switch the flow on and off.
constexpr double kKeepUtilisation = 0.6;
constexpr double kKeepDifference = 0.1;
// A destination is not filled beyond the source by the reported loads, which
// are the same for all instances; what has moved is an estimate of each.
constexpr double kMaxReversal = 0.05;
// From these values on, a flow may exist in the view of another instance, and
// the destination counts as receiving.
constexpr double kPossibleUtilisation = 0.5;
constexpr double kPossibleDifference = 0.05;
// Largest growth of a share in a step, and largest decline of what leaves a
// data centre whose own endpoints are usable again.
constexpr double kMaxGrowth = 0.1;
// A data centre that receives sends nothing until this time after the end of
// the flow. Longer than the age of the oldest report that is used (1 s) and two
// steps, so that all instances have seen the flow.
constexpr milliseconds kQuietTime{2000};
constexpr double kMinShare = 0.005;

double Utilisation(double load, double capacity) {
  return capacity > 0 ? load / capacity : 0;
}

const DataCentreLoad* FindLoad(const OverflowInputs& inputs,
                               const DataCentreId& data_centre) {
  for (const DataCentreLoad& load : inputs.data_centres) {
    if (load.data_centre == data_centre) {
      return &load;
    }
  }
  return nullptr;
}

// The costs between two other data centres are not known here; those from the
// local one stand for them.
double PathCost(const DataCentreLoad& source, const DataCentreLoad& to) {
  return std::max(source.path_cost, to.path_cost);
}

}  // namespace

void OverflowPlan::UpdateMoved(const OverflowInputs& inputs,
                               std::chrono::nanoseconds time) {
  double hold = std::max<double>(
      1, std::chrono::duration<double, std::milli>(inputs.hold_time).count());
  double passed = std::chrono::duration<double, std::milli>(time).count();
  double weight = 1 - std::exp(-passed / hold);
  std::map<DataCentreId, double> offered;
  for (const DataCentreLoad& load : inputs.data_centres) {
    offered[load.data_centre] = OfferedLoad(load);
  }
  for (auto flow = flows_.begin(); flow != flows_.end();) {
    auto source = offered.find(flow->first.first);
    const DataCentreLoad* to = FindLoad(inputs, flow->first.second);
    if (source == offered.end() || to == nullptr) {
      flow = flows_.erase(flow);
      continue;
    }
    double& moved = flow->second.moved;
    moved += weight * (flow->second.share * source->second - moved);
    // Requests that did not leave after all, because it did not pay for them.
    moved = std::min(moved, to->load);
    ++flow;
  }
}

double OverflowPlan::OfferedLoad(const DataCentreLoad& centre) const {
  double load = centre.load;
  for (const auto& [pair, flow] : flows_) {
    if (pair.first == centre.data_centre) {
      load += flow.moved;
    } else if (pair.second == centre.data_centre) {
      load -= flow.moved;
    }
  }
  return std::max(load, 0.0);
}

bool OverflowPlan::Receives(const DataCentreId& data_centre,
                            TimePoint now) const {
  return std::any_of(flows_.begin(), flows_.end(), [&](const auto& item) {
    return item.first.second == data_centre &&
           item.second.active_at != TimePoint() &&
           now - item.second.active_at <= kQuietTime;
  });
}

bool OverflowPlan::Sends(const DataCentreId& data_centre) const {
  return std::any_of(flows_.begin(), flows_.end(), [&](const auto& item) {
    return item.first.first == data_centre && item.second.share > 0;
  });
}

std::map<DataCentreId, double> OverflowPlan::TargetsOf(
    const DataCentreLoad& source,
    const OverflowInputs& inputs,
    TimePoint now) const {
  std::map<DataCentreId, double> targets;
  double offered = OfferedLoad(source);
  double utilisation = Utilisation(offered, source.capacity);
  if (offered <= 0 || Receives(source.data_centre, now) ||
      utilisation < kKeepUtilisation) {
    return targets;
  }
  struct Destination {
    const DataCentreLoad* load;
    // Utilisation at which sending there would cost as much as it saves.
    double level;
  };
  std::vector<Destination> destinations;
  for (const DataCentreLoad& other : inputs.data_centres) {
    if (other.data_centre == source.data_centre || other.capacity <= 0 ||
        Sends(other.data_centre) ||
        Utilisation(other.load, other.capacity) >
            Utilisation(source.load, source.capacity) + kMaxReversal) {
      continue;
    }
    auto flow = flows_.find({source.data_centre, other.data_centre});
    bool exists = flow != flows_.end() && flow->second.share > 0;
    double level = Utilisation(OfferedLoad(other), other.capacity) +
                   PathCost(source, other);
    if (utilisation >= (exists ? kKeepUtilisation : kMinUtilisation) &&
        utilisation - level >= (exists ? kKeepDifference : kMinDifference)) {
      destinations.push_back({&other, level});
    }
  }
  // Raises the emptiest destinations to the level that the source and they then
  // share: with one destination of the same size, half of the difference moves.
  std::sort(destinations.begin(), destinations.end(),
            [](const Destination& a, const Destination& b) {
              return a.level < b.level;
            });
  double sum = offered;
  double capacity = source.capacity;
  double common = utilisation;
  std::size_t used = 0;
  while (used < destinations.size() && destinations[used].level < common) {
    sum += destinations[used].level * destinations[used].load->capacity;
    capacity += destinations[used].load->capacity;
    common = sum / capacity;
    ++used;
  }
  for (std::size_t i = 0; i < used; ++i) {
    double moved =
        (common - destinations[i].level) * destinations[i].load->capacity;
    double share = std::min(moved / offered, 1.0);
    if (share >= kMinShare) {
      targets[destinations[i].load->data_centre] = share;
    }
  }
  return targets;
}

std::map<DataCentreId, double> OverflowPlan::EvacuationTargets(
    const DataCentreLoad& source,
    const OverflowInputs& inputs) const {
  std::map<DataCentreId, double> targets;
  double total = 0;
  for (bool free_only : {true, false}) {
    for (const DataCentreLoad& other : inputs.data_centres) {
      double room =
          free_only ? other.capacity - OfferedLoad(other) : other.capacity;
      if (other.data_centre != source.data_centre && room > 0) {
        targets[other.data_centre] = room;
        total += room;
      }
    }
    if (total > 0) {
      break;
    }
  }
  for (auto& target : targets) {
    target.second /= total;
  }
  return targets;
}

void OverflowPlan::Approach(const DataCentreLoad& source,
                            const OverflowInputs& inputs,
                            const std::map<DataCentreId, double>& targets,
                            double max_growth,
                            TimePoint now) {
  bool& returning = returning_[source.data_centre];
  double before = 0;
  double wanted = 0;
  double after = 0;
  std::map<DataCentreId, double> old_shares;
  std::map<DataCentreId, double> shares;
  for (const DataCentreLoad& other : inputs.data_centres) {
    const DataCentreId& to = other.data_centre;
    if (to == source.data_centre) {
      continue;
    }
    // What a destination without capacity had returns at once.
    double old_share =
        other.capacity > 0 ? flows_[{source.data_centre, to}].share : 0;
    auto target = targets.find(to);
    double target_share = target == targets.end() ? 0 : target->second;
    old_shares[to] = old_share;
    shares[to] = std::min(target_share, old_share + max_growth);
    before += old_share;
    wanted += target_share;
    after += shares[to];
  }
  double limit = std::max(before - max_growth, 0.0);
  if (source.capacity <= 0) {
    // All of it has to leave at once. What new destinations may not take yet
    // stays with those that have served before.
    double decline = 0;
    for (const auto& [to, share] : shares) {
      decline += std::max(old_shares[to] - share, 0.0);
    }
    double kept = std::clamp(1 - after, 0.0, decline);
    for (auto& [to, share] : shares) {
      if (share < old_shares[to]) {
        share += kept * (old_shares[to] - share) / decline;
      }
      share = after > 0 ? share / (after + kept) : 0;
    }
    returning = after > 0;
  } else if (returning && wanted < limit) {
    // The endpoints here are idle, and their prompt caches are empty.
    for (auto& share : shares) {
      share.second = old_shares[share.first] * limit / before;
    }
  } else {
    returning = false;
  }
  for (const auto& [to, share] : shares) {
    Flow& flow = flows_[{source.data_centre, to}];
    flow.share = share < kMinShare ? 0 : share;
    flow.active_at = flow.share > 0 ? now : flow.active_at;
  }
}

void OverflowPlan::Step(const OverflowInputs& inputs, TimePoint now) {
  std::chrono::nanoseconds passed =
      stepped_at_ == TimePoint() ? kStepInterval : now - stepped_at_;
  stepped_at_ = now;
  if (passed > kQuietTime) {
    // The reports were unknown, or nothing arrived: starts anew, by steps.
    flows_.clear();
    passed = kStepInterval;
  }
  UpdateMoved(inputs, passed);
  double max_growth =
      kMaxGrowth *
      std::min(1.0, std::chrono::duration<double>(passed) /
                        std::chrono::duration<double>(kStepInterval));
  // The fullest first: it becomes a source before others that could be either.
  std::vector<const DataCentreLoad*> order;
  for (const DataCentreLoad& load : inputs.data_centres) {
    order.push_back(&load);
  }
  std::sort(order.begin(), order.end(),
            [this](const DataCentreLoad* a, const DataCentreLoad* b) {
              auto key = [this](const DataCentreLoad* load) {
                return std::make_tuple(
                    load->capacity > 0,
                    -Utilisation(OfferedLoad(*load), load->capacity),
                    load->data_centre);
              };
              return key(a) < key(b);
            });
  for (const DataCentreLoad* source : order) {
    std::map<DataCentreId, double> targets =
        source->capacity > 0 ? TargetsOf(*source, inputs, now)
                             : EvacuationTargets(*source, inputs);
    Approach(*source, inputs, targets, max_growth, now);
    if (source->capacity <= 0 || Receives(source->data_centre, now)) {
      continue;
    }
    // Other instances, with a slightly different view, may see a flow here. A
    // data centre that could itself be a source is no destination for them.
    double utilisation = Utilisation(OfferedLoad(*source), source->capacity);
    for (const DataCentreLoad& other : inputs.data_centres) {
      double level = Utilisation(OfferedLoad(other), other.capacity);
      double difference = utilisation - level - PathCost(*source, other);
      if (other.data_centre != source->data_centre && other.capacity > 0 &&
          level < kMinUtilisation && !Sends(other.data_centre) &&
          utilisation >= kPossibleUtilisation &&
          difference >= kPossibleDifference) {
        flows_[{source->data_centre, other.data_centre}].active_at = now;
      }
    }
  }
}

std::vector<OverflowPlan::Share> OverflowPlan::SharesOf(
    const DataCentreId& source) const {
  std::vector<Share> shares;
  for (const auto& [pair, flow] : flows_) {
    if (pair.first == source && flow.share > 0) {
      shares.push_back({pair.second, flow.share});
    }
  }
  return shares;
}

const DataCentreId* OverflowPlan::DestinationOf(const DataCentreId& source,
                                                double position) const {
  // Each destination has a range of positions of its own that grows from its
  // start, as long as they fit.
  double end = 0;
  for (auto flow = flows_.lower_bound({source, DataCentreId()});
       flow != flows_.end() && flow->first.first == source; ++flow) {
    end += flow->second.share;
    if (position < end) {
      return &flow->first.second;
    }
  }
  return nullptr;
}

bool OverflowPlan::SendToEachOther(const DataCentreId& a,
                                   const DataCentreId& b,
                                   TimePoint now) const {
  auto active = [&](const DataCentreId& from, const DataCentreId& to) {
    auto flow = flows_.find({from, to});
    return flow != flows_.end() && flow->second.active_at != TimePoint() &&
           now - flow->second.active_at <= kQuietTime;
  };
  return active(a, b) && active(b, a);
}

}  // namespace filbertshift
