#include "lab/links.h"

#include <algorithm>
#include <cmath>

namespace opalroute::lab {

namespace {

bool InGroup(const Cut& cut, int relay) { return relay >= cut.first && relay <= cut.last; }

}  // namespace

bool Links::Holds(const Cut& cut, Seconds now) {
  if (now < cut.from || now >= cut.from + cut.lasts) return false;
  return cut.on <= 0 || std::fmod(now - cut.from, cut.on + cut.off) < cut.on;
}

bool Links::PeersCut(Seconds now, int from, int to) const {
  return std::any_of(plan_.cuts.begin(), plan_.cuts.end(), [&](const Cut& cut) {
    if (cut.what != Cut::What::kPeers || !Holds(cut, now) || InGroup(cut, from) == InGroup(cut, to))
      return false;
    return cut.way == Cut::Way::kBoth || (cut.way == Cut::Way::kOut) == InGroup(cut, from);
  });
}

bool Links::EndpointsCut(Seconds now, int relay, int zone) const {
  return std::any_of(plan_.cuts.begin(), plan_.cuts.end(), [&](const Cut& cut) {
    return cut.what == Cut::What::kEndpoints && Holds(cut, now) && InGroup(cut, relay) &&
           (cut.zone < 0 || cut.zone == zone);
  });
}

bool Links::DiscoveryCut(Seconds now, int relay) const {
  return std::any_of(plan_.cuts.begin(), plan_.cuts.end(), [&](const Cut& cut) {
    return cut.what == Cut::What::kDiscovery && Holds(cut, now) && InGroup(cut, relay);
  });
}

std::vector<Seconds> Links::Arrivals(Seconds now, int from, int to) {
  std::vector<Seconds> arrivals;
  if (PeersCut(now, from, to) || DrawUniform(random_) < plan_.loss) return arrivals;
  const auto one = [this] {
    return DrawFrom(plan_.delay, random_) * (DrawUniform(random_) < plan_.reorder ? 10 : 1);
  };
  arrivals.push_back(now + one());
  if (DrawUniform(random_) < plan_.duplicate) arrivals.push_back(now + one());
  return arrivals;
}

}  // namespace opalroute::lab
