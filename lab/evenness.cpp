#include "lab/evenness.h"

#include <algorithm>
#include <numeric>
#include <pcg_random.hpp>
#include <random>

namespace opalroute::lab {

namespace {

constexpr int kDraws = 20;  // of the same calls by independent draws, for what chance alone gives

struct Figures {
  double jain = 1, most = 1;
};

Figures FiguresOf(const std::vector<int>& calls, const std::vector<double>& parts) {
  double sum = 0, squares = 0, most = 0;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    const double x = calls[i] / parts[i];
    sum += x;
    squares += x * x;
    most = std::max(most, x);
  }
  const auto count = static_cast<double>(calls.size());
  return squares > 0 ? Figures{sum * sum / (count * squares), most * count / sum} : Figures{};
}

}  // namespace

void EvenCount::Call(Seconds now, DestinationId destination, EndpointId endpoint, double part) {
  Endpoint& e = calls_[destination][endpoint];
  e.part = part;
  const auto second = static_cast<std::size_t>(std::max(0.0, now));
  if (e.by_second.size() <= second) e.by_second.resize(second + 1);
  ++e.by_second[second];
}

Evenness EvenCount::Of(int seconds) const {
  Evenness sum{static_cast<Seconds>(seconds), 0, 0, 0, 0, 0, 0};
  pcg32 random(1, 31);
  for (const auto& [destination, endpoints] : calls_) {
    if (endpoints.size() < 2) continue;
    std::vector<double> parts;
    std::size_t longest = 0;
    for (const auto& [id, e] : endpoints) {
      parts.push_back(e.part);
      longest = std::max(longest, e.by_second.size());
    }
    std::discrete_distribution<std::size_t> draw(parts.begin(), parts.end());
    const auto span = static_cast<std::size_t>(seconds);
    for (std::size_t from = 0; from + span <= longest; from += span) {
      std::vector<int> calls;
      for (const auto& [id, e] : endpoints) {
        int count = 0;
        for (std::size_t s = from; s < std::min(from + span, e.by_second.size()); ++s)
          count += e.by_second[s];
        calls.push_back(count);
      }
      const int all = std::accumulate(calls.begin(), calls.end(), 0);
      if (all < kCallsEach * static_cast<int>(calls.size())) continue;
      ++sum.counted;
      sum.idle += std::count(calls.begin(), calls.end(), 0);
      const Figures seen = FiguresOf(calls, parts);
      sum.jain += seen.jain;
      sum.most += seen.most;
      for (int i = 0; i < kDraws; ++i) {
        std::fill(calls.begin(), calls.end(), 0);
        for (int call = 0; call < all; ++call) ++calls[draw(random)];
        const Figures drawn = FiguresOf(calls, parts);
        sum.jain_by_chance += drawn.jain / kDraws;
        sum.most_by_chance += drawn.most / kDraws;
      }
    }
  }
  const double n = std::max(1, sum.counted);
  for (double* mean : {&sum.jain, &sum.jain_by_chance, &sum.most, &sum.most_by_chance}) *mean /= n;
  return sum;
}

}  // namespace opalroute::lab
