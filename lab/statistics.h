// Comparing paired runs: the median difference and what chance leaves of it.
#pragma once

#include <cstdint>
#include <vector>

namespace opalroute::lab {

struct Interval {
  double median = 0, low = 0, high = 0;
  bool differs() const { return low > 0 || high < 0; }
};

double Median(std::vector<double> values);

// The median of the differences, with its 95% percentile bootstrap interval (Efron 1979) of 2,000 resamples.
// The same seed gives the same interval.
Interval Bootstrap(const std::vector<double>& differences, std::uint64_t seed = 1);

}  // namespace opalroute::lab
