#include "discovery/endpoint_merge.h"

namespace opalroute {

namespace {

using Status = EndpointRecord::Status;

bool AreEqual(const EndpointRecord& a, const EndpointRecord& b) {
  return a.status == b.status && a.weight == b.weight && a.zone == b.zone && a.kind == b.kind &&
         a.address.sin_addr.s_addr == b.address.sin_addr.s_addr && a.address.sin_port == b.address.sin_port;
}

}  // namespace

MergedDestination& EndpointMerge::DestinationOf(long long id) {
  return destinations_.try_emplace(id, id, options_).first->second;
}

void EndpointMerge::SetOwner(long long destination, const sockaddr_in& address) {
  DestinationOf(destination).AddOwnAddress(address);
}

// An id that the list names for another destination now has left the one before.
void EndpointMerge::LeavePreviousDestination(double now, const EndpointRecord& record,
                                             std::set<long long>& touched) {
  const auto [home, inserted] = destination_by_id_.emplace(record.id, record.destination);
  if (!inserted && home->second != record.destination) {
    DestinationOf(home->second).Withdraw(now, record.id);
    touched.insert(home->second);
    home->second = record.destination;
  }
  if (record.status == Status::kRemoved) destination_by_id_.erase(record.id);
}

void EndpointMerge::WithdrawUnlisted(double now, const EndpointListUpdate& list) {
  std::map<long long, std::set<std::string>> listed_ids;  // by destination
  for (const EndpointRecord& record : list.endpoints) listed_ids[record.destination].insert(record.id);
  for (auto& [id, destination] : destinations_) {
    for (const std::string& list_id : destination.WithdrawUnlisted(now, listed_ids[id])) {
      const auto home = destination_by_id_.find(list_id);
      if (home != destination_by_id_.end() && home->second == id) destination_by_id_.erase(home);
    }
  }
}

EndpointListUpdate EndpointMerge::OnList(double now, const EndpointListUpdate& update) {
  std::set<long long> touched;
  for (const EndpointRecord& record : update.endpoints) {
    LeavePreviousDestination(now, record, touched);
    DestinationOf(record.destination).ApplyRecord(now, record);
    touched.insert(record.destination);
  }
  if (update.complete) {
    WithdrawUnlisted(now, update);
    for (const auto& [id, destination] : destinations_) touched.insert(id);
  }
  EndpointListUpdate changes;
  for (const long long id : touched) {
    DestinationOf(id).UpdateVerdicts(now, false);
    PublishChanges(id, changes);
  }
  return update.complete ? PublishAll() : changes;
}

EndpointListUpdate EndpointMerge::OnTargets(double now, long long destination,
                                            const std::vector<SrvTarget>& targets, bool complete) {
  unowned_targets_ += DestinationOf(destination).ApplyTargets(now, targets, complete);
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

// Appends what has changed of one destination since it was published last: removals, then the others by id.
void EndpointMerge::PublishChanges(long long id, EndpointListUpdate& changes) {
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
  for (const MergedEndpoint& merged : destination.Endpoints()) {
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
