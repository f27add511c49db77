#include "discovery/listed_addresses.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include "net/address.h"

namespace opalroute {

namespace {

using Status = EndpointRecord::Status;

}  // namespace

void ListedAddresses::Apply(double now, const EndpointListUpdate& update) {
  ++updates_;
  for (const EndpointRecord& record : update.endpoints) ApplyRecord(now, record, update.stale);
  if (update.complete) WithdrawUnlisted(now, update);
  ForgetExpired(now);
}

// What a stale list claims is older than every claim of a newer list.
void ListedAddresses::ApplyRecord(double now, const EndpointRecord& record, bool stale) {
  if (record.status == Status::kRemoved) return Withdraw(now, record.id);
  const AddressKey address = net::KeyOf(record.address);
  const auto known = entries_.find(record.id);
  const bool same_place = known != entries_.end() && known->second.address == address &&
                          known->second.destination == record.destination;
  const bool starts_anew =
      known != entries_.end() && record.started_at_ms > known->second.claim.started_at_ms;
  AddressClaim claim{stale ? 0 : updates_, record.started_at_ms, record.status == Status::kDraining};
  if (same_place && !starts_anew) claim = known->second.claim;
  if (known != entries_.end() && !same_place) Withdraw(now, record.id);
  entries_[record.id] = {address, record.destination, claim};
  ids_[address].insert(record.id);
  withdrawn_until_.erase(address);
}

void ListedAddresses::WithdrawUnlisted(double now, const EndpointListUpdate& update) {
  std::set<std::string> listed;
  for (const EndpointRecord& record : update.endpoints) listed.insert(record.id);
  std::vector<std::string> unlisted;
  for (const auto& [list_id, entry] : entries_) {
    if (listed.count(list_id) == 0) unlisted.push_back(list_id);
  }
  for (const std::string& list_id : unlisted) Withdraw(now, list_id);
}

void ListedAddresses::Withdraw(double now, const std::string& list_id) {
  const auto entry = entries_.find(list_id);
  if (entry == entries_.end()) return;
  const AddressKey address = entry->second.address;
  entries_.erase(entry);
  std::set<std::string>& ids = ids_.at(address);
  ids.erase(list_id);
  if (!ids.empty()) return;
  ids_.erase(address);
  withdrawn_until_[address] = now + tombstone_time_;
}

void ListedAddresses::ForgetExpired(double now) {
  for (auto it = withdrawn_until_.begin(); it != withdrawn_until_.end();) {
    it = it->second <= now ? withdrawn_until_.erase(it) : std::next(it);
  }
}

bool ListedAddresses::IsReassigned(const std::string& list_id) const {
  const auto entry = entries_.find(list_id);
  if (entry == entries_.end()) return false;
  const std::set<std::string>& ids = ids_.at(entry->second.address);
  return std::any_of(ids.begin(), ids.end(), [&](const std::string& other) {
    return IsOlder(entry->second.claim, entries_.at(other).claim);
  });
}

bool ListedAddresses::IsListed(const sockaddr_in& address) const {
  return ids_.count(net::KeyOf(address)) > 0;
}

bool ListedAddresses::BelongsToAnother(const sockaddr_in& address, long long destination) const {
  const auto ids = ids_.find(net::KeyOf(address));
  if (ids == ids_.end()) return false;
  return std::none_of(ids->second.begin(), ids->second.end(), [&](const std::string& list_id) {
    return entries_.at(list_id).destination == destination && !IsReassigned(list_id);
  });
}

bool ListedAddresses::WithdrawnRecently(double now, const sockaddr_in& address) const {
  const auto tombstone = withdrawn_until_.find(net::KeyOf(address));
  return tombstone != withdrawn_until_.end() && now < tombstone->second;
}

}  // namespace opalroute
