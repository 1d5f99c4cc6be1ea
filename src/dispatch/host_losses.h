// Hosts of one data centre that were found gone. Two of them without a sign of
// life from the data centre in between mean that it is probably cut off.

#ifndef SRC_DISPATCH_HOST_LOSSES_H_
#define SRC_DISPATCH_HOST_LOSSES_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/common/common.h"

namespace filbertshift {

class HostLosses {
 public:
  // `address` of an endpoint ("ip:port") whose host refuses connections or does
  // not reply.
  void OnHostGone(std::string_view address);
  // Any byte from the data centre shows that it can be reached.
  void OnBytes() { gone_.clear(); }
  void OnRequest(TimePoint now) { last_request_ = now; }

  // A single lost host says nothing about its data centre.
  bool IsCutOff() const { return gone_.size() >= kLostHosts; }
  // The data centre is cut off and the request should not be sent there as a
  // probe now. `may_probe` is false for requests that should not be lost.
  bool IsAvoided(bool may_probe, TimePoint now) const;

 private:
  static constexpr std::size_t kLostHosts = 2;

  // Invariant: distinct hosts that were found gone since the latest byte from
  // the data centre; at most kLostHosts.
  std::vector<std::string> gone_;
  TimePoint last_request_{};
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_HOST_LOSSES_H_
