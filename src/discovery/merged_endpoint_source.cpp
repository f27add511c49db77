#include "discovery/merged_endpoint_source.h"

#include <random>

#include "log/log.h"
#include "net/address.h"

namespace opalroute {

namespace {

Limits LimitsOf(const Config& config, const Operator::Dns& dns) {
  Limits limits = config.limits;
  limits.dns_least_lifetime = dns.least_lifetime;
  limits.dns_most_lifetime = dns.most_lifetime;
  limits.dns_stale = dns.stale;
  return limits;
}

MergeOptions RulesOf(const Config& config) {
  MergeOptions rules;
  for (std::size_t i = 0; i < config.kinds.size(); ++i)
    if (config.settings.kinds[i].limits_per_endpoint)
      rules.kinds_with_endpoint_limits.insert(config.kinds[i]);
  if (!config.zones.empty()) rules.added_zone = config.zones.front();
  if (!config.kinds.empty()) rules.added_kind = config.kinds.front();
  return rules;
}

// Ids that can be guessed let anyone forge answers (RFC 5452): not the seed that runs are played again by.
std::uint64_t Unguessable() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

}  // namespace

MergedEndpointSource::MergedEndpointSource(net::EventLoop& loop, const Config& config,
                                           const Operator& settings, EndpointSource::Listener& listener)
    : loop_(loop),
      limits_(LimitsOf(config, settings.dns)),
      listener_(listener),
      merge_([&] {
        EndpointMerge merge(RulesOf(config));
        for (const auto& [destination, address] : settings.srv_own) merge.SetOwner(destination, address);
        return merge;
      }()),
      resolver_(loop, settings.dns.servers, limits_, Unguessable()),
      source_(
          loop, resolver_, limits_,
          [&] {
            std::vector<SrvSource::Name> names;
            for (const auto& [name, destination] : settings.srv_names) names.push_back({name, destination});
            return names;
          }(),
          *this) {}

EndpointListUpdate MergedEndpointSource::ApplyCached(const EndpointListUpdate& list) {
  return merge_.OnList(loop_.Now(), list);
}

void MergedEndpointSource::OnEndpointList(const EndpointListUpdate& news) {
  EndpointListUpdate joined = merge_.OnList(loop_.Now(), news);
  joined.generation = news.generation;
  joined.stale = news.stale;
  listener_.OnEndpointList(joined);
}

void MergedEndpointSource::OnWatchFailed() { listener_.OnWatchFailed(); }

void MergedEndpointSource::Forward(EndpointListUpdate news) {
  news.from_list = false;
  if (!news.endpoints.empty()) listener_.OnEndpointList(news);
}

void MergedEndpointSource::OnTargets(long long destination, const std::vector<SrvTarget>& targets,
                                     bool complete) {
  if (silent_.erase(destination) > 0) log::Info("srv_answers_again", {{"destination", destination}});
  const long before = merge_.unowned_targets();
  const EndpointListUpdate news = merge_.OnTargets(loop_.Now(), destination, targets, complete);
  if (merge_.unowned_targets() > before)
    log::Debug("srv_targets_passed_over", {{"destination", destination},
                                           {"targets", merge_.unowned_targets() - before},
                                           {"why", "not the partner's own"}});
  Forward(news);
}

void MergedEndpointSource::OnNotOffered(long long destination) {
  log::Warn("srv_not_offered", {{"destination", destination}});
  Forward(merge_.OnNotOffered(loop_.Now(), destination));
}

void MergedEndpointSource::OnNoAnswer(long long destination, const char* why, bool expired) {
  // Once, not with every try.
  if (silent_.emplace(destination, why).second || expired)
    log::Warn("srv_silent", {{"destination", destination}, {"why", why}, {"expired", expired}});
  Forward(merge_.OnNoAnswer(loop_.Now(), destination, expired));
}

nlohmann::ordered_json MergedEndpointSource::Print() const {
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const EndpointMerge::Row& row : merge_.Rows()) {
    const EndpointRecord& m = row.endpoint;
    rows.push_back({{"destination", m.destination},
                    {"endpoint", m.id},
                    {"address", net::FormatAddress(m.address)},
                    {"in_service", m.status == EndpointRecord::Status::kInService},
                    {"why", NameOf(row.verdict)},
                    {"rating", m.weight}});
  }
  nlohmann::ordered_json silent = nlohmann::ordered_json::object();
  for (const auto& [destination, why] : silent_) silent[std::to_string(destination)] = why;
  const dns::ResolverCounters& c = resolver_.counters();
  return {{"members", rows},
          {"silent", silent},
          {"targets_passed_over", merge_.unowned_targets()},
          {"dns",
           {{"queries", c.queries},
            {"tcp", c.tcp},
            {"answers", c.answers},
            {"passed_over", c.passed},
            {"failures", c.failures},
            {"stale", c.stale}}}};
}

}  // namespace opalroute
