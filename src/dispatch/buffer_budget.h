// Bounds the memory that responses take up while an instance holds their bytes:
// because the rest is still to come, or because the caller reads slowly. An
// endpoint may send bytes without end.

#ifndef SRC_DISPATCH_BUFFER_BUDGET_H_
#define SRC_DISPATCH_BUFFER_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace filbertshift {

class BufferBudget {
 public:
  // Identifies a response; unique among those that are held.
  using Key = std::uint64_t;

  explicit BufferBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Sets how many bytes of the response are held. `has_length`: the endpoint
  // has announced the length of the response.
  void Set(Key response, std::size_t bytes, bool has_length);
  void Remove(Key response);
  // 0 for a response that is not held.
  std::size_t BytesOf(Key response) const;
  // The response to break off; empty while the limit is kept. The largest of
  // those without an announced length comes first: one without an end grows
  // beyond the others, and a long response that is sound has a length.
  std::optional<Key> FindExcess() const;
  std::size_t total() const { return total_; }

 private:
  struct Held {
    std::size_t bytes = 0;
    bool has_length = false;
  };

  const std::size_t max_bytes_;
  std::unordered_map<Key, Held> held_;
  // Invariant: the sum over `held_`.
  std::size_t total_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_DISPATCH_BUFFER_BUDGET_H_
