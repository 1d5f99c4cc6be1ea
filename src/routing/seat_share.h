// Splits the limit of an endpoint over the entry instances without
// coordination. Every instance computes the same split, so the shares never add
// up to more than the limit, also while instances cannot reach each other.

#ifndef SRC_ROUTING_SEAT_SHARE_H_
#define SRC_ROUTING_SEAT_SHARE_H_

#include <chrono>
#include <vector>

#include "src/config/config.h"

namespace filbertshift {

// The seats that may use the endpoint, best rendezvous rank first; at most
// `count` of `seats`.
std::vector<int> SeatsOfEndpoint(const EndpointId& endpoint,
                                 const std::vector<int>& seats,
                                 int count);

// The place of `seat` in SeatsOfEndpoint, or -1. `seats` are distinct. Stops as
// soon as `count` better seats are found, which makes it several times faster
// with hundreds of seats.
int SeatRank(const EndpointId& endpoint,
             const std::vector<int>& seats,
             int count,
             int seat);

// The limit after `uptime`: cold_start_concurrency at 0, growing linearly to
// max_concurrency at warm_up, rounded down.
int LimitAtUptime(const EndpointLimits& limits,
                  std::chrono::milliseconds uptime);

// The part of `limit` for the seat at `rank` (0 is the best) of `seat_count`
// seats; 0 for a rank outside of them. Never decreases when `limit` grows, so
// that instances that assume a lower limit than others cannot make the sum too
// high.
int ShareOfRank(int limit, int seat_count, int rank);

// The part of `limit` that `seat` may use; 0 for a seat that is not in
// `ranked_seats`. The parts of all ranked seats add up to `limit`.
int SeatShare(int limit, const std::vector<int>& ranked_seats, int seat);

}  // namespace filbertshift

#endif  // SRC_ROUTING_SEAT_SHARE_H_
