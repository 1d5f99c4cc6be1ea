// Strongly typed identifiers, so that for example an endpoint id cannot be
// passed where an instance id is expected.

#ifndef SRC_COMMON_IDS_H_
#define SRC_COMMON_IDS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace filbertshift {

// String identifier that can only be compared with ids of the same type.
template <class Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const Id& a, const Id& b) {
    return a.value_ == b.value_;
  }
  friend bool operator!=(const Id& a, const Id& b) {
    return a.value_ != b.value_;
  }
  friend bool operator<(const Id& a, const Id& b) {
    return a.value_ < b.value_;
  }

 private:
  std::string value_;
};

using InstanceId = Id<struct InstanceTag>;
using EndpointId = Id<struct EndpointTag>;
using DataCentreId = Id<struct DataCentreTag>;
using AccountId = Id<struct AccountTag>;
using ModelId = Id<struct ModelTag>;
using VersionId = Id<struct VersionTag>;
using ServiceId = Id<struct ServiceTag>;
using RequestId = Id<struct RequestTag>;
using AttemptId = Id<struct AttemptTag>;
using SessionId = Id<struct SessionTag>;
using JobId = Id<struct JobTag>;
// Something that requests have in common and that may crash endpoints: a prompt
// part, or a request that its caller sends again and again.
using CauseId = Id<struct CauseTag>;

// Identifies a caller connection; unique within one process.
enum class CallerId : std::uint64_t {};

// Identifies a call to the table service or object store; unique within one
// process.
enum class OperationId : std::uint64_t {};

// Hash of client account and request body, used to detect resent requests.
enum class Fingerprint : std::uint64_t {};

}  // namespace filbertshift

template <class Tag>
struct std::hash<filbertshift::Id<Tag>> {
  std::size_t operator()(const filbertshift::Id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // SRC_COMMON_IDS_H_
