// Splits the limit of an endpoint between entry instances without coordination.
// Every instance computes the same split, so the sum of the shares never
// exceeds the limit, even during a network partition.

#ifndef SRC_ROUTING_SEAT_SHARE_H_
#define SRC_ROUTING_SEAT_SHARE_H_

#include <chrono>
#include <vector>

#include "src/config/config.h"

namespace filbertshift {

// Returns the seats that may use the endpoint, best rendezvous rank first; at
// most `count` of `seats`.
std::vector<int> SeatsOfEndpoint(const EndpointId& endpoint,
                                 const std::vector<int>& seats,
                                 int count);

// Returns the index of `seat` in SeatsOfEndpoint, or -1. `seats` must be
// distinct. Stops as soon as `count` better seats are found, which is several
// times faster than SeatsOfEndpoint with hundreds of seats.
int SeatRank(const EndpointId& endpoint,
             const std::vector<int>& seats,
             int count,
             int seat);

// Returns the limit at `uptime`: cold_start_concurrency at 0, growing linearly
// to max_concurrency at warm_up, rounded down.
int LimitAtUptime(const EndpointLimits& limits,
                  std::chrono::milliseconds uptime);

// Returns the share of `limit` for the seat at `rank` (0 is the best) among
// `seat_count` seats; 0 for a rank out of range. Monotonic in `limit`, so that
// the sum stays within the limit when some instances assume a lower one.
int ShareOfRank(int limit, int seat_count, int rank);

// Returns the share of `limit` for `seat`; 0 for a seat that is not in
// `ranked_seats`. The shares of all ranked seats add up to `limit`.
int SeatShare(int limit, const std::vector<int>& ranked_seats, int seat);

}  // namespace filbertshift

#endif  // SRC_ROUTING_SEAT_SHARE_H_
