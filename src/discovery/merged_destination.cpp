#include "discovery/merged_destination.h"

#include <algorithm>
#include <iterator>

#include "net/address.h"

namespace opalroute {

using net::KeyOf;

namespace {

using Status = EndpointRecord::Status;

// RFC 2782 gives targets with weight 0 "a very small chance of being selected" among others. They count as a
// tenth of the smallest other weight.
constexpr double kEffectiveZeroWeight = 0.1;

// Worse than any SRV priority, which has 16 bits.
constexpr int kNoPriority = 1 << 16;

double EffectiveWeight(const SrvTarget& target) {
  return std::max<double>(target.weight, kEffectiveZeroWeight);
}

}  // namespace

void MergedDestination::Endpoint::ResetAnswers() {
  target.reset();
  excluded_since = -1;
  included_since = -1;
  exclusion_confirmed = false;
  drained = false;
}

void MergedDestination::AddOwnAddress(const sockaddr_in& address) { own_addresses_.insert(KeyOf(address)); }

// ---- the endpoint list -----------------------------------------------------------------------------------

void MergedDestination::Withdraw(const std::string& list_id) {
  const auto alias = aliases_.find(list_id);
  endpoints_.erase(alias == aliases_.end() ? list_id : alias->second);
  if (alias != aliases_.end()) aliases_.erase(alias);
}

// Returns the id under which a listed endpoint is published. An endpoint that SRV added before the list named
// it keeps its first id, so that the relay keeps its Retry-After and health, until the list moves it to
// another address.
std::string MergedDestination::ResolveId(const EndpointRecord& record) {
  const AddressKey key = KeyOf(record.address);
  const auto alias = aliases_.find(record.id);
  if (alias != aliases_.end()) {
    const auto it = endpoints_.find(alias->second);
    if (it == endpoints_.end() || KeyOf(it->second.record.address) == key) return alias->second;
    endpoints_.erase(it);
    aliases_.erase(alias);
    return record.id;
  }
  if (endpoints_.count(record.id) > 0) return record.id;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.added && KeyOf(endpoint.record.address) == key) aliases_[record.id] = id;
  }
  const auto added = aliases_.find(record.id);
  return added == aliases_.end() ? record.id : added->second;
}

void MergedDestination::ApplyRecord(const EndpointRecord& record) {
  if (record.status == Status::kRemoved) return Withdraw(record.id);
  const std::string id = ResolveId(record);
  Endpoint& endpoint = endpoints_[id];
  const bool moved = !endpoint.record.id.empty() && KeyOf(endpoint.record.address) != KeyOf(record.address);
  if (moved) endpoint.ResetAnswers();  // they named the old address
  endpoint.record = record;
  endpoint.record.id = id;
  endpoint.list_id = record.id;
  endpoint.added = false;
}

std::vector<std::string> MergedDestination::WithdrawUnlisted(const std::set<std::string>& listed_ids) {
  std::vector<std::string> unlisted;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint.added && listed_ids.count(endpoint.list_id) == 0) unlisted.push_back(endpoint.list_id);
  }
  for (const std::string& list_id : unlisted) Withdraw(list_id);
  return unlisted;
}

bool MergedDestination::ApplyReassignments() {
  bool changed = false;
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    Endpoint& endpoint = it->second;
    const bool listed = endpoint.added && addresses_.IsListed(endpoint.record.address);
    const bool reassigned = !endpoint.added && addresses_.IsReassigned(endpoint.list_id);
    changed = changed || listed || reassigned != endpoint.reassigned;
    endpoint.reassigned = reassigned;
    it = listed ? endpoints_.erase(it) : std::next(it);
  }
  return changed;
}

// ---- SRV answers -----------------------------------------------------------------------------------------

// Returns the targets without those at addresses that the list has given to another destination: there, SRV
// names an endpoint that has gone.
std::vector<SrvTarget> MergedDestination::WithoutReassigned(const std::vector<SrvTarget>& targets) const {
  std::vector<SrvTarget> usable;
  std::copy_if(targets.begin(), targets.end(), std::back_inserter(usable),
               [&](const SrvTarget& target) { return !addresses_.BelongsToAnother(target.address, id_); });
  return usable;
}

bool MergedDestination::MayAdd(double now, const sockaddr_in& address) const {
  return own_addresses_.count(KeyOf(address)) > 0 && !addresses_.WithdrawnRecently(now, address);
}

void MergedDestination::AddEndpoint(double now, const std::string& id, const sockaddr_in& address) {
  Endpoint& endpoint = endpoints_[id];
  endpoint.added = true;
  endpoint.added_at = now;
  endpoint.record = {id, std::nullopt, std::nullopt, address, id_, Status::kInService, 0};
}

