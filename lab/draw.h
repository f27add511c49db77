// Random draws that are the same on every platform: a seed gives the same run to the byte.
#pragma once

#include <pcg_random.hpp>

namespace opalroute::lab {

struct Range {
  double min = 0, max = 0;
};

// In [0, 1).
inline double DrawUniform(pcg32& random) { return static_cast<double>(random()) * 0x1p-32; }
inline double DrawFrom(const Range& range, pcg32& random) {
  return range.min + (range.max - range.min) * DrawUniform(random);
}

}  // namespace opalroute::lab
