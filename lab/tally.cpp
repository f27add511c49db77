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
  result_.seconds.resize(static_cast<std::size_t>(std::ceil(s_.duration)));
  for (const PartnerInfo& partner : world.partners())
    result_.partners.push_back({static_cast<int>(partner.id), partner.share, partner.limit});
  for (const PartnerInfo& partner : world.partners())
    multi_zone_.push_back(std::any_of(partner.endpoints.begin(), partner.endpoints.end(), [&](EndpointId id) {
      return world.endpoint(id).zone != world.endpoint(partner.endpoints.front()).zone;
    }));
  result_.watched_partner = world.WatchedPartner();
}

SecondCounts& Tally::SecondAt(Seconds when) {
  const auto index = static_cast<std::size_t>(std::max(0.0, when));
  if (index >= result_.seconds.size()) result_.seconds.resize(index + 1);
  return result_.seconds[index];
}

void Tally::CountOffered(const Arrival& arrival) {
  const auto index = static_cast<std::size_t>(arrival.message_class);
  ++result_.classes[index].offered;
  result_.classes[index].offered_value += s_.classes[index].rules.priority_weight;
  ++result_.partners[arrival.partner].offered;
  ++SecondAt(arrival.due).offered;
}

void Tally::CountDelivered(const Arrival& arrival, Seconds now) {
  const auto index = static_cast<std::size_t>(arrival.message_class);
  ClassOutcome& c = result_.classes[index];
  const RequestClass& rules = s_.classes[index].rules;
  const Seconds latency = now - arrival.due;
  ++c.delivered;
  c.latency.Add(latency);
  ++result_.partners[arrival.partner].delivered;
  ++SecondAt(arrival.due).delivered;
  if (latency <= rules.latency_objective) {
    ++c.within_objective;
    c.value += rules.priority_weight;
  } else if (latency < rules.deadline) {
    c.value +=
        rules.priority_weight * (1 - (1 - rules.weight_at_deadline) * (latency - rules.latency_objective) /
                                         (rules.deadline - rules.latency_objective));
  }
}

void Tally::CountRejected(Seconds now) {
  ++result_.rejected;
  ++SecondAt(now).rejected;
}

void Tally::CountFailed(Seconds now) {
  ++result_.failed;
  ++SecondAt(now).failed;
}

void Tally::CountCall(Seconds now, int relay, EndpointId id) {
  const PartnerEndpoint& endpoint = world_.endpoint(id);
  const auto count = [](std::vector<long>& counts, std::size_t at) {
    if (counts.size() <= at) counts.resize(at + 1);
    ++counts[at];
  };
  const auto partner = static_cast<std::size_t>(endpoint.destination - 1);
  count(SecondAt(now).zone_calls, static_cast<std::size_t>(endpoint.zone));
  if (multi_zone_[partner])
    count(SecondAt(now).multi_zone_partner_calls, static_cast<std::size_t>(endpoint.zone));
  count(result_.endpoint_calls, id - 1);
  // All endpoints of a partner have the same capacity. Their listed rates may be off by half and are no
  // measure.
  constexpr double kEqualWeight = 1;
  result_.evenness.CountCall(now, endpoint.destination, id, kEqualWeight);
  count(result_.relay_calls, static_cast<std::size_t>(relay));
  ++result_.calls;
  SecondCounts& second = SecondAt(now);
  ++second.calls;
  ++result_.partners[partner].calls;
  if (static_cast<int>(partner) == result_.watched_partner) ++second.watched_calls;
}

void Tally::CountRejectedCall(Seconds now) { ++SecondAt(now).rejected_calls; }

void Tally::CountAttempt(Outcome outcome) {
  if (outcome == Outcome::kError) ++result_.failed_attempts;
  if (outcome == Outcome::kRejected) ++result_.rejected_attempts;
  if (outcome == Outcome::kTimeout) ++result_.timeouts;
  if (outcome == Outcome::kConnectFailed || outcome == Outcome::kOutOfConnections) ++result_.connect_failures;
  if (outcome == Outcome::kReset) ++result_.resets;
}

void Tally::SampleCapacity(Seconds now) {
  SecondAt(now).watched_capacity =
      world_.CapacityOf(static_cast<std::size_t>(result_.watched_partner), std::max(0.0, now));
}

}  // namespace opalroute::lab
