#include "dns/servers.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace opalroute::dns {

namespace {

constexpr double kGain = 0.2;                               // weight of the newest time
constexpr Seconds kFades = 60;                              // a known time counts half as much after this
constexpr Seconds kFirstBackoff = 0.5, kMostBackoff = 30;   // doubled with each failure in a row
constexpr Seconds kLeastPatience = 0.2, kMostPatience = 2;  // of one try
constexpr Seconds kUnknownPatience = 0.6;
constexpr double kPatience = 4;  // usual times

}  // namespace

std::size_t Servers::Pick(Seconds now, const std::vector<int>& asked) const {
  const auto rank = [&](std::size_t i) {
    const Server& s = servers_[i];
    const bool rests = now < s.backoff_until;
    const double known = s.usual * std::exp2(-(now - s.last) / kFades);
    return std::make_tuple(asked[i], rests, rests ? s.backoff_until : known, i);
  };
  std::size_t best = 0;
  for (std::size_t i = 1; i < servers_.size(); ++i)
    if (rank(i) < rank(best)) best = i;
  return best;
}

void Servers::Answered(std::size_t server, Seconds now, Seconds took) {
  Server& s = servers_[server];
  s.usual = s.usual > 0 ? s.usual + kGain * (took - s.usual) : took;
  s.last = now;
  s.failures = 0;
  s.backoff_until = 0;
}

void Servers::Failed(std::size_t server, Seconds now, double draw) {
  Server& s = servers_[server];
  const Seconds backoff = std::min(kMostBackoff, kFirstBackoff * std::exp2(std::min(s.failures, 10)));
  ++s.failures;
  s.backoff_until = now + backoff * (0.75 + 0.5 * draw);
}

Seconds Servers::Patience(std::size_t server, int tries) const {
  const Seconds usual = servers_[server].usual;
  const Seconds first = usual > 0 ? kPatience * usual : kUnknownPatience;
  return std::clamp(first * std::exp2(tries), kLeastPatience, kMostPatience);
}

}  // namespace opalroute::dns
