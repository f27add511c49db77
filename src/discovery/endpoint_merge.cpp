#include "discovery/endpoint_merge.h"

namespace opalroute {

namespace {

using Status = EndpointRecord::Status;

bool AreEqual(const EndpointRecord& a, const EndpointRecord& b) {
  return a.status == b.status && a.weight == b.weight && a.started_at_ms == b.started_at_ms &&
         a.zone == b.zone && a.kind == b.kind && a.address.sin_addr.s_addr == b.address.sin_addr.s_addr &&
         a.address.sin_port == b.address.sin_port;
}

}  // namespace

MergedDestination& EndpointMerge::DestinationOf(long long id) {
  return destinations_.try_emplace(id, id, options_, addresses_).first->second;
}

void EndpointMerge::AddOwnAddress(long long destination, const sockaddr_in& address) {
  DestinationOf(destination).AddOwnAddress(address);
}

// Withdraws an endpoint id from its previous destination if the list now assigns it to another one.
void EndpointMerge::WithdrawFromPreviousDestination(const EndpointRecord& record,
                                                    std::set<long long>& affected) {
  const auto [entry, inserted] = destination_by_id_.emplace(record.id, record.destination);
  if (!inserted && entry->second != record.destination) {
    DestinationOf(entry->second).Withdraw(record.id);
    affected.insert(entry->second);
    entry->second = record.destination;
  }
  if (record.status == Status::kRemoved) destination_by_id_.erase(record.id);
}

void EndpointMerge::WithdrawUnlisted(const EndpointListUpdate& list) {
  std::map<long long, std::set<std::string>> listed_ids;  // by destination
  for (const EndpointRecord& record : list.endpoints) listed_ids[record.destination].insert(record.id);
  for (auto& [id, destination] : destinations_) {
    for (const std::string& list_id : destination.WithdrawUnlisted(listed_ids[id])) {
      const auto entry = destination_by_id_.find(list_id);
      if (entry != destination_by_id_.end() && entry->second == id) destination_by_id_.erase(entry);
    }
  }
}

EndpointListUpdate EndpointMerge::OnList(double now, const EndpointListUpdate& update) {
  addresses_.Apply(now, update);
  std::set<long long> affected;
  for (const EndpointRecord& record : update.endpoints) {
    WithdrawFromPreviousDestination(record, affected);
    DestinationOf(record.destination).ApplyRecord(record);
    affected.insert(record.destination);
  }
  if (update.complete) WithdrawUnlisted(update);
  for (auto& [id, destination] : destinations_) {
    const bool reassigned = destination.ApplyReassignments();
    if (reassigned || update.complete) affected.insert(id);
  }
  EndpointListUpdate changes;
  for (const long long id : affected) {
    DestinationOf(id).UpdateStatuses(now, false);
    PublishRemovals(id, changes);
  }
  for (const long long id : affected) PublishUpdates(id, changes);
  return update.complete ? PublishAll() : changes;
}

EndpointListUpdate EndpointMerge::OnTargets(double now, long long destination,
                                            const std::vector<SrvTarget>& targets, bool complete) {
  const IgnoredTargets ignored = DestinationOf(destination).ApplyTargets(now, targets, complete);
  ignored_targets_.unassigned += ignored.unassigned;
  ignored_targets_.reassigned += ignored.reassigned;
  EndpointListUpdate changes;
  PublishChanges(destination, changes);
  return changes;
}

EndpointListUpdate EndpointMerge::OnNotOffered(double now, long long destination) {
  DestinationOf(destination).ApplyNotOffered(now);
  EndpointListUpdate changes;
  PublishChanges(destination, changes);
  return changes;
}

EndpointListUpdate EndpointMerge::OnNoAnswer(double now, long long destination, bool expired) {
  DestinationOf(destination).ApplyNoAnswer(now, expired);
  EndpointListUpdate changes;
  PublishChanges(destination, changes);
  return changes;
}

// Appends the changes to one destination since it was last published.
void EndpointMerge::PublishChanges(long long id, EndpointListUpdate& changes) {
  PublishRemovals(id, changes);
  PublishUpdates(id, changes);
}

// The removals of all destinations must come before any update: an endpoint id may move between destinations.
void EndpointMerge::PublishRemovals(long long id, EndpointListUpdate& changes) {
  const MergedDestination& destination = destinations_.at(id);
  Records& records = published_[id];
  for (auto it = records.begin(); it != records.end();) {
    if (destination.Contains(it->first)) {
      ++it;
      continue;
    }
    changes.endpoints.push_back(it->second);
    changes.endpoints.back().status = Status::kRemoved;
    it = records.erase(it);
  }
}

void EndpointMerge::PublishUpdates(long long id, EndpointListUpdate& changes) {
  Records& records = published_[id];
  for (const MergedEndpoint& merged : destinations_.at(id).Endpoints()) {
    const EndpointRecord& record = merged.endpoint;
    const auto [it, inserted] = records.emplace(record.id, record);
    if (!inserted && AreEqual(it->second, record)) continue;
    it->second = record;
    changes.endpoints.push_back(record);
  }
  if (records.empty()) published_.erase(id);
}

EndpointListUpdate EndpointMerge::PublishAll() {
  EndpointListUpdate update;
  update.complete = true;
  for (const auto& [id, records] : published_) {
    for (const auto& [endpoint_id, record] : records) update.endpoints.push_back(record);
  }
  return update;
}

std::vector<MergedEndpoint> EndpointMerge::Endpoints() const {
  std::vector<MergedEndpoint> endpoints;
  for (const auto& [id, destination] : destinations_) {
    for (const MergedEndpoint& endpoint : destination.Endpoints()) endpoints.push_back(endpoint);
  }
  return endpoints;
}

}  // namespace opalroute
