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
  for (std::size_t i = 0; i < count; ++i) sum += std::pow(static_cast<double>(i + 1), -plan.zipf_exponent);
  for (std::size_t i = 0; i < count; ++i) {
    PartnerInfo partner;
    partner.id = static_cast<DestinationId>(i + 1);
    partner.share = std::pow(static_cast<double>(i + 1), -plan.zipf_exponent) / sum;
    partners_.push_back(partner);
  }
  // Draws the partners that each fault affects until their load adds up to its share, each partner at most
  // once. A partner much larger than what is left is taken only after many tries.
  for (const PartnerFault& fault : scenario.partner_faults) {
    std::vector<bool> affected(count, false);
    if (fault.partner >= 0) affected[static_cast<std::size_t>(fault.partner)] = true;
    double left = fault.share;
    for (int tries = 0; left > 0 && tries < 20 * plan.count; ++tries) {
      const std::size_t i = random_(static_cast<std::uint32_t>(count));
      const bool fits = partners_[i].share <= 1.3 * left || tries > 10 * plan.count;
      if (affected[i] || !fits) continue;
      affected[i] = true;
      left -= partners_[i].share;
    }
    affected_.push_back(affected);
  }
  for (std::size_t i = 0; i < count; ++i) {
    PartnerInfo& partner = partners_[i];
    const int endpoints = std::max(1, static_cast<int>(std::lround(Draw(plan.endpoints))));
    partner.separate_routes = Uniform() < plan.separate_routes_share;
    const double load = scenario.load.rate * partner.share;
    const double headroom = Draw(plan.headroom);
    partner.limit = headroom > 0 ? std::max(plan.min_limit, headroom * load) : 0;
    const double part = partner.limit / (partner.separate_routes ? endpoints : 1);
    RouteSettings route = DrawRouteSettings(load, partner.limit > 0 ? std::max(plan.min_limit, part) : 0);
    std::uint32_t shared = 0;
    if (!partner.separate_routes) shared = AddRoute(route, OutagesOf(i, -1));
    for (int e = 0; e < endpoints; ++e) {
      PartnerEndpoint endpoint;
      endpoint.destination = partner.id;
      endpoint.zone = static_cast<int>(random_(static_cast<std::uint32_t>(scenario.zones.size())));
      endpoint.kind = partner.separate_routes ? 1 : 0;
      std::vector<RouteFault> own = OutagesOf(i, endpoint.zone);
      if (partner.separate_routes) {
        const auto all = OutagesOf(i, -1);
        own.insert(own.end(), all.begin(), all.end());
        std::sort(own.begin(), own.end(),
                  [](const RouteFault& a, const RouteFault& b) { return a.from < b.from; });
        shared = AddRoute(route, std::exchange(own, {}));
      }
      endpoint.route = endpoint.machine_route = shared;
      if (!own.empty()) {  // its limit is shared with other endpoints, and its machine has outages of its own
        RouteSettings machine = route;
        machine.rate_limit = machine.retry_after_share = 0;
        machine.capacity = route.capacity / endpoints;
        machine.max_queued_calls = -1;
        endpoint.machine_route = AddRoute(machine, std::move(own));
      }
      const double error_factor =
          scenario.settings.listed_rate_accuracy == ListedRateAccuracy::kRough ? 0.5 + Uniform() : 1;
      endpoint.listed_rate = route.rate_limit * error_factor;
      if (plan.max_connections.max > 0)
        endpoint.max_connections = std::max(1, static_cast<int>(std::lround(Draw(plan.max_connections))));
      partner.endpoints.push_back(AddEndpoint(endpoint));
    }
  }
}

