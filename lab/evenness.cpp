#include "lab/evenness.h"

#include <algorithm>
#include <numeric>
#include <pcg_random.hpp>
#include <random>

namespace opalroute::lab {

namespace {

constexpr int kRandomTrials = 20;  // random distributions of the same calls, for comparison

struct Balance {
  double jain = 1, max_over_mean = 1;
};

Balance BalanceOf(const std::vector<int>& calls, const std::vector<double>& weights) {
  double sum = 0, squares = 0, max = 0;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    const double x = calls[i] / weights[i];
    sum += x;
    squares += x * x;
    max = std::max(max, x);
  }
  const auto count = static_cast<double>(calls.size());
  return squares > 0 ? Balance{sum * sum / (count * squares), max * count / sum} : Balance{};
}

}  // namespace

void EvennessCounter::CountCall(Seconds now, DestinationId destination, EndpointId endpoint, double weight) {
  Endpoint& e = calls_[destination][endpoint];
  e.weight = weight;
  const auto second = static_cast<std::size_t>(std::max(0.0, now));
  if (e.calls_by_second.size() <= second) e.calls_by_second.resize(second + 1);
  ++e.calls_by_second[second];
}

Evenness EvennessCounter::Compute(int span_seconds) const {
  Evenness sum{static_cast<Seconds>(span_seconds), 0, 0, 0, 0, 0, 0};
  pcg32 random(1, 31);
  for (const auto& [destination, endpoints] : calls_) {
    if (endpoints.size() < 2) continue;
    std::vector<double> weights;
    std::size_t longest = 0;
    for (const auto& [id, e] : endpoints) {
      weights.push_back(e.weight);
      longest = std::max(longest, e.calls_by_second.size());
    }
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    const auto span = static_cast<std::size_t>(span_seconds);
    for (std::size_t from = 0; from + span <= longest; from += span) {
      std::vector<int> calls;
      for (const auto& [id, e] : endpoints) {
        int count = 0;
        for (std::size_t s = from; s < std::min(from + span, e.calls_by_second.size()); ++s)
          count += e.calls_by_second[s];
        calls.push_back(count);
      }
      const int total = std::accumulate(calls.begin(), calls.end(), 0);
      if (total < kMinMeanCalls * static_cast<int>(calls.size())) continue;
      ++sum.spans;
      sum.idle_spans += std::count(calls.begin(), calls.end(), 0);
      const Balance actual = BalanceOf(calls, weights);
      sum.jain += actual.jain;
      sum.max_over_mean += actual.max_over_mean;
      for (int i = 0; i < kRandomTrials; ++i) {
        std::fill(calls.begin(), calls.end(), 0);
        for (int call = 0; call < total; ++call) ++calls[draw(random)];
        const Balance drawn = BalanceOf(calls, weights);
        sum.jain_random += drawn.jain / kRandomTrials;
        sum.max_over_mean_random += drawn.max_over_mean / kRandomTrials;
      }
    }
  }
  const double n = std::max(1, sum.spans);
  for (double* mean : {&sum.jain, &sum.jain_random, &sum.max_over_mean, &sum.max_over_mean_random})
    *mean /= n;
  return sum;
}

}  // namespace opalroute::lab
