#include "lab/link_model.h"

#include <algorithm>
#include <cmath>

namespace opalroute::lab {

namespace {

bool InGroup(const LinkCut& cut, int relay) { return relay >= cut.first && relay <= cut.last; }

}  // namespace

bool LinkModel::IsActive(const LinkCut& cut, Seconds now) {
  if (now < cut.from || now >= cut.from + cut.duration) return false;
  return cut.cut_time <= 0 || std::fmod(now - cut.from, cut.cut_time + cut.open_time) < cut.cut_time;
}

bool LinkModel::IsPeerLinkCut(Seconds now, int from, int to) const {
  return std::any_of(settings_.cuts.begin(), settings_.cuts.end(), [&](const LinkCut& cut) {
    if (cut.target != LinkCut::Target::kPeers || !IsActive(cut, now) ||
        InGroup(cut, from) == InGroup(cut, to))
      return false;
    return cut.direction == LinkCut::Direction::kBoth ||
           (cut.direction == LinkCut::Direction::kOutbound) == InGroup(cut, from);
  });
}

bool LinkModel::IsEndpointLinkCut(Seconds now, int relay, int zone) const {
  return std::any_of(settings_.cuts.begin(), settings_.cuts.end(), [&](const LinkCut& cut) {
    return cut.target == LinkCut::Target::kEndpoints && IsActive(cut, now) && InGroup(cut, relay) &&
           (cut.zone < 0 || cut.zone == zone);
  });
}

bool LinkModel::IsDiscoveryLinkCut(Seconds now, int relay) const {
  return std::any_of(settings_.cuts.begin(), settings_.cuts.end(), [&](const LinkCut& cut) {
    return cut.target == LinkCut::Target::kDiscovery && IsActive(cut, now) && InGroup(cut, relay);
  });
}

std::vector<Seconds> LinkModel::DrawArrivals(Seconds now, int from, int to) {
  std::vector<Seconds> arrivals;
  if (IsPeerLinkCut(now, from, to) || DrawUniform(random_) < settings_.loss) return arrivals;
  const auto draw_delay = [this] {
    return DrawFrom(settings_.delay, random_) * (DrawUniform(random_) < settings_.reorder ? 10 : 1);
  };
  arrivals.push_back(now + draw_delay());
  if (DrawUniform(random_) < settings_.duplicate) arrivals.push_back(now + draw_delay());
  return arrivals;
}

}  // namespace opalroute::lab
