// Bounds the memory of callers' requests, from their first byte to the end of
// their responses. Answers load in which many large bodies arrive at once: an
// instance that exceeds the memory of its machine is killed, and every request
// in progress is lost.

#ifndef SRC_COMMON_REQUEST_MEMORY_H_
#define SRC_COMMON_REQUEST_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace filbertshift {

class RequestMemory {
 public:
  // Identifies a request; unique among those that hold memory.
  using Key = std::uint64_t;

  explicit RequestMemory(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Sets how many bytes the request holds. Returns false, and changes nothing,
  // if it would hold more than before and too little would be left: the larger
  // a request, the more it has to leave, so that a few large ones do not use
  // up the memory of many small ones.
  bool TryHold(Key request, std::size_t bytes);
  void Release(Key request);
  std::size_t total() const { return total_; }
  std::size_t max_bytes() const { return max_bytes_; }

 private:
  const std::size_t max_bytes_;
  std::unordered_map<Key, std::size_t> held_;
  // Invariant: the sum over `held_`, at most `max_bytes_`.
  std::size_t total_ = 0;
};

}  // namespace filbertshift

#endif  // SRC_COMMON_REQUEST_MEMORY_H_
