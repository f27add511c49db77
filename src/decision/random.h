// The generator of all random draws of the decision module.
#pragma once

#include <cstddef>
#include <cstdint>

namespace opalroute::decision {

// SplitMix64. Equal seeds give equal draws on every platform.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  // A whole number from 0 to below `n`; `n` is 1 or more.
  std::size_t Below(std::size_t n);
  // From 0 to below 1.
  double Unit();
  // A factor around 1 for a wait of this relay's own, so that relays do not come back together.
  double Jitter();

 private:
  std::uint64_t Next();

  std::uint64_t state_;
};

}  // namespace opalroute::decision
