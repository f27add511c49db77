#include "dns/server_selector.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace opalroute::dns {

namespace {

constexpr double kSmoothingGain = 0.2;                    // weight of the newest response time
constexpr Seconds kHalfLife = 60;                         // of a known response time
constexpr Seconds kFirstBackoff = 0.5, kMaxBackoff = 30;  // doubled with each consecutive failure
constexpr Seconds kMinTimeout = 0.2, kMaxTimeout = 2;     // of one attempt
constexpr Seconds kDefaultTimeout = 0.6;                  // while no response time is known
constexpr double kTimeoutFactor = 4;                      // multiple of the smoothed response time

}  // namespace

std::size_t ServerSelector::Select(Seconds now, const std::vector<int>& attempts) const {
  const auto rank = [&](std::size_t i) {
    const Server& s = servers_[i];
    const bool in_backoff = now < s.backoff_until;
    const double decayed_time = s.smoothed_time * std::exp2(-(now - s.last_answer_at) / kHalfLife);
    return std::make_tuple(attempts[i], in_backoff, in_backoff ? s.backoff_until : decayed_time, i);
  };
  std::size_t best = 0;
  for (std::size_t i = 1; i < servers_.size(); ++i)
    if (rank(i) < rank(best)) best = i;
  return best;
}

void ServerSelector::OnAnswer(std::size_t server, Seconds now, Seconds duration) {
  Server& s = servers_[server];
  s.smoothed_time =
      s.smoothed_time > 0 ? s.smoothed_time + kSmoothingGain * (duration - s.smoothed_time) : duration;
  s.last_answer_at = now;
  s.failures = 0;
  s.backoff_until = 0;
}

void ServerSelector::OnFailure(std::size_t server, Seconds now, double random) {
  Server& s = servers_[server];
  const Seconds backoff = std::min(kMaxBackoff, kFirstBackoff * std::exp2(std::min(s.failures, 10)));
  ++s.failures;
  s.backoff_until = now + backoff * (0.75 + 0.5 * random);
}

Seconds ServerSelector::Timeout(std::size_t server, int earlier_attempts) const {
  const Seconds time = servers_[server].smoothed_time;
  const Seconds first = time > 0 ? kTimeoutFactor * time : kDefaultTimeout;
  return std::clamp(first * std::exp2(earlier_attempts), kMinTimeout, kMaxTimeout);
}

}  // namespace opalroute::dns
