#include "zones/evidence.h"

#include <algorithm>
#include <cmath>

#include "parts.h"

namespace opalroute::zones {

namespace {

constexpr Seconds kSameCall = 0.05;       // two times of sending that are one call's differ by less
constexpr double kGain = 0.2;             // of the newest time of a call
constexpr std::size_t kMostOut = 64;      // calls watched for silence, an endpoint
constexpr std::size_t kMostHeld = 20000;  // endpoints; then those at rest are dropped

std::uint32_t BitOf(DestinationId destination) {
  return 1U << Random(static_cast<std::uint64_t>(destination)).Below(kPartnerBits);
}

Wrong WrongOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kFull:
      return Wrong::kTurnedAway;
    case Outcome::kConnectFailed:
      return Wrong::kRefused;
    case Outcome::kError:
    case Outcome::kReset:
      return Wrong::kBroken;
    case Outcome::kTimeout:
      return Wrong::kSilent;
    case Outcome::kServed:
    case Outcome::kCancelled:
    case Outcome::kNotSent:
    case Outcome::kNotLeft:
    case Outcome::kCrowded:  // its table is full: it is there
      break;
  }
  return Wrong::kNone;
}

}  // namespace

const char* NameOf(Wrong wrong) {
  constexpr const char* kNames[] = {"none", "turned away", "refused", "broken", "silent", "slow"};
  return kNames[static_cast<int>(wrong)];
}

void Evidence::Sent(Seconds now, int zone, DestinationId destination, EndpointId endpoint) {
  if (endpoints_.size() > kMostHeld)
    for (auto it = endpoints_.begin(); it != endpoints_.end();)
      it = it->second.out.empty() ? endpoints_.erase(it) : std::next(it);
  Endpoint& e = endpoints_[endpoint];
  e.zone = zone;
  e.destination = destination;
  if (e.out.size() < kMostOut) e.out.push_back(now);
}

void Evidence::Ended(Seconds now, int zone, DestinationId destination, EndpointId endpoint, Outcome outcome,
                     Seconds duration) {
  const auto it = endpoints_.find(endpoint);
  const Seconds sent = now - duration;
  Seconds usual = 0;
  if (it != endpoints_.end()) {
    Endpoint& e = it->second;
    const auto nearest = std::min_element(e.out.begin(), e.out.end(), [sent](Seconds a, Seconds b) {
      return std::abs(a - sent) < std::abs(b - sent);
    });
    const bool known = nearest != e.out.end() && std::abs(*nearest - sent) < kSameCall;
    if (known) e.out.erase(nearest);
    if (!known && outcome == Outcome::kTimeout) return;  // its silence has counted already
    usual = e.usual;
    if (outcome == Outcome::kServed && (usual <= 0 || duration < rules_.slow_after * usual))
      for (Seconds* mean : {&e.usual, &usual_})
        *mean = *mean > 0 ? *mean + kGain * (duration - *mean) : duration;
  }
  if (outcome == Outcome::kServed)
    return Note(now, zone, destination, sent,
                usual > 0 && duration > rules_.slow_after * usual ? Wrong::kSlow : Wrong::kNone);
  const Wrong wrong = WrongOf(outcome);
  if (wrong != Wrong::kNone) Note(now, zone, destination, sent, wrong);
}

void Evidence::Tick(Seconds now) {
  for (auto& [id, e] : endpoints_) {
    const Seconds usual = e.usual > 0 ? e.usual : usual_;
    const Seconds longest = usual > 0 ? rules_.silent_after * usual : rules_.unknown;
    const auto late =
        std::remove_if(e.out.begin(), e.out.end(), [&](Seconds sent) { return now - sent > longest; });
    if (late == e.out.end()) continue;
    const Seconds sent = *std::max_element(late, e.out.end());
    e.out.erase(late, e.out.end());
    Note(now, e.zone, e.destination, sent, Wrong::kSilent);
  }
}

// A call that was served says that all was well when it was sent; one that was not, that it isn't now.
void Evidence::Note(Seconds now, int zone, DestinationId destination, Seconds sent, Wrong wrong) {
  if (zone < 0 || zone >= zones()) return;
  Zone& z = zones_[static_cast<std::size_t>(zone)];
  Latest& latest = z.latest[destination];
  if (wrong == Wrong::kNone) {
    latest.served = std::max(latest.served, sent);
    if (sent >= latest.at) latest = {true, sent, latest.served};
    z.good_at = std::max(z.good_at, sent);
  } else {
    latest = {false, now, latest.served};
    z.bad_at = now;
    z.wrong = wrong;
  }
}

Sight Evidence::Of(Seconds now, int zone) const {
  const Zone& z = zones_[static_cast<std::size_t>(zone)];
  Sight sight{0, 0, 0, z.good_at, z.bad_at, z.wrong};
  for (const auto& [destination, latest] : z.latest) {
    const std::uint32_t bit = BitOf(destination);
    // Only since this relay was last served there: where calls fail by chance, none of it adds up.
    if (!latest.good && latest.at > std::max(now - rules_.bad_for, z.good_at)) sight.bad |= bit;
    if (latest.good && latest.at > now - rules_.fresh) sight.good |= bit;
    if (latest.served > now - rules_.remembered) sight.seen |= bit;
  }
  sight.good &= ~sight.bad;
  return sight;
}

}  // namespace opalroute::zones