// Adds endpoints for targets at own addresses that the list does not name. Returns the number of targets that
// are neither listed nor allowed.
long MergedDestination::AddOwnTargets(double now, const std::vector<SrvTarget>& targets) {
  std::map<AddressKey, const Endpoint*> known;
  for (const auto& [id, endpoint] : endpoints_) known[KeyOf(endpoint.record.address)] = &endpoint;
  long ignored = 0;
  for (const SrvTarget& target : targets) {
    const AddressKey key = KeyOf(target.address);
    const auto existing = known.find(key);
    if (existing != known.end() && !existing->second->added) continue;
    if (!MayAdd(now, target.address)) {
      ++ignored;
      continue;
    }
    const std::string id = SrvEndpointId(target);
    if (existing != known.end() && existing->second->record.id == id) continue;
    if (existing != known.end()) endpoints_.erase(existing->second->record.id);
    AddEndpoint(now, id, target.address);
    known[key] = &endpoints_.at(id);
  }
  return ignored;
}

int MergedDestination::BestPriority() const {
  int best = kNoPriority;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.target && endpoint.ListedInService()) best = std::min(best, endpoint.target->priority);
  }
  return best;
}

// Records for each endpoint whether the answer includes or excludes it. An endpoint is excluded if it is not
// named, if its priority is worse than the best one in service, or if the service is not offered. Only a
// complete answer excludes endpoints.
void MergedDestination::ApplyAnswer(double now, bool complete) {
  const int best = BestPriority();
  for (auto& [id, endpoint] : endpoints_) {
    const bool excluded = not_offered_ || !endpoint.target || endpoint.target->priority > best;
    if (!excluded) {
      endpoint.excluded_since = -1;
      endpoint.exclusion_confirmed = false;
      if (endpoint.included_since < 0) endpoint.included_since = now;
      if (endpoint.drained && now - endpoint.included_since >= options_.return_delay)
        endpoint.drained = false;
    } else if (complete) {
      endpoint.included_since = -1;
      if (endpoint.excluded_since < 0) endpoint.excluded_since = now;
      if (now - endpoint.excluded_since >= options_.confirmation_delay) endpoint.exclusion_confirmed = true;
    }
  }
}

IgnoredTargets MergedDestination::ApplyTargets(double now, const std::vector<SrvTarget>& named,
                                               bool complete) {
  const std::vector<SrvTarget> targets = WithoutReassigned(named);
  // If several targets share an address, the one with the best priority.
  std::map<AddressKey, const SrvTarget*> by_address;
  for (const SrvTarget& target : targets) {
    const auto [it, inserted] = by_address.emplace(KeyOf(target.address), &target);
    if (!inserted && target.priority < it->second->priority) it->second = &target;
  }
  IgnoredTargets ignored;
  ignored.reassigned = static_cast<long>(named.size() - targets.size());
  ignored.unassigned = AddOwnTargets(now, targets);
  const bool names_one_in_service = std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
    const Endpoint& endpoint = entry.second;
    return by_address.count(KeyOf(endpoint.record.address)) > 0 && endpoint.ListedInService();
  });
  // An answer that names none of the endpoints that the list has in service, or that were added, is about
  // some other service and counts as no answer.
  if (!names_one_in_service) {
    ApplyNoAnswer(now, false);
    return ignored;
  }
  not_offered_ = false;
  for (auto& [id, endpoint] : endpoints_) {
    const auto it = by_address.find(KeyOf(endpoint.record.address));
    if (it != by_address.end()) {
      endpoint.target = *it->second;
    } else if (complete) {
      endpoint.target.reset();
    }
  }
  ApplyAnswer(now, complete);
  UpdateStatuses(now, complete);
  return ignored;
}

void MergedDestination::ApplyNotOffered(double now) {
  not_offered_ = true;
  for (auto& [id, endpoint] : endpoints_) endpoint.target.reset();
  ApplyAnswer(now, true);
  UpdateStatuses(now, true);
}

void MergedDestination::ApplyNoAnswer(double now, bool expired) {
  if (expired) {
    not_offered_ = false;
    unconfirmed_drains_.clear();
    const bool any_listed = std::any_of(endpoints_.begin(), endpoints_.end(), [](const auto& entry) {
      return !entry.second.added && entry.second.ListedInService();
    });
    for (auto it = endpoints_.begin(); it != endpoints_.end();) {
      it->second.ResetAnswers();
      it = it->second.added && any_listed ? endpoints_.erase(it) : std::next(it);
    }
  }
  UpdateStatuses(now, false);
}

// ---- status ----------------------------------------------------------------------------------------------

bool MergedDestination::MayDrain(double now, std::size_t in_service) const {
  const auto recent = std::count_if(unconfirmed_drains_.begin(), unconfirmed_drains_.end(),
                                    [&](double at) { return now - at < options_.drain_window; });
  return static_cast<double>(recent + 1) <=
         options_.max_unconfirmed_drain_share * static_cast<double>(in_service);
}

