// The orders and the progress of rollouts, as the rows of the store say, and
// what is known of them from an earlier era of the store until it is written
// again: a rollout that was decided is not decided anew because the store has
// lost the decision.

#ifndef SRC_FLEET_ROLLOUT_RECORDS_H_
#define SRC_FLEET_ROLLOUT_RECORDS_H_

#include <map>
#include <optional>

#include "src/fleet/fleet_documents.h"
#include "src/fleet/rollout_driver.h"

namespace filbertshift {

class RolloutRecords {
 public:
  // Sets the order of a row of the version `row_version`. Returns false if it
  // is the known order, written again.
  bool SetOrder(RolloutOrder order, const StoreVersion& row_version);
  // Whether another order is known for the service.
  bool Differs(const RolloutOrder& order) const;
  void RemoveOrder(const ServiceId& service);
  // Sets the progress of a row; empty if the row is gone or not valid.
  void SetProgressRow(const ServiceId& service,
                      std::optional<RolloutProgress> progress);
  // This instance has written the progress of an order.
  void OnProgressWritten(const ServiceId& service,
                         const RolloutProgress& progress) {
    written_progress_[service] = progress;
  }
  // The rows of progress are read anew, from a store that has returned from an
  // older copy.
  void KeepProgress();
  // As KeepProgress() and ExpectOrdersAgain(), for an instance that knows too
  // little of what has happened since.
  void ForgetProgress();
  void ForgetOrders();
  // Until Settle(), an order that is equal to the known one is the same order.
  void ExpectOrdersAgain() { orders_expected_ = true; }
  void Settle();

  // The `order_version` of an order that was written again is that of the row
  // in which it was first seen.
  const std::map<ServiceId, RolloutOrder>& orders() const { return orders_; }
  // nullptr if none is known. The `order_version` of progress that belongs to
  // the order of the service is that of the order.
  const RolloutProgress* FindProgress(const ServiceId& service) const;
  // Whether the store lacks what FindProgress() returns, or has it for an
  // earlier row of the order.
  bool MustWriteAgain(const ServiceId& service) const;
  // The `order_version` to write with the progress of the order.
  StoreVersion VersionToWrite(const ServiceId& service) const;

 private:
  // Whether the progress is that of the order, whichever row of the order it
  // names.
  bool Belongs(const RolloutProgress& progress,
               const RolloutOrder& order) const;
  void UpdateProgress(const ServiceId& service);

  // `order_version` is that of the row in which the order was first seen.
  std::map<ServiceId, RolloutOrder> orders_;
  // Version of the row that holds the order now.
  std::map<ServiceId, StoreVersion> order_rows_;
  std::map<ServiceId, RolloutProgress> progress_rows_;
  // Written by this instance; the row may not have been read yet.
  std::map<ServiceId, RolloutProgress> written_progress_;
  // Known from an earlier era.
  std::map<ServiceId, RolloutProgress> kept_progress_;
  // Invariant: the later one of the progress row and the kept progress.
  std::map<ServiceId, RolloutProgress> progress_;
  bool orders_expected_ = false;
};

}  // namespace filbertshift

#endif  // SRC_FLEET_ROLLOUT_RECORDS_H_
