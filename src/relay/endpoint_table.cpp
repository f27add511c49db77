#include "relay/endpoint_table.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "decision/route_gossip.h"
#include "discovery/address_claim.h"
#include "log/log.h"
#include "net/address.h"

namespace opalroute {

namespace {

const char* StatusName(EndpointStatus status) {
  switch (status) {
    case EndpointStatus::kInService:
      return "in_service";
    case EndpointStatus::kDraining:
      return "draining";
    default:
      return "gone";
  }
}

EndpointStatus StatusOf(EndpointRecord::Status status) {
  switch (status) {
    case EndpointRecord::Status::kRemoved:
      return EndpointStatus::kRemoved;
    case EndpointRecord::Status::kDraining:
      return EndpointStatus::kDraining;
    default:
      return EndpointStatus::kInService;
  }
}

AddressClaim ClaimOf(const EndpointTable::Endpoint& endpoint) {
  return {endpoint.claimed_in, endpoint.started_at_ms,
          endpoint.listed_endpoint.status == EndpointStatus::kDraining};
}

// Whether the entry gives a listed endpoint another destination, zone or kind. The entry is then treated as a
// different endpoint with the same id. An endpoint whose zone or kind becomes known stays the
// same.
bool IsReassigned(const EndpointTable::Endpoint& endpoint, const ListedEndpoint& entry) {
  const bool zone_changes = endpoint.zone && endpoint.zone != entry.zone;
  const bool kind_changes = endpoint.kind && endpoint.kind != entry.kind;
  return endpoint.listed && (endpoint.destination != entry.destination || zone_changes || kind_changes);
}

}  // namespace

EndpointTable::EndpointTable(net::EventLoop& loop, net::HttpClient& client, const Config& config,
                             Counters& counters)
    : loop_(loop), client_(client), config_(config), counters_(counters) {}

EndpointId EndpointTable::Intern(const std::string& id) {
  const auto [it, is_new] = ids_.emplace(id, last_id_ + 1);
  if (is_new) {
    endpoints_[++last_id_].id = id;
    unlisted_.insert(last_id_);
    ++counters_.endpoints;
  }
  return it->second;
}

nlohmann::ordered_json EndpointTable::ToJson() const {
  std::vector<const Endpoint*> listed;
  for (const auto& [id, endpoint] : endpoints_)
    if (endpoint.listed) listed.push_back(&endpoint);
  std::sort(listed.begin(), listed.end(), [](const Endpoint* a, const Endpoint* b) {
    return std::tie(a->destination, a->id) < std::tie(b->destination, b->id);
  });
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const Endpoint* endpoint : listed) {
    rows.push_back({{"destination", endpoint->destination},
                    {"endpoint", endpoint->id},
                    {"address", net::FormatAddress(endpoint->address)},
                    {"why", "list"}});
  }
  return {{"members", rows}};
}

std::optional<EndpointId> EndpointTable::FindListed(const std::string& id) const {
  const auto it = ids_.find(id);
  if (it == ids_.end() || !endpoints_.at(it->second).listed) return std::nullopt;
  return it->second;
}

std::string EndpointTable::NameOf(EndpointId id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? "" : it->second.id;
}

void EndpointTable::Unlist(EndpointId id) {
  Endpoint& endpoint = endpoints_.at(id);
  if (!std::exchange(endpoint.listed, false)) return;
  unlisted_.insert(id);
  client_.CloseIdle(PeerOf(endpoint, id));
  const auto owner = owners_.find(net::KeyOf(endpoint.address));
  if (owner != owners_.end() && owner->second == id) owners_.erase(owner);
  DestinationState& destination = destinations_[endpoint.destination];
  --destination.listed_endpoints;
  destination.last_removal = loop_.Now();
}

std::vector<EndpointId> EndpointTable::Unused() const {
  std::vector<EndpointId> unused;
  for (const EndpointId id : unlisted_)
    if (endpoints_.at(id).calls_in_flight == 0) unused.push_back(id);
  return unused;
}