void MergedDestination::DrainExcluded(double now, std::size_t in_service) {
  for (auto& [id, endpoint] : endpoints_) {
    if (!endpoint.InService() || endpoint.excluded_since < 0) continue;
    if (!endpoint.exclusion_confirmed && !MayDrain(now, in_service)) continue;
    endpoint.drained = true;
    if (!endpoint.exclusion_confirmed) unconfirmed_drains_.push_back(now);
  }
}

// Removes drained endpoints that only SRV had named, once their absence from the answers is confirmed.
void MergedDestination::EraseExcludedAdditions() {
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    const Endpoint& endpoint = it->second;
    const bool gone = endpoint.added && endpoint.drained && endpoint.exclusion_confirmed && !endpoint.target;
    it = gone ? endpoints_.erase(it) : std::next(it);
  }
}

// Whether confirmed answers say that the service is not offered. Only then may SRV drain every endpoint.
bool MergedDestination::IsConfirmedNotOffered() const {
  return not_offered_ && std::all_of(endpoints_.begin(), endpoints_.end(), [](const auto& entry) {
           return entry.second.exclusion_confirmed || !entry.second.ListedInService();
         });
}

// If no endpoint is in service, ends the SRV drains of those that the latest answer names, or all SRV drains
// if that is not enough.
void MergedDestination::RestoreIfAllDrained() {
  for (const bool named_only : {true, false}) {
    const bool any_in_service = std::any_of(endpoints_.begin(), endpoints_.end(),
                                            [](const auto& entry) { return entry.second.InService(); });
    if (any_in_service) return;
    for (auto& [id, endpoint] : endpoints_) {
      if (endpoint.target || !named_only) endpoint.drained = false;
    }
  }
}

StatusReason MergedDestination::ReasonOf(const Endpoint& endpoint) const {
  const bool excluded = endpoint.excluded_since >= 0;
  if (endpoint.record.status == Status::kDraining) return StatusReason::kListDraining;
  if (!endpoint.drained && excluded) return StatusReason::kRetained;
  if (!endpoint.drained) return endpoint.added ? StatusReason::kAdded : StatusReason::kList;
  if (!excluded) return StatusReason::kReturning;
  if (not_offered_) return StatusReason::kNotOffered;
  return endpoint.target ? StatusReason::kStandby : StatusReason::kNotNamed;
}

void MergedDestination::UpdateStatuses(double now, bool answered) {
  // Endpoints added by the current answer must not raise the number of endpoints that it may drain.
  const auto in_service = std::count_if(endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
    return entry.second.ListedInService() && entry.second.added_at < now;
  });
  unconfirmed_drains_.erase(std::remove_if(unconfirmed_drains_.begin(), unconfirmed_drains_.end(),
                                           [&](double at) { return now - at >= options_.drain_window; }),
                            unconfirmed_drains_.end());
  if (answered) {
    DrainExcluded(now, static_cast<std::size_t>(in_service));
    EraseExcludedAdditions();
  }
  if (!IsConfirmedNotOffered()) RestoreIfAllDrained();
  for (auto& [id, endpoint] : endpoints_) endpoint.reason = ReasonOf(endpoint);
}

// ---- published records -----------------------------------------------------------------------------------

bool MergedDestination::IsRatedByWeight(const Endpoint& endpoint) const {
  return endpoint.target && endpoint.InService() && endpoint.record.kind &&
         options_.kinds_with_endpoint_limits.count(*endpoint.record.kind) > 0;
}

// For kinds whose limits apply per endpoint, divides the sum of the listed ratings among the endpoints that
// SRV names, in proportion to their SRV weights. A listed rating is in requests per second; a weight is only
// a relative share.
double MergedDestination::RatingOf(const Endpoint& endpoint) const {
  if (!IsRatedByWeight(endpoint)) return endpoint.record.weight;
  double ratings = 0;
  double weights = 0;
  for (const auto& [id, other] : endpoints_) {
    if (!IsRatedByWeight(other)) continue;
    ratings += other.record.weight;
    weights += EffectiveWeight(*other.target);
  }
  return ratings > 0 ? ratings * EffectiveWeight(*endpoint.target) / weights : endpoint.record.weight;
}

EndpointRecord MergedDestination::MergedRecord(const Endpoint& endpoint) const {
  EndpointRecord record = endpoint.record;
  if (endpoint.drained && endpoint.ListedInService()) record.status = Status::kDraining;
  record.weight = RatingOf(endpoint);
  return record;
}

bool MergedDestination::Contains(const std::string& id) const {
  const auto it = endpoints_.find(id);
  return it != endpoints_.end() && !it->second.reassigned;
}

std::vector<MergedEndpoint> MergedDestination::Endpoints() const {
  std::vector<MergedEndpoint> endpoints;
  endpoints.reserve(endpoints_.size());
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.reassigned) continue;
    endpoints.push_back({MergedRecord(endpoint), endpoint.reason});
  }
  return endpoints;
}

}  // namespace opalroute
