#include "relay/endpoint_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "decision/route_gossip.h"
#include "log/log.h"
#include "net/address.h"

namespace opalroute {

namespace {

const char* NameOf(EndpointStatus listing) {
  switch (listing) {
    case EndpointStatus::kInService:
      return "in_service";
    case EndpointStatus::kDraining:
      return "draining";
    default:
      return "gone";
  }
}

}  // namespace

EndpointTable::EndpointTable(net::EventLoop& loop, net::HttpClient& client, const Config& config,
                             Counters& counters)
    : loop_(loop), client_(client), config_(config), counters_(counters) {}

EndpointId EndpointTable::Intern(const std::string& id) {
  const auto [it, fresh] = ids_.emplace(id, last_ + 1);
  if (fresh) {
    endpoints_[++last_].id = id;
    unlisted_.insert(last_);
    ++counters_.endpoints;
  }
  return it->second;
}

nlohmann::ordered_json EndpointTable::Print() const {
  std::map<std::pair<DestinationId, std::string>, const Endpoint*> ordered;
  for (const auto& [id, endpoint] : endpoints_)
    if (endpoint.listed) ordered[{endpoint.destination, endpoint.id}] = &endpoint;
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const auto& [key, endpoint] : ordered)
    rows.push_back({{"destination", key.first},
                    {"endpoint", key.second},
                    {"address", net::FormatAddress(endpoint->address)},
                    {"why", "list"}});
  return {{"members", rows}};
}

std::optional<EndpointId> EndpointTable::FindListed(const std::string& id) const {
  const auto it = ids_.find(id);
  if (it == ids_.end() || !endpoints_.at(it->second).listed) return std::nullopt;
  return it->second;
}

void EndpointTable::Unlist(EndpointId id) {
  Endpoint& endpoint = endpoints_.at(id);
  if (!std::exchange(endpoint.listed, false)) return;
  unlisted_.insert(id);
  client_.CloseIdle({endpoint.address, id});
  DestinationState& served = destinations_[endpoint.destination];
  --served.endpoints;
  served.left_at = loop_.Now();
}

std::vector<EndpointId> EndpointTable::Unused() const {
  std::vector<EndpointId> unused;
  for (const EndpointId id : unlisted_)
    if (endpoints_.at(id).users == 0) unused.push_back(id);
  return unused;
}

void EndpointTable::Forget(const std::vector<EndpointId>& unused) {
  for (const EndpointId id : unused) {
    const Endpoint& endpoint = endpoints_.at(id);
    if (endpoint.listed || endpoint.users > 0) continue;
    client_.CloseIdle({endpoint.address, id});
    const auto name = ids_.find(endpoint.id);
    if (name != ids_.end() && name->second == id) ids_.erase(name);
    endpoints_.erase(id);
    unlisted_.erase(id);
    --counters_.endpoints;
  }
}

bool EndpointTable::IsRemoved(const std::string& id) const { return WasListed(id) && !FindListed(id); }

bool EndpointTable::IsDraining(const std::string& id) const {
  const auto listed = FindListed(id);
  return listed && endpoints_.at(*listed).listed_endpoint.status == EndpointStatus::kDraining;
}

