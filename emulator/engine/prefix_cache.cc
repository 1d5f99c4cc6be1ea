#include "emulator/engine/prefix_cache.h"

#include <xxhash.h>

namespace filbertshift::emulator {

namespace {

constexpr std::size_t kBlockTokens = 16;
constexpr std::size_t kBlockBytes = kBlockTokens * 4;

}  // namespace

PrefixCache::PrefixCache(std::size_t capacity_tokens)
    : capacity_blocks_(capacity_tokens / kBlockTokens) {}

std::size_t PrefixCache::Use(const std::string& prompt) {
  std::size_t cached = 0;
  bool hit = true;
  std::uint64_t hash = 0;
  for (std::size_t at = 0; at + kBlockBytes <= prompt.size();
       at += kBlockBytes) {
    // The hash covers all blocks up to this one.
    hash = XXH3_64bits_withSeed(prompt.data() + at, kBlockBytes, hash);
    const auto found = blocks_.find(hash);
    hit = hit && found != blocks_.end();
    cached += hit ? kBlockTokens : 0;
    if (found != blocks_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      continue;
    }
    order_.push_front(hash);
    blocks_[hash] = order_.begin();
  }
  while (blocks_.size() > capacity_blocks_) {
    blocks_.erase(order_.back());
    order_.pop_back();
  }
  return cached;
}

void PrefixCache::Clear() {
  order_.clear();
  blocks_.clear();
}

}  // namespace filbertshift::emulator
