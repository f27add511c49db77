#include "zone_failover/directive_publisher.h"

namespace opalroute::zone_failover {

DirectivePublisher::DirectivePublisher(const FailoverOptions& options)
    : share_growth_interval_(options.share_growth_interval),
      published_directives_(static_cast<std::size_t>(options.zones)),
      published_share_count_(options.membership.fleet_size) {}

void DirectivePublisher::Publish(Seconds now, double share_count, const ZoneEvacuation& evacuation,
                                 std::vector<opalroute::Event>& events) {
  PublishShareCount(now, share_count, events);
  for (int zone = 0; zone < static_cast<int>(published_directives_.size()); ++zone) {
    const TrafficDirective directive = evacuation.DirectiveFor(now, zone);
    TrafficDirective& published = published_directives_[static_cast<std::size_t>(zone)];
    if (directive == published) continue;
    published = directive;
    events.emplace_back(
        ZoneTrafficShare{ZoneId{zone}, directive.traffic_share, directive.is_health_check_relay});
  }
}

// A greater share count lowers this relay's share of the quotas and is published at once. A smaller one
// raises it and has to wait.
void DirectivePublisher::PublishShareCount(Seconds now, double share_count,
                                           std::vector<opalroute::Event>& events) {
  const bool is_greater = share_count > published_share_count_;
  const bool may_decrease = now - share_count_published_at_ >= share_growth_interval_;
  if (!is_greater && !(share_count < published_share_count_ && may_decrease)) return;
  events.emplace_back(FleetSize{share_count});
  published_share_count_ = share_count;
  share_count_published_at_ = now;
}

}  // namespace opalroute::zone_failover
