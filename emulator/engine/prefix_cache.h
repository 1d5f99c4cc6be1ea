// A cache of prompt prefixes in blocks, with eviction of the least recently
// used block.

#ifndef EMULATOR_ENGINE_PREFIX_CACHE_H_
#define EMULATOR_ENGINE_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace filbertshift::emulator {

// Not thread-safe.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity_tokens);

  // Returns the number of leading tokens of the prompt that were cached, and
  // caches the whole blocks of the prompt.
  std::size_t Use(const std::string& prompt);
  void Clear();

 private:
  const std::size_t capacity_blocks_;
  // Hashes of prefixes, most recently used first.
  std::list<std::uint64_t> order_;
  // Invariant: one entry for each element of order_, at most
  // capacity_blocks_.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_ENGINE_PREFIX_CACHE_H_
