// The draws that scenarios and plans of faults are made of.
#pragma once

#include <cstddef>
#include <cstdint>

#include "lab/draw.h"

namespace opalroute::lab {

// One stream of a seed.
class Drawer {
 public:
  Drawer(std::uint64_t seed, std::uint64_t stream) : random_(seed, stream) {}

 protected:
  int Below(int n) { return static_cast<int>(random_(static_cast<std::uint32_t>(n))); }
  bool OneIn(int n) { return Below(n) == 0; }
  // In hundredths, so that a scenario that is printed and read again is the same.
  double Rounded(double least, double most) {
    return static_cast<double>(static_cast<int>(DrawFrom({least, most}, random_) * 100)) / 100;
  }
  template <typename Value, std::size_t count>
  Value OneOf(const Value (&values)[count]) {
    return values[Below(static_cast<int>(count))];
  }

  pcg32 random_;
};

}  // namespace opalroute::lab
