// The addresses that the endpoint list names, in all destinations, and those that it has withdrawn recently.
// The list owns them: no other source may give one to another destination. Does no I/O; callers pass the
// time, in seconds.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "discovery/address_claim.h"
#include "discovery/endpoint_source.h"

namespace opalroute {

class ListedAddresses {
 public:
  // An address counts as withdrawn for `tombstone_time` seconds.
  explicit ListedAddresses(double tombstone_time) : tombstone_time_(tombstone_time) {}

  void Apply(double now, const EndpointListUpdate& update);

  // Whether the list has given the endpoint's address to another one since. `list_id` is its id in the list.
  // False for an endpoint that is not in the list.
  bool IsReassigned(const std::string& list_id) const;
  // Whether the list names the address, for any destination.
  bool IsListed(const sockaddr_in& address) const;
  // Whether the list names the address, and for endpoints of other destinations only. An endpoint whose
  // address was reassigned does not count.
  bool BelongsToAnother(const sockaddr_in& address, long long destination) const;
  // Whether the list named the address, for any destination, and no longer does.
  bool WithdrawnRecently(double now, const sockaddr_in& address) const;

 private:
  using AddressKey = std::uint64_t;
  struct Entry {
    AddressKey address = 0;
    long long destination = 0;
    AddressClaim claim;
  };

  void ApplyRecord(double now, const EndpointRecord& record, bool stale);
  void WithdrawUnlisted(double now, const EndpointListUpdate& update);
  void Withdraw(double now, const std::string& list_id);
  void ForgetExpired(double now);

  const double tombstone_time_;
  std::uint64_t updates_ = 0;
  std::unordered_map<std::string, Entry> entries_;             // by id in the list
  std::unordered_map<AddressKey, std::set<std::string>> ids_;  // ids in the list, by address
  std::unordered_map<AddressKey, double> withdrawn_until_;
};

}  // namespace opalroute
