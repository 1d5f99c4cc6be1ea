// Requests that wait for an endpoint: classes by priority, client accounts by
// weighted fair queueing within a class.

#ifndef SRC_ROUTING_ADMISSION_QUEUE_H_
#define SRC_ROUTING_ADMISSION_QUEUE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

struct QueuedRequest {
  RequestId request;
  AccountId account;
  std::string quality_class;
  int priority = 0;
  // Share of the account; larger weights are served more often.
  double weight = 1;
  TimePoint deadline;
  // Expected work, for example prompt plus expected answer in tokens.
  double cost = 1;
};

class AdmissionQueue {
 public:
  // Returns false if the class already has `class_limit` waiting requests.
  bool Push(const QueuedRequest& request, int class_limit);

  // Offers waiting requests in order of priority, then virtual finish time.
  // `try_start` returns true if the request was started; it then leaves the
  // queue. A request that cannot start does not hold back the others.
  void Drain(const std::function<bool(const QueuedRequest&)>& try_start);

  // Removes and returns the requests whose deadline has passed.
  std::vector<QueuedRequest> Expire(TimePoint now);
  bool Remove(const RequestId& request);
  std::size_t size() const;
  std::size_t SizeOfClass(const std::string& quality_class) const;

 private:
  struct Entry {
    QueuedRequest request;
    double virtual_finish = 0;
    std::uint64_t arrival = 0;
  };

  // Invariant: for each priority, entries are ordered by virtual finish time,
  // then by arrival.
  std::map<int, std::vector<Entry>> entries_by_priority_;
  std::map<std::string, std::size_t> size_by_class_;
  std::map<std::pair<int, AccountId>, double> last_finish_;
  std::map<int, double> virtual_time_;
  std::uint64_t next_arrival_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_ROUTING_ADMISSION_QUEUE_H_
