#include "discovery/merged_endpoint_source.h"

#include <random>
#include <utility>

#include "log/log.h"
#include "net/address.h"

namespace opalroute {

using nlohmann::ordered_json;

namespace {

Limits LimitsOf(const Config& config, const OperatorSettings::Dns& dns) {
  Limits limits = config.limits;
  limits.dns_min_ttl = dns.min_ttl;
  limits.dns_max_ttl = dns.max_ttl;
  limits.dns_max_stale = dns.max_stale;
  return limits;
}

EndpointMergeOptions EndpointMergeOptionsOf(const Config& config) {
  EndpointMergeOptions options;
  for (std::size_t i = 0; i < config.kinds.size(); ++i) {
    if (config.settings.kinds[i].limits_per_endpoint) {
      options.kinds_with_endpoint_limits.insert(config.kinds[i]);
    }
  }
  return options;
}

std::vector<SrvSource::Name> SrvNamesOf(const OperatorSettings& settings) {
  std::vector<SrvSource::Name> names;
  for (const auto& [name, destination] : settings.srv_names) names.push_back({name, destination});
  return names;
}

// Predictable query ids let an attacker forge answers (RFC 5452), so the configured seed is not used for
// them.
std::uint64_t UnpredictableSeed() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

}  // namespace

MergedEndpointSource::MergedEndpointSource(net::EventLoop& loop, const Config& config,
                                           const OperatorSettings& settings,
                                           EndpointSource::Listener& listener)
    : loop_(loop),
      limits_(LimitsOf(config, settings.dns)),
      listener_(listener),
      merge_(EndpointMergeOptionsOf(config)),
      resolver_(loop, settings.dns.servers, limits_, UnpredictableSeed()),
      source_(loop, resolver_, limits_, SrvNamesOf(settings), *this) {
  for (const auto& [destination, address] : settings.own_addresses)
    merge_.AddOwnAddress(destination, address);
}

EndpointListUpdate MergedEndpointSource::ApplyCached(const EndpointListUpdate& list) {
  return merge_.OnList(loop_.Now(), list);
}

void MergedEndpointSource::OnEndpointList(const EndpointListUpdate& update) {
  EndpointListUpdate merged = merge_.OnList(loop_.Now(), update);
  merged.generation = update.generation;
  merged.stale = update.stale;
  listener_.OnEndpointList(merged);
}

void MergedEndpointSource::OnWatchFailed() { listener_.OnWatchFailed(); }

void MergedEndpointSource::PublishFromSrv(EndpointListUpdate update) {
  update.from_list = false;
  if (!update.endpoints.empty()) listener_.OnEndpointList(update);
}

void MergedEndpointSource::OnTargets(long long destination, const std::vector<SrvTarget>& targets,
                                     bool complete) {
  if (failures_.erase(destination) > 0) log::Info("srv_answered_again", {{"destination", destination}});
  const IgnoredTargets before = merge_.ignored_targets();
  EndpointListUpdate update = merge_.OnTargets(loop_.Now(), destination, targets, complete);
  const IgnoredTargets& after = merge_.ignored_targets();
  const long unassigned = after.unassigned - before.unassigned;
  if (unassigned > 0) {
    log::Debug(
        "srv_targets_ignored",
        {{"destination", destination}, {"targets", unassigned}, {"why", "not assigned to the destination"}});
  }
  LogContradiction(destination, after.reassigned - before.reassigned);
  PublishFromSrv(std::move(update));
}

// Logs only the first of a series of answers that contradict the list.
void MergedEndpointSource::LogContradiction(long long destination, long targets) {
  if (targets == 0) {
    contradicted_.erase(destination);
  } else if (contradicted_.insert(destination).second) {
    log::Warn("srv_targets_ignored", {{"destination", destination},
                                      {"targets", targets},
                                      {"why", "the list has the address for another destination"}});
  }
}

void MergedEndpointSource::OnNotOffered(long long destination) {
  log::Warn("srv_not_offered", {{"destination", destination}});
  PublishFromSrv(merge_.OnNotOffered(loop_.Now(), destination));
}

void MergedEndpointSource::OnNoAnswer(long long destination, const char* reason, bool expired) {
  // Logs only the first failure until an answer names targets, and each expiry.
  if (failures_.emplace(destination, reason).second || expired) {
    log::Warn("srv_unanswered", {{"destination", destination}, {"why", reason}, {"expired", expired}});
  }
  PublishFromSrv(merge_.OnNoAnswer(loop_.Now(), destination, expired));
}

ordered_json MergedEndpointSource::EndpointsToJson() const {
  ordered_json rows = ordered_json::array();
  for (const MergedEndpoint& merged : merge_.Endpoints()) {
    const EndpointRecord& record = merged.endpoint;
    rows.push_back({{"destination", record.destination},
                    {"endpoint", record.id},
                    {"address", net::FormatAddress(record.address)},
                    {"in_service", record.status == EndpointRecord::Status::kInService},
                    {"why", NameOf(merged.reason)},
                    {"rating", record.weight}});
  }
  return rows;
}

ordered_json MergedEndpointSource::FailuresToJson() const {
  ordered_json reasons = ordered_json::object();
  for (const auto& [destination, reason] : failures_) reasons[std::to_string(destination)] = reason;
  return reasons;
}

ordered_json MergedEndpointSource::ToJson() const {
  const dns::ResolverCounters& counters = resolver_.counters();
  const IgnoredTargets& ignored = merge_.ignored_targets();
  return {{"members", EndpointsToJson()},
          {"silent", FailuresToJson()},
          {"targets_passed_over", ignored.unassigned + ignored.reassigned},
          {"targets_of_others", ignored.reassigned},
          {"dns",
           {{"queries", counters.queries},
            {"tcp", counters.tcp},
            {"answers", counters.answers},
            {"passed_over", counters.ignored},
            {"failures", counters.failures},
            {"stale", counters.stale}}}};
}

}  // namespace opalroute
