#include "emulator/engine/prefix_cache.h"

#include <xxhash.h>

namespace filbertshift::emulator {

namespace {

constexpr std::size_t kBlockTokens = 16;
constexpr std::size_t kBlockBytes = kBlockTokens * 4;

}  // namespace

PrefixCache::PrefixCache(std::size_t capacity_tokens)
    : capacity_blocks_(capacity_tokens / kBlockTokens) {}

std::size_t PrefixCache::LookupAndInsert(const std::string& prompt) {
  std::size_t cached = 0;
  bool hit = true;
  std::uint64_t hash = 0;
  for (std::size_t offset = 0; offset + kBlockBytes <= prompt.size();
       offset += kBlockBytes) {
    // Seeding with the previous hash makes each hash cover the whole prefix.
    hash = XXH3_64bits_withSeed(prompt.data() + offset, kBlockBytes, hash);
    const auto found = blocks_.find(hash);
    hit = hit && found != blocks_.end();
    cached += hit ? kBlockTokens : 0;
    if (found != blocks_.end()) {
      lru_.splice(lru_.begin(), lru_, found->second);
      continue;
    }
    lru_.push_front(hash);
    blocks_[hash] = lru_.begin();
  }
  while (blocks_.size() > capacity_blocks_) {
    blocks_.erase(lru_.back());
    lru_.pop_back();
  }
  return cached;
}

void PrefixCache::Clear() {
  lru_.clear();
  blocks_.clear();
}

}  // namespace filbertshift::emulator
