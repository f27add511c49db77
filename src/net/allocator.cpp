#include "net/allocator.h"

#include <malloc.h>

namespace opalroute::net {
namespace {

constexpr int kLargeBlockBytes = 16 * 1024;
constexpr int kMaxFreeTopBytes = 256 * 1024;

}  // namespace

// Without fixed values the C library raises both with the largest block that was freed.
void ReturnLargeBlocksWhenFreed() {
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kMaxFreeTopBytes);
}

void ReturnFreedMemory() { malloc_trim(0); }

}  // namespace opalroute::net
