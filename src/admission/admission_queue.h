// Queue of requests that wait for an endpoint: strict priority between classes,
// weighted fair queueing between client accounts within a priority.

#ifndef SRC_ADMISSION_ADMISSION_QUEUE_H_
#define SRC_ADMISSION_ADMISSION_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

struct QueuedRequest {
  RequestId request;
  AccountId account;
  std::string quality_class;
  int priority = 0;
  // Fair-queueing weight of the account; larger weights are served more often.
  double weight = 1;
  TimePoint deadline;
  // Expected work, for example prompt tokens plus expected answer tokens.
  double cost = 1;
  // Identifies the set of endpoints that can run the request, for example model
  // and version. When one request cannot start, Drain skips all others with the
  // same target. Empty for a request with individual constraints (a crash
  // suspect, or one with excluded endpoints).
  std::string target;
};

// Complexity: Push and Remove take O(log n) for n waiting requests. Drain takes
// O(log f) for each started request plus one offer for each of the f flows; a
// flow is a pair of account and target. Requests without a target are offered
// individually.
class AdmissionQueue {
 public:
  // Returns false if the class already has `class_limit` waiting requests.
  // Throws std::invalid_argument if the request is already waiting.
  bool Push(const QueuedRequest& request, int class_limit);

  // Offers waiting requests in order of priority, then virtual finish time. A
  // request for which `try_start` returns true is removed from the queue. A
  // request that cannot start does not block requests with other targets.
  // `try_start` must not call methods of the queue.
  void Drain(const std::function<bool(const QueuedRequest&)>& try_start);

  // Removes and returns the requests whose deadline has passed, earliest
  // deadline first.
  std::vector<QueuedRequest> Expire(TimePoint now);
  bool Remove(const RequestId& request);
  std::size_t size() const { return requests_.size(); }
  std::size_t SizeOfClass(const std::string& quality_class) const;

 private:
  // Sequence number that identifies a request in the queue.
  using Arrival = std::uint64_t;
  using TryStart = std::function<bool(const QueuedRequest&)>;

  // Waiting requests of one account for one target, in FIFO order.
  struct FlowKey {
    std::string target;
    AccountId account;
    friend bool operator<(const FlowKey& a, const FlowKey& b) {
      return std::tie(a.target, a.account) < std::tie(b.target, b.account);
    }
  };
  struct Flow {
    // Virtual time of the level when the flow was created.
    double virtual_start = 0;
    // Invariant: not empty.
    std::set<Arrival> waiting;
  };

  // Self-clocked fair queueing within one priority: the virtual time is the
  // finish time of the request that was started last. An account is charged
  // when a request starts, so that expired requests cost it nothing.
  struct Level {
    double virtual_time = 0;
    std::map<AccountId, double> last_finish;
    std::map<FlowKey, Flow> flows;
  };

  // The next request of a flow to offer, ordered by virtual finish time.
  struct Offer {
    double virtual_finish = 0;
    Arrival arrival = 0;
    FlowKey flow;
    friend bool operator<(const Offer& a, const Offer& b) {
      return std::tie(a.virtual_finish, a.arrival) <
             std::tie(b.virtual_finish, b.arrival);
    }
  };
  using Offers = std::set<Offer>;

  Offer MakeOffer(const Level& level,
                  const FlowKey& key,
                  Arrival arrival) const;
  void DrainLevel(int priority,
                  const TryStart& try_start,
                  std::set<std::string>* blocked_targets);
  void AddNextOffer(const Level& level,
                    const Offer& previous,
                    Offers* offers) const;
  void Charge(Level* level, const Offer& started) const;
  QueuedRequest Erase(Arrival arrival);
  void EraseFromFlow(const QueuedRequest& request, Arrival arrival);

  // Invariant: all containers below refer to the same requests.
  std::unordered_map<Arrival, QueuedRequest> requests_;
  std::unordered_map<RequestId, Arrival> arrival_by_request_;
  std::set<std::pair<TimePoint, Arrival>> arrivals_by_deadline_;
  // Invariant: no level is empty. Lower numbers are served first.
  std::map<int, Level> levels_;
  std::map<std::string, std::size_t> size_by_class_;
  Arrival next_arrival_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_ADMISSION_ADMISSION_QUEUE_H_