// Returns the endpoint that the list names, if it is of use. Danger: an older list knows nothing of a drain
// or a removal that was told since, and the grace of those has begun.
std::optional<EndpointId> EndpointTable::Place(EndpointRecord member, bool older, ListUpdate& update) {
  if (older && IsRemoved(member.id)) return std::nullopt;
  if (older && IsDraining(member.id)) member.status = EndpointRecord::Status::kDraining;
  const bool gone = member.status == EndpointRecord::Status::kRemoved;
  if (gone && ids_.count(member.id) == 0) return std::nullopt;
  ListedEndpoint entry;
  entry.zone = IndexOf(config_.zones, member.zone);
  entry.kind = IndexOf(config_.kinds, member.kind);
  if (entry.zone < 0 || entry.kind < 0) {
    log::Warn("pool_member_left_out", {{"endpoint", member.id},
                                       {"zone", member.zone},
                                       {"kind", member.kind},
                                       {"why", "zone or kind is not in the settings"}});
    return std::nullopt;
  }
  entry.endpoint = Intern(member.id);
  entry.destination = member.destination;
  entry.status = gone                                                 ? EndpointStatus::kRemoved
                 : member.status == EndpointRecord::Status::kDraining ? EndpointStatus::kDraining
                                                                      : EndpointStatus::kInService;
  entry.listed_rate = member.weight;
  entry.name_hash = decision::HashName(member.id);
  Endpoint* endpoint = &endpoints_.at(entry.endpoint);
  if (endpoint->listed && (endpoint->destination != entry.destination || endpoint->zone != entry.zone ||
                           endpoint->kind != entry.kind)) {
    // What serves something else now is another endpoint, whatever its name.
    update.entries.push_back(
        {entry.endpoint, endpoint->zone, endpoint->kind, endpoint->destination, EndpointStatus::kRemoved, 0});
    Unlist(entry.endpoint);
    ids_.erase(member.id);
    if (gone) return std::nullopt;
    entry.endpoint = Intern(member.id);
    endpoint = &endpoints_.at(entry.endpoint);
  }
  const net::Peer before{endpoint->address, entry.endpoint};
  if (net::FormatAddress(before.address) != net::FormatAddress(member.address)) client_.CloseIdle(before);
  endpoint->zone = entry.zone;
  endpoint->kind = entry.kind;
  endpoint->address = member.address;
  endpoint->destination = entry.destination;
  if (!gone && !std::exchange(endpoint->listed, true)) {
    unlisted_.erase(entry.endpoint);
    ++destinations_[entry.destination].endpoints;
  }
  if (gone) Unlist(entry.endpoint);
  if (ever_listed_.size() < config_.limits.ids_remembered) ever_listed_.insert(member.id);
  const EndpointStatus state_before = std::exchange(endpoint->listed_endpoint, entry).status;
  if (state_before != entry.status) LogState(*endpoint, state_before);
  update.entries.push_back(WithSuspension(*endpoint));
  return entry.endpoint;
}

void EndpointTable::LogState(const Endpoint& endpoint, EndpointStatus before) const {
  log::Info("pool_member_state", {{"endpoint", endpoint.id},
                                  {"destination", endpoint.destination},
                                  {"before", NameOf(before)},
                                  {"state", NameOf(endpoint.listed_endpoint.status)},
                                  {"generation", version_.generation}});
}

ListedEndpoint EndpointTable::WithSuspension(const Endpoint& endpoint) const {
  ListedEndpoint entry = endpoint.listed_endpoint;
  if (entry.status != EndpointStatus::kRemoved && suspended_.count(endpoint.id) > 0)
    entry.status = EndpointStatus::kDraining;
  return entry;
}

ListUpdate EndpointTable::SetSuspended(const std::set<std::string>& ids) {
  ListUpdate update;
  update.scope = ListScope::kChanges;
  update.from_discovery = false;
  const std::set<std::string> before = std::exchange(suspended_, ids);
  for (const auto& [id, endpoint] : endpoints_) {
    const bool banned = ids.count(endpoint.id) > 0;
    if (!endpoint.listed || banned == (before.count(endpoint.id) > 0)) continue;
    update.entries.push_back(WithSuspension(endpoint));
    if (banned) client_.CloseIdle({endpoint.address, id});  // it is about to be restarted
  }
  return update;
}

std::vector<EndpointId> EndpointTable::Listed() const {
  std::vector<EndpointId> listed;
  for (const auto& [id, endpoint] : endpoints_)
    if (endpoint.listed) listed.push_back(id);
  return listed;
}

ListUpdate EndpointTable::Apply(const EndpointListUpdate& news, ListScope scope) {
  ListUpdate update;
  update.scope = scope;
  update.from_discovery = news.from_list;
  if (news.from_list) version_ = {news.generation, loop_.Now()};
  std::set<EndpointId> named;
  for (const EndpointRecord& member : news.endpoints)
    if (const auto id = Place(member, news.stale, update)) named.insert(*id);
  if (scope != ListScope::kChanges) {
    std::vector<EndpointId> unnamed;
    for (const auto& [id, endpoint] : endpoints_)
      if (endpoint.listed && named.count(id) == 0) unnamed.push_back(id);
    for (const EndpointId id : unnamed) Unlist(id);
  }
  // A destination that has just lost its last endpoint is about to get another, mostly.
  for (auto it = destinations_.begin(); it != destinations_.end();) {
    const DestinationState& served = it->second;
    const bool past = served.endpoints == 0 && served.left_at + config_.limits.destination_rest < loop_.Now();
    it = past ? destinations_.erase(it) : std::next(it);
  }
  return update;
}

}  // namespace opalroute
