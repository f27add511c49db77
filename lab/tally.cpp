#include "lab/tally.h"

#include <algorithm>
#include <cmath>

namespace opalroute::lab {

Tally::Tally(World& world, std::uint64_t seed) : world_(world), s_(world.scenario()) {
  result_.scenario = s_.name;
  result_.seed = seed;
  for (const ClassPlan& c : s_.classes) {
    result_.classes.emplace_back();
    result_.classes.back().name = c.name;
  }
  result_.seconds.resize(static_cast<std::size_t>(std::ceil(s_.lasts)));
  for (const WorldPartner& partner : world.partners())
    result_.partners.push_back({static_cast<int>(partner.id), partner.share, partner.limit});
  for (const WorldPartner& partner : world.partners())
    elsewhere_.push_back(std::any_of(partner.endpoints.begin(), partner.endpoints.end(), [&](EndpointId id) {
      return world.endpoint(id).zone != world.endpoint(partner.endpoints.front()).zone;
    }));
  result_.watched = world.WatchedPartner();
}

Second& Tally::SecondAt(Seconds when) {
  const auto index = static_cast<std::size_t>(std::max(0.0, when));
  if (index >= result_.seconds.size()) result_.seconds.resize(index + 1);
  return result_.seconds[index];
}

void Tally::Offered(const Arrival& arrival) {
  const auto index = static_cast<std::size_t>(arrival.message_class);
  ++result_.classes[index].asked;
  result_.classes[index].worth_asked += s_.classes[index].rules.priority_weight;
  ++result_.partners[arrival.partner].asked;
  ++SecondAt(arrival.due).offered;
}

void Tally::Delivered(const Arrival& arrival, Seconds now) {
  const auto index = static_cast<std::size_t>(arrival.message_class);
  ClassOutcome& c = result_.classes[index];
  const RequestClass& rules = s_.classes[index].rules;
  const Seconds took = now - arrival.due;
  ++c.delivered;
  c.latency.Add(took);
  ++result_.partners[arrival.partner].delivered;
  ++SecondAt(arrival.due).delivered;
  if (took <= rules.latency_objective) {
    ++c.in_aim;
    c.worth += rules.priority_weight;
  } else if (took < rules.deadline) {
    c.worth +=
        rules.priority_weight * (1 - (1 - rules.weight_at_deadline) * (took - rules.latency_objective) /
                                         (rules.deadline - rules.latency_objective));
  }
}

void Tally::Refused(Seconds now) {
  ++result_.refused;
  ++SecondAt(now).refused;
}

void Tally::Failed(Seconds now) {
  ++result_.failed;
  ++SecondAt(now).failed;
}

void Tally::Call(Seconds now, int relay, EndpointId id) {
  const PartnerEndpoint& endpoint = world_.endpoint(id);
  const auto count = [](std::vector<long>& counts, std::size_t at) {
    if (counts.size() <= at) counts.resize(at + 1);
    ++counts[at];
  };
  const auto partner = static_cast<std::size_t>(endpoint.destination - 1);
  count(SecondAt(now).zone_calls, static_cast<std::size_t>(endpoint.zone));
  if (elsewhere_[partner]) count(SecondAt(now).spared_calls, static_cast<std::size_t>(endpoint.zone));
  count(result_.endpoint_calls, id - 1);
  // The endpoints of a partner can all do the same; what is listed of them may be off by half, and is no
  // measure.
  constexpr double kEvenPart = 1;
  result_.even.Call(now, endpoint.destination, id, kEvenPart);
  count(result_.relay_calls, static_cast<std::size_t>(relay));
  ++result_.calls;
  Second& second = SecondAt(now);
  ++second.calls;
  ++result_.partners[partner].calls;
  if (static_cast<int>(partner) == result_.watched) ++second.watched_calls;
}

void Tally::Full(Seconds now) { ++SecondAt(now).full; }

void Tally::AttemptEnded(Outcome outcome) {
  if (outcome == Outcome::kError) ++result_.errors;
  if (outcome == Outcome::kRejected) ++result_.full;
  if (outcome == Outcome::kTimeout) ++result_.timeouts;
  if (outcome == Outcome::kConnectFailed || outcome == Outcome::kOutOfConnections) ++result_.unconnected;
  if (outcome == Outcome::kReset) ++result_.resets;
}

void Tally::Sample(Seconds now) {
  SecondAt(now).watched_capacity =
      world_.CapacityOf(static_cast<std::size_t>(result_.watched), std::max(0.0, now));
}

}  // namespace opalroute::lab
