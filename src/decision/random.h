// The random number generator of the decision library.
#pragma once

#include <cstddef>
#include <cstdint>

namespace opalroute::decision {

// SplitMix64. The same seed gives the same sequence on every platform.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  // A random integer in [0, n); `n` must be at least 1.
  std::size_t UniformBelow(std::size_t n);
  // A random number in [0, 1).
  double Uniform();
  // A random factor around 1 for this relay's waits, so that relays do not retry at the same time.
  double JitterFactor();

 private:
  std::uint64_t Next();

  std::uint64_t state_;
};

}  // namespace opalroute::decision
