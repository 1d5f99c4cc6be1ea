// A block-based cache of prompt prefixes with LRU eviction.

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

  // Returns the number of leading prompt tokens that were already cached, then
  // caches all complete blocks of the prompt.
  std::size_t LookupAndInsert(const std::string& prompt);
  void Clear();

 private:
  const std::size_t capacity_blocks_;
  // Prefix hashes, most recently used first.
  std::list<std::uint64_t> lru_;
  // Invariant: one entry per element of lru_, at most capacity_blocks_.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
};

}  // namespace filbertshift::emulator

#endif  // EMULATOR_ENGINE_PREFIX_CACHE_H_
