// Draws from a generator, the same way everywhere: a seed gives the same run to the byte.
#pragma once

#include <pcg_random.hpp>

namespace opalroute::lab {

struct Range {
  double least = 0, most = 0;
};

// From 0 to below 1.
inline double DrawUnit(pcg32& random) { return static_cast<double>(random()) * 0x1p-32; }
inline double DrawFrom(const Range& range, pcg32& random) {
  return range.least + (range.most - range.least) * DrawUnit(random);
}

}  // namespace opalroute::lab