void EndpointTable::Forget(const std::vector<EndpointId>& unused) {
  for (const EndpointId id : unused) {
    const Endpoint& endpoint = endpoints_.at(id);
    if (endpoint.listed || endpoint.calls_in_flight > 0) continue;
    client_.CloseIdle(PeerOf(endpoint, id));
    const auto number = ids_.find(endpoint.id);
    if (number != ids_.end() && number->second == id) ids_.erase(number);
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

// Returns nullopt if the record is skipped. Invariant: a stale list does not undo a later drain or removal.
// Their grace period has already started, and the endpoint may be gone before a second one ends.
std::optional<ListedEndpoint> EndpointTable::ToListedEndpoint(const EndpointRecord& record,
                                                              bool stale) const {
  if (stale && IsRemoved(record.id)) return std::nullopt;
  ListedEndpoint entry;
  entry.status = stale && IsDraining(record.id) ? EndpointStatus::kDraining : StatusOf(record.status);
  if (entry.status == EndpointStatus::kRemoved && ids_.count(record.id) == 0) return std::nullopt;
  if (record.zone) entry.zone = ZoneNamed(config_, *record.zone);
  if (record.kind) entry.kind = KindNamed(config_, *record.kind);
  if ((record.zone && !entry.zone) || (record.kind && !entry.kind)) {
    log::Warn("endpoint_ignored", {{"endpoint", record.id},
                                   {"zone", record.zone.value_or("")},
                                   {"kind", record.kind.value_or("")},
                                   {"why", "zone or kind is not in the settings"}});
    return std::nullopt;
  }
  entry.destination = record.destination;
  entry.listed_rate = record.weight;
  entry.name_hash = decision::HashName(record.id);
  return entry;
}

std::optional<EndpointId> EndpointTable::ApplyRecord(const EndpointRecord& record, bool stale,
                                                     ListUpdate& update) {
  if (IsDisplaced(record)) return std::nullopt;
  std::optional<ListedEndpoint> entry = ToListedEndpoint(record, stale);
  if (!entry) return std::nullopt;
  entry->endpoint = Intern(record.id);
  if (IsReassigned(endpoints_.at(entry->endpoint), *entry)) {
    RemoveReassigned(record.id, entry->endpoint, update);
    if (entry->status == EndpointStatus::kRemoved) return std::nullopt;
    entry->endpoint = Intern(record.id);
  }
  Endpoint& endpoint = endpoints_.at(entry->endpoint);
  UpdateEndpoint(endpoint, *entry, record);
  if (ever_listed_.size() < config_.limits.remembered_endpoint_ids) ever_listed_.insert(record.id);
  const EndpointStatus before = std::exchange(endpoint.listed_endpoint, *entry).status;
  if (before != entry->status) LogState(endpoint, before);
  update.entries.push_back(WithSuspension(endpoint));
  return entry->endpoint;
}

std::optional<EndpointId> EndpointTable::OwnerOf(const sockaddr_in& address) const {
  const auto owner = owners_.find(net::KeyOf(address));
  if (owner == owners_.end()) return std::nullopt;
  const auto endpoint = endpoints_.find(owner->second);
  const bool owns = endpoint != endpoints_.end() && endpoint->second.listed &&
                    net::KeyOf(endpoint->second.address) == net::KeyOf(address);
  return owns ? std::optional(owner->second) : std::nullopt;
}

// After all records of an update: endpoints may have swapped their addresses. Where one update names two
// endpoints with one address, and nothing tells which is newer, both stay.
void EndpointTable::RemoveDisplaced(ListUpdate& update) {
  for (const EndpointId id : claims_) {
    const Endpoint& claim = endpoints_.at(id);
    if (!claim.listed) continue;
    const std::optional<EndpointId> owner = OwnerOf(claim.address);
    const bool owner_is_newer =
        owner && *owner != id && IsOlder(ClaimOf(claim), ClaimOf(endpoints_.at(*owner)));
    if (owner && *owner != id && IsOlder(ClaimOf(endpoints_.at(*owner)), ClaimOf(claim)))
      Displace(*owner, update);
    if (owner_is_newer) {
      Displace(id, update);
    } else {
      owners_[net::KeyOf(claim.address)] = id;
    }
  }
}

void EndpointTable::Displace(EndpointId number, ListUpdate& update) {
  const Endpoint& displaced = endpoints_.at(number);
  log::Info("endpoint_address_reassigned",
            {{"endpoint", displaced.id}, {"address", net::FormatAddress(displaced.address)}});
  displaced_[displaced.id] = net::KeyOf(displaced.address);
  RemoveReassigned(displaced.id, number, update);
}

// Whether the list still names an address for the endpoint that it has given to another one since.
bool EndpointTable::IsDisplaced(const EndpointRecord& record) {
  const auto displaced = displaced_.find(record.id);
  if (displaced == displaced_.end()) return false;
  const bool same_address = displaced->second == net::KeyOf(record.address);
  if (record.status != EndpointRecord::Status::kRemoved && same_address && OwnerOf(record.address))
    return true;
  displaced_.erase(displaced);
  return false;
}

// Removes the old endpoint, so that the new one can have its id.
void EndpointTable::RemoveReassigned(const std::string& id, EndpointId number, ListUpdate& update) {
  const Endpoint& old = endpoints_.at(number);
  update.entries.push_back({number, old.zone, old.kind, old.destination, EndpointStatus::kRemoved, 0});
  Unlist(number);
  ids_.erase(id);
}

void EndpointTable::UpdateEndpoint(Endpoint& endpoint, const ListedEndpoint& entry,
                                   const EndpointRecord& record) {
  const bool moves = net::KeyOf(endpoint.address) != net::KeyOf(record.address);
  const bool starts_anew = record.started_at_ms > endpoint.started_at_ms;
  if (moves || starts_anew) client_.CloseIdle(PeerOf(endpoint, entry.endpoint));
  if (endpoint.listed && starts_anew) {
    log::Info("endpoint_started_anew", {{"endpoint", endpoint.id}, {"started_at_ms", record.started_at_ms}});
  }
  endpoint.zone = entry.zone;
  endpoint.kind = entry.kind;
  endpoint.address = record.address;
  endpoint.started_at_ms = std::max(endpoint.started_at_ms, record.started_at_ms);
  if (moves || starts_anew || !endpoint.listed) {
    endpoint.claimed_in = updates_;
    claims_.push_back(entry.endpoint);
  }
  endpoint.destination = entry.destination;
  if (entry.status == EndpointStatus::kRemoved) return Unlist(entry.endpoint);
  if (std::exchange(endpoint.listed, true)) return;
  unlisted_.erase(entry.endpoint);
  ++destinations_[entry.destination].listed_endpoints;
}

void EndpointTable::LogState(const Endpoint& endpoint, EndpointStatus before) const {
  log::Info("endpoint_state", {{"endpoint", endpoint.id},
                               {"destination", endpoint.destination},
                               {"before", StatusName(before)},
                               {"state", StatusName(endpoint.listed_endpoint.status)},
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
    const bool suspended = ids.count(endpoint.id) > 0;
    if (!endpoint.listed || suspended == (before.count(endpoint.id) > 0)) continue;
    update.entries.push_back(WithSuspension(endpoint));
    if (suspended) client_.CloseIdle(PeerOf(endpoint, id));  // operators usually restart it next
  }
  return update;
}

std::vector<EndpointId> EndpointTable::Listed() const {
  std::vector<EndpointId> listed;
  for (const auto& [id, endpoint] : endpoints_)
    if (endpoint.listed) listed.push_back(id);
  return listed;
}

ListUpdate EndpointTable::Apply(const EndpointListUpdate& list, ListScope scope) {
  ListUpdate update;
  update.scope = scope;
  update.from_discovery = list.from_list;
  if (list.from_list) version_ = {list.generation, loop_.Now()};
  ++updates_;
  claims_.clear();
  std::set<EndpointId> ids_in_update;
  for (const EndpointRecord& record : list.endpoints) {
    const auto id = ApplyRecord(record, list.stale, update);
    if (id) ids_in_update.insert(*id);
  }
  RemoveDisplaced(update);
  if (scope != ListScope::kChanges) UnlistOthers(ids_in_update);
  ForgetEmptyDestinations();
  return update;
}

void EndpointTable::UnlistOthers(const std::set<EndpointId>& ids_in_update) {
  for (const EndpointId id : Listed())
    if (ids_in_update.count(id) == 0) Unlist(id);
}

// A destination that has lost its last endpoint usually gets another one soon, so its requests are still
// accepted for Limits::empty_destination_grace_period.
void EndpointTable::ForgetEmptyDestinations() {
  for (auto it = destinations_.begin(); it != destinations_.end();) {
    const DestinationState& destination = it->second;
    const bool expired =
        destination.listed_endpoints == 0 &&
        destination.last_removal + config_.limits.empty_destination_grace_period < loop_.Now();
    it = expired ? destinations_.erase(it) : std::next(it);
  }
}

}  // namespace opalroute
