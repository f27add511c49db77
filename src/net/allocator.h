// How the allocator of the C library gives freed memory back to the system.
#pragma once

namespace opalroute::net {

// Large blocks are returned as soon as they are freed. To be called once, at the start of the program.
void ReturnLargeBlocksWhenFreed();

// Returns freed memory that lies between blocks in use. Walks through the whole heap.
void ReturnFreedMemory();

}  // namespace opalroute::net
