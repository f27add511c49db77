// The random draws from which scenarios and fault plans are generated.
#pragma once

#include <cstddef>
#include <cstdint>

#include "lab/draw.h"

namespace opalroute::lab {

// One random stream of a seed.
class RandomSource {
 public:
  RandomSource(std::uint64_t seed, std::uint64_t stream) : random_(seed, stream) {}

 protected:
  int UniformBelow(int n) { return static_cast<int>(random_(static_cast<std::uint32_t>(n))); }
  bool OneIn(int n) { return UniformBelow(n) == 0; }
  // Rounded down to hundredths, so that a scenario stays the same when it is printed and read again.
  double UniformRounded(double min, double max) {
    return static_cast<double>(static_cast<int>(DrawFrom({min, max}, random_) * 100)) / 100;
  }
  template <typename Value, std::size_t count>
  Value PickOne(const Value (&values)[count]) {
    return values[UniformBelow(static_cast<int>(count))];
  }

  pcg32 random_;
};

}  // namespace opalroute::lab
