#include "src/routing/seat_share.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace filbertshift {

namespace {

struct RankedSeat {
  std::uint64_t hash = 0;
  int seat = 0;
};

// Uses the seat as the seed for an independent hash of each endpoint and seat.
std::uint64_t HashSeat(const EndpointId& endpoint, int seat) {
  return XXH64(endpoint.value().data(), endpoint.value().size(),
               static_cast<std::uint64_t>(seat));
}

bool RanksBefore(const RankedSeat& a, const RankedSeat& b) {
  return a.hash != b.hash ? a.hash > b.hash : a.seat < b.seat;
}

}  // namespace

std::vector<int> SeatsOfEndpoint(const EndpointId& endpoint,
                                 const std::vector<int>& seats,
                                 int count) {
  std::vector<int> distinct = seats;
  std::sort(distinct.begin(), distinct.end());
  // A duplicate seat would get two shares.
  distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
  std::vector<RankedSeat> ranked;
  ranked.reserve(distinct.size());
  for (int seat : distinct) {
    ranked.push_back({HashSeat(endpoint, seat), seat});
  }
  const std::size_t kept =
      std::min(ranked.size(), static_cast<std::size_t>(std::max(count, 0)));
  std::partial_sort(ranked.begin(), ranked.begin() + kept, ranked.end(),
                    RanksBefore);
  std::vector<int> result;
  result.reserve(kept);
  for (std::size_t i = 0; i < kept; ++i) {
    result.push_back(ranked[i].seat);
  }
  return result;
}

int SeatRank(const EndpointId& endpoint,
             const std::vector<int>& seats,
             int count,
             int seat) {
  if (std::find(seats.begin(), seats.end(), seat) == seats.end()) {
    return -1;
  }
  const RankedSeat own{HashSeat(endpoint, seat), seat};
  int better = 0;
  for (std::size_t i = 0; i < seats.size() && better < count; ++i) {
    better +=
        RanksBefore({HashSeat(endpoint, seats[i]), seats[i]}, own) ? 1 : 0;
  }
  return better < count ? better : -1;
}

int LimitAtUptime(const EndpointLimits& limits,
                  std::chrono::milliseconds uptime) {
  if (uptime >= limits.warm_up) {
    return std::max(limits.max_concurrency, 0);
  }
  const std::int64_t cold = std::max(
      std::min(limits.cold_start_concurrency, limits.max_concurrency), 0);
  if (uptime.count() <= 0) {
    return static_cast<int>(cold);
  }
  const std::int64_t growth = limits.max_concurrency - cold;
  return static_cast<int>(cold +
                          growth * uptime.count() / limits.warm_up.count());
}

int ShareOfRank(int limit, int seat_count, int rank) {
  if (rank < 0 || rank >= seat_count || limit <= 0) {
    return 0;
  }
  return limit / seat_count + (rank < limit % seat_count ? 1 : 0);
}

int SeatShare(int limit, const std::vector<int>& ranked_seats, int seat) {
  const auto found = std::find(ranked_seats.begin(), ranked_seats.end(), seat);
  if (found == ranked_seats.end()) {
    return 0;
  }
  return ShareOfRank(limit, static_cast<int>(ranked_seats.size()),
                     static_cast<int>(found - ranked_seats.begin()));
}

}  // namespace filbertshift
