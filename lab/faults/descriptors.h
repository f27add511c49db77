// The file descriptors that the preloaded library keeps state for; higher ones are ignored.
#pragma once

namespace opalroute::lab::faults {

constexpr int kMaxDescriptors = 4096;

constexpr bool IsTracked(int fd) { return fd >= 0 && fd < kMaxDescriptors; }

}  // namespace opalroute::lab::faults
