// The descriptors of a process that the preloaded library follows.
#pragma once

namespace opalroute::lab::faults {

constexpr int kDescriptors = 4096;

constexpr bool IsFollowed(int fd) { return fd >= 0 && fd < kDescriptors; }

}  // namespace opalroute::lab::faults
