#include "src/fleet/rollout_records.h"

#include <utility>

namespace filbertshift {

namespace {

bool IsDecided(const RolloutProgress& progress) {
  return progress.state != RolloutPhase::kInProgress;
}

// Whether `a` replaces `b`, both of the same service. An instance that knew
// nothing of a rollout may have begun it anew, so the earlier start counts, and
// of two decisions the earlier one: the platform may have acted on it.
bool IsAhead(const RolloutProgress& a, const RolloutProgress& b) {
  if (a.order_version.era == b.order_version.era &&
      a.order_version != b.order_version) {
    return a.order_version > b.order_version;
  }
  if (IsDecided(a) != IsDecided(b)) {
    return IsDecided(a);
  }
  if (IsDecided(a)) {
    return a.changed_at < b.changed_at;
  }
  if (a.started_at != b.started_at) {
    return a.started_at < b.started_at;
  }
  return a.changed_at > b.changed_at;
}

}  // namespace

bool RolloutRecords::SetOrder(RolloutOrder order,
                              const StoreVersion& row_version) {
  const ServiceId service = order.service;
  auto known = orders_.find(service);
  bool may_be_same =
      known != orders_.end() &&
      (orders_expected_ || order_rows_[service].era < row_version.era);
  bool same = may_be_same && !Differs(order);
  order.order_version = same ? known->second.order_version : row_version;
  order_rows_[service] = row_version;
  if (!same) {
    kept_progress_.erase(service);
  }
  orders_[service] = std::move(order);
  UpdateProgress(service);
  return !same;
}

bool RolloutRecords::Differs(const RolloutOrder& order) const {
  auto known = orders_.find(order.service);
  return known != orders_.end() && !(known->second.to == order.to &&
                                     known->second.deadline == order.deadline);
}

void RolloutRecords::RemoveOrder(const ServiceId& service) {
  orders_.erase(service);
  order_rows_.erase(service);
  kept_progress_.erase(service);
  UpdateProgress(service);
}

void RolloutRecords::SetProgressRow(const ServiceId& service,
                                    std::optional<RolloutProgress> progress) {
  if (progress.has_value()) {
    progress_rows_[service] = std::move(*progress);
  } else {
    progress_rows_.erase(service);
  }
  UpdateProgress(service);
}

void RolloutRecords::KeepProgress() {
  kept_progress_ = progress_;
  for (const auto& [service, written] : written_progress_) {
    auto order = orders_.find(service);
    auto kept = kept_progress_.find(service);
    if (order != orders_.end() && Belongs(written, order->second) &&
        (kept == kept_progress_.end() || IsAhead(written, kept->second))) {
      kept_progress_[service] = written;
    }
  }
  progress_rows_.clear();
}

void RolloutRecords::ForgetProgress() {
  written_progress_.clear();
  kept_progress_.clear();
  progress_rows_.clear();
  progress_.clear();
}

void RolloutRecords::ForgetOrders() {
  orders_.clear();
  order_rows_.clear();
  kept_progress_.clear();
}

void RolloutRecords::Settle() {
  orders_expected_ = false;
}

const RolloutProgress* RolloutRecords::FindProgress(
    const ServiceId& service) const {
  auto found = progress_.find(service);
  return found == progress_.end() ? nullptr : &found->second;
}

bool RolloutRecords::Belongs(const RolloutProgress& progress,
                             const RolloutOrder& order) const {
  const StoreVersion& row_version = order_rows_.at(order.service);
  return progress.order_version == order.order_version ||
         progress.order_version == row_version ||
         (progress.order_version.era < row_version.era &&
          progress.to == order.to);
}

void RolloutRecords::UpdateProgress(const ServiceId& service) {
  auto order = orders_.find(service);
  auto belongs = [&](const RolloutProgress& progress) {
    return order != orders_.end() && Belongs(progress, order->second);
  };
  auto row = progress_rows_.find(service);
  auto kept = kept_progress_.find(service);
  bool has_row = row != progress_rows_.end();
  bool keeps =
      kept != kept_progress_.end() &&
      (order == orders_.end() || belongs(kept->second)) &&
      (!has_row || !belongs(row->second) || IsAhead(kept->second, row->second));
  if (!keeps && !has_row) {
    progress_.erase(service);
    return;
  }
  RolloutProgress& progress = progress_[service];
  progress = keeps ? kept->second : row->second;
  if (belongs(progress)) {
    progress.order_version = order->second.order_version;
  }
}

bool RolloutRecords::MustWriteAgain(const ServiceId& service) const {
  auto order = orders_.find(service);
  auto progress = progress_.find(service);
  if (order == orders_.end() || progress == progress_.end() ||
      !Belongs(progress->second, order->second)) {
    return false;
  }
  auto row = progress_rows_.find(service);
  if (row == progress_rows_.end() || !Belongs(row->second, order->second)) {
    return true;
  }
  RolloutProgress written = row->second;
  written.order_version = progress->second.order_version;
  return !(written == progress->second) ||
         (!orders_expected_ &&
          row->second.order_version.era < order_rows_.at(service).era);
}

StoreVersion RolloutRecords::VersionToWrite(const ServiceId& service) const {
  auto order = orders_.find(service);
  auto row = order_rows_.find(service);
  if (order == orders_.end() || row == order_rows_.end()) {
    return StoreVersion();
  }
  if (!orders_expected_) {
    return row->second;
  }
  // While orders are still being written again, their rows change. A version of
  // an earlier era stands for all of them.
  auto progress = progress_rows_.find(service);
  bool names_earlier_era =
      progress != progress_rows_.end() &&
      Belongs(progress->second, order->second) &&
      progress->second.order_version.era < order->second.order_version.era;
  return names_earlier_era ? progress->second.order_version
                           : order->second.order_version;
}

}  // namespace filbertshift
