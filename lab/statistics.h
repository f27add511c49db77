// Statistics of paired runs: the median difference and its confidence interval.
#pragma once

#include <cstdint>
#include <vector>

namespace opalroute::lab {

struct MedianInterval {
  double median = 0, low = 0, high = 0;
  bool ExcludesZero() const { return low > 0 || high < 0; }
};

double Median(std::vector<double> values);

// The median of the differences, with its 95% percentile bootstrap interval (Efron 1979) of 2,000 resamples.
// The same seed gives the same interval.
MedianInterval Bootstrap(const std::vector<double>& differences, std::uint64_t seed = 1);

}  // namespace opalroute::lab
