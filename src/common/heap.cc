#include "src/common/heap.h"

#include <malloc.h>

namespace filbertshift {

namespace {

// Buffers from this size on are mapped on their own.
constexpr int kLargeBufferBytes = 256 * 1024;

}  // namespace

void ReturnLargeBuffers() {
  mallopt(M_MMAP_THRESHOLD, kLargeBufferBytes);
}

}  // namespace filbertshift
