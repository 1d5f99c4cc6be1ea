// Typed identifiers. A distinct type for each kind of id keeps an endpoint
// from being passed where an instance is expected.

#ifndef SRC_COMMON_IDS_H_
#define SRC_COMMON_IDS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace filbertshift {

// A string identifier that is only comparable with ids of the same kind.
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

// A connection of a caller, unique within one process.
enum class CallerId : std::uint64_t {};

// A call to the table service or the object store, unique within one process.
enum class OperationId : std::uint64_t {};

// Hash of client account and request body; identifies resent requests.
enum class Fingerprint : std::uint64_t {};

}  // namespace filbertshift

template <class Tag>
struct std::hash<filbertshift::Id<Tag>> {
  std::size_t operator()(const filbertshift::Id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // SRC_COMMON_IDS_H_
