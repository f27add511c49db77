#include "lab/statistics.h"

#include <algorithm>
#include <pcg_random.hpp>

namespace opalroute::lab {

double Median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  if (values.size() % 2 == 1) return *middle;
  return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

MedianInterval Bootstrap(const std::vector<double>& differences, std::uint64_t seed) {
  constexpr int kResamples = 2000;
  MedianInterval interval;
  interval.median = Median(differences);
  if (differences.empty()) return interval;
  pcg32 random(seed, 4);
  std::vector<double> medians, sample(differences.size());
  for (int i = 0; i < kResamples; ++i) {
    for (double& value : sample) value = differences[random(static_cast<std::uint32_t>(differences.size()))];
    medians.push_back(Median(sample));
  }
  std::sort(medians.begin(), medians.end());
  interval.low = medians[static_cast<std::size_t>(0.025 * kResamples)];
  interval.high = medians[static_cast<std::size_t>(0.975 * kResamples) - 1];
  return interval;
}

}  // namespace opalroute::lab
