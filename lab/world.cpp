#include "lab/world.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <utility>

namespace opalroute::lab {

World::World(const Scenario& scenario, std::uint64_t seed) : scenario_(scenario), random_(seed, 1) {
  const Scenario::Partners& plan = scenario.partners;
  const auto count = static_cast<std::size_t>(plan.count);
  double sum = 0;
  for (std::size_t i = 0; i < count; ++i) sum += std::pow(static_cast<double>(i + 1), -plan.zipf);
  for (std::size_t i = 0; i < count; ++i) {
    WorldPartner partner;
    partner.id = static_cast<DestinationId>(i + 1);
    partner.share = std::pow(static_cast<double>(i + 1), -plan.zipf) / sum;
    partners_.push_back(partner);
  }
  // Whom each trouble strikes: drawn until their load makes up the share, and never one twice at a time.
  for (const Trouble& trouble : scenario.troubles) {
    std::vector<bool> struck(count, false);
    if (trouble.partner >= 0) struck[static_cast<std::size_t>(trouble.partner)] = true;
    double left = trouble.share;
    for (int tries = 0; left > 0 && tries < 20 * plan.count; ++tries) {
      const std::size_t i = random_(static_cast<std::uint32_t>(count));
      const bool fits = partners_[i].share <= 1.3 * left || tries > 10 * plan.count;
      if (struck[i] || !fits) continue;
      struck[i] = true;
      left -= partners_[i].share;
    }
    struck_by_.push_back(struck);
  }
  for (std::size_t i = 0; i < count; ++i) {
    WorldPartner& partner = partners_[i];
    const int endpoints = std::max(1, static_cast<int>(std::lround(Draw(plan.endpoints))));
    partner.apart = Unit() < plan.apart;
    const double load = scenario.load.rate * partner.share;
    const double headroom = Draw(plan.headroom);
    partner.limit = headroom > 0 ? std::max(plan.least_limit, headroom * load) : 0;
    const double part = partner.limit / (partner.apart ? endpoints : 1);
    RouteSettings lane = LaneOf(load, partner.limit > 0 ? std::max(plan.least_limit, part) : 0);
    std::uint32_t shared = 0;
    if (!partner.apart) shared = AddLane(lane, OutagesOf(i, -1));
    for (int e = 0; e < endpoints; ++e) {
      PartnerEndpoint endpoint;
      endpoint.destination = partner.id;
      endpoint.zone = static_cast<int>(random_(static_cast<std::uint32_t>(scenario.zones.size())));
      endpoint.kind = partner.apart ? 1 : 0;
      std::vector<RouteFault> own = OutagesOf(i, endpoint.zone);
      if (partner.apart) {
        const auto all = OutagesOf(i, -1);
        own.insert(own.end(), all.begin(), all.end());
        std::sort(own.begin(), own.end(),
                  [](const RouteFault& a, const RouteFault& b) { return a.from < b.from; });
        shared = AddLane(lane, std::exchange(own, {}));
      }
      endpoint.lane = endpoint.machine = shared;
      if (!own.empty()) {  // one of several under a shared limit: its machine goes out alone
        RouteSettings machine = lane;
        machine.rate_limit = machine.retry_after_share = 0;
        machine.capacity = lane.capacity / endpoints;
        machine.max_queued_calls = -1;
        endpoint.machine = AddLane(machine, std::move(own));
      }
      const double rough =
          scenario.settings.listed_rate_accuracy == ListedRateAccuracy::kRough ? 0.5 + Unit() : 1;
      endpoint.rating = lane.rate_limit * rough;
      if (plan.connections.most > 0)
        endpoint.connections = std::max(1, static_cast<int>(std::lround(Draw(plan.connections))));
      partner.endpoints.push_back(AddEndpoint(endpoint));
    }
  }
}

RouteSettings World::LaneOf(double load, double limit) {
  const Scenario::Partners& plan = scenario_.partners;
  const Settings& rules = scenario_.settings;
  RouteSettings s;
  s.rate_limit = limit;
  s.window = Unit() < plan.window_share ? plan.window : 0;
  s.rejected_calls_count = plan.refused_count;
  s.capacity = limit > 0 ? plan.spare * limit : std::max(10.0, 4 * load);
  s.retry_after_share = Draw(plan.tells_wait);
  s.retry_after = Draw(plan.wait);
  s.mean_latency = Draw(plan.latency);
  s.latency_cv = plan.latency_cv;
  s.max_queued_calls = plan.queue;
  s.initial_capacity_share = rules.slow_start_initial_share;
  s.recovery_time = rules.slow_start_duration;
  s.overload_factor = rules.overload_factor;
  s.overload_window = rules.overload_window;
  return s;
}

std::vector<RouteFault> World::OutagesOf(std::size_t partner, int zone) const {
  std::vector<RouteFault> outages;
  for (std::size_t t = 0; t < scenario_.troubles.size(); ++t) {
    const Trouble& trouble = scenario_.troubles[t];
    if (!struck_by_[t][partner] || trouble.zone != zone) continue;
    outages.push_back(
        {trouble.kind, trouble.from, trouble.from + trouble.lasts, trouble.chance, trouble.factor});
  }
  return outages;
}

int World::WatchedPartner() const {
  for (std::size_t i = 0; i < partners_.size(); ++i)
    for (const std::vector<bool>& struck : struck_by_)
      if (struck[i]) return static_cast<int>(i);
  return 0;
}

double World::CapacityOf(std::size_t partner, Seconds now) const {
  double sum = 0;
  std::set<std::uint32_t> seen;
  for (const EndpointId id : partners_[partner].endpoints)
    if (seen.insert(endpoint(id).lane).second) sum += lanes_[endpoint(id).lane]->CapacityAt(now);
  return sum;
}

std::uint32_t World::AddLane(const RouteSettings& settings, std::vector<RouteFault> outages) {
  lanes_.push_back(std::make_unique<RouteModel>(settings, std::move(outages), random_()));
  return static_cast<std::uint32_t>(lanes_.size() - 1);
}

EndpointId World::AddEndpoint(PartnerEndpoint endpoint) {
  endpoint.id = static_cast<EndpointId>(endpoints_.size() + 1);
  endpoints_.push_back(endpoint);
  return endpoint.id;
}

std::vector<World::ListChange> World::Change(const PoolChange& change,
                                             const std::function<EndpointStatus(EndpointId)>& listing_of,
                                             const std::function<double()>& draw) {
  std::vector<ListChange> changes;
  std::set<EndpointId> leaving;
  const std::size_t count = endpoints_.size();
  for (EndpointId id = 1; id <= count; ++id) {
    if (listing_of(id) != EndpointStatus::kInService || draw() >= change.share) continue;
    if (change.kind == PoolChange::Kind::kReplace) {
      changes.push_back({Replace(id), EndpointStatus::kInService});
    } else {
      const WorldPartner& partner = partners_[static_cast<std::size_t>(endpoint(id).destination - 1)];
      const auto left = std::count_if(partner.endpoints.begin(), partner.endpoints.end(), [&](EndpointId e) {
        return listing_of(e) == EndpointStatus::kInService && leaving.count(e) == 0;
      });
      if (left < 2) continue;  // a partner that drains its last endpoint has left
    }
    leaving.insert(id);
    changes.push_back({id, EndpointStatus::kDraining});
  }
  return changes;
}

EndpointId World::Replace(EndpointId old) {
  PartnerEndpoint endpoint = endpoints_[old - 1];
  if (endpoint.kind == 1) endpoint.lane = AddLane(lanes_[endpoint.lane]->settings(), {});
  endpoint.machine = endpoint.lane;
  const EndpointId fresh = AddEndpoint(endpoint);
  partners_[static_cast<std::size_t>(endpoint.destination - 1)].endpoints.push_back(fresh);
  return fresh;
}

}  // namespace opalroute::lab