RouteSettings World::DrawRouteSettings(double load, double limit) {
  const Scenario::Partners& plan = scenario_.partners;
  const Settings& rules = scenario_.settings;
  RouteSettings s;
  s.rate_limit = limit;
  s.window = Uniform() < plan.window_share ? plan.window : 0;
  s.rejected_calls_count = plan.rejected_calls_count;
  s.capacity = limit > 0 ? plan.capacity_over_limit * limit : std::max(10.0, 4 * load);
  s.retry_after_share = Draw(plan.retry_after_share);
  s.retry_after = Draw(plan.retry_after);
  s.mean_latency = Draw(plan.mean_latency);
  s.latency_cv = plan.latency_cv;
  s.max_queued_calls = plan.max_queued_calls;
  s.initial_capacity_share = rules.slow_start_initial_share;
  s.recovery_time = rules.slow_start_duration;
  s.overload_factor = rules.overload_factor;
  s.overload_window = rules.overload_window;
  return s;
}

std::vector<RouteFault> World::OutagesOf(std::size_t partner, int zone) const {
  std::vector<RouteFault> outages;
  for (std::size_t t = 0; t < scenario_.partner_faults.size(); ++t) {
    const PartnerFault& fault = scenario_.partner_faults[t];
    if (!affected_[t][partner] || fault.zone != zone) continue;
    outages.push_back(
        {fault.kind, fault.start, fault.start + fault.duration, fault.probability, fault.latency_factor});
  }
  return outages;
}

int World::WatchedPartner() const {
  for (std::size_t i = 0; i < partners_.size(); ++i)
    for (const std::vector<bool>& affected : affected_)
      if (affected[i]) return static_cast<int>(i);
  return 0;
}

double World::CapacityOf(std::size_t partner, Seconds now) const {
  double sum = 0;
  std::set<std::uint32_t> seen;
  for (const EndpointId id : partners_[partner].endpoints)
    if (seen.insert(endpoint(id).route).second) sum += routes_[endpoint(id).route]->CapacityAt(now);
  return sum;
}

std::uint32_t World::AddRoute(const RouteSettings& settings, std::vector<RouteFault> outages) {
  routes_.push_back(std::make_unique<RouteModel>(settings, std::move(outages), random_()));
  return static_cast<std::uint32_t>(routes_.size() - 1);
}

EndpointId World::AddEndpoint(PartnerEndpoint endpoint) {
  endpoint.id = static_cast<EndpointId>(endpoints_.size() + 1);
  endpoints_.push_back(endpoint);
  return endpoint.id;
}

std::vector<World::ListChange> World::ApplyChange(const EndpointChange& change,
                                                  const std::function<EndpointStatus(EndpointId)>& status_of,
                                                  const std::function<double()>& draw) {
  std::vector<ListChange> changes;
  std::set<EndpointId> draining;
  const std::size_t count = endpoints_.size();
  for (EndpointId id = 1; id <= count; ++id) {
    if (status_of(id) != EndpointStatus::kInService || draw() >= change.share) continue;
    if (change.kind == EndpointChange::Kind::kReplace) {
      changes.push_back({Replace(id), EndpointStatus::kInService});
    } else {
      const PartnerInfo& partner = partners_[static_cast<std::size_t>(endpoint(id).destination - 1)];
      const auto left = std::count_if(partner.endpoints.begin(), partner.endpoints.end(), [&](EndpointId e) {
        return status_of(e) == EndpointStatus::kInService && draining.count(e) == 0;
      });
      if (left < 2) continue;  // the last endpoint in service is not drained: the partner would have none
    }
    draining.insert(id);
    changes.push_back({id, EndpointStatus::kDraining});
  }
  return changes;
}

EndpointId World::Replace(EndpointId old) {
  PartnerEndpoint endpoint = endpoints_[old - 1];
  if (endpoint.kind == 1) endpoint.route = AddRoute(routes_[endpoint.route]->settings(), {});
  endpoint.machine_route = endpoint.route;
  const EndpointId replacement = AddEndpoint(endpoint);
  partners_[static_cast<std::size_t>(endpoint.destination - 1)].endpoints.push_back(replacement);
  return replacement;
}

}  // namespace opalroute::lab
