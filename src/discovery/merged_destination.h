// The endpoints of one destination, merged from the endpoint list and DNS SRV records, and whether each is in
// service; docs/srv.md has the rules. Does no I/O; callers pass the time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "discovery/endpoint_source.h"
#include "discovery/listed_addresses.h"
#include "discovery/srv_target.h"
#include "discovery/status_reason.h"

namespace opalroute {

// Times in seconds.
struct EndpointMergeOptions {
  // The share of a destination's endpoints, not counting those that the list drains, that unconfirmed answers
  // may drain within `drain_window`.
  double max_unconfirmed_drain_share = 0.5;
  double drain_window = 30;
  double confirmation_delay = 2;  // an exclusion is confirmed once a later answer repeats it after this time
  double return_delay = 10;       // a drained endpoint returns once answers have included it for this time
  double tombstone_time = 600;    // for which SRV must not add an address that the list has withdrawn
  std::set<std::string> kinds_with_endpoint_limits;  // SRV weights rate their endpoints
};

struct MergedEndpoint {
  EndpointRecord endpoint;  // as published to the relay
  StatusReason reason{};
};

// Targets of an SRV answer that are ignored.
struct IgnoredTargets {
  // Neither listed nor own addresses of the destination, or withdrawn by the list recently.
  long unassigned = 0;
  // At addresses that the list has given to another destination.
  long reassigned = 0;
};

class MergedDestination {
 public:
  // `options` and `addresses` must outlive this object.
  MergedDestination(long long id, const EndpointMergeOptions& options, const ListedAddresses& addresses)
      : id_(id), options_(options), addresses_(addresses) {}

  // The operator settings assign this address to the destination: SRV may add an endpoint there.
  void AddOwnAddress(const sockaddr_in& address);

  // Applies a record of the list: adds, updates or removes an endpoint. Must be followed by
  // ApplyReassignments and UpdateStatuses, as the next two.
  void ApplyRecord(const EndpointRecord& record);
  // Removes an endpoint that the list no longer has.
  void Withdraw(const std::string& list_id);
  // Withdraws the listed endpoints that a complete list no longer names, and returns their ids in the list.
  std::vector<std::string> WithdrawUnlisted(const std::set<std::string>& listed_ids);
  // Takes out the endpoints whose addresses the list has given to others since: listed ones until they have
  // an address again, added ones for good. Call it after `addresses` has changed. Returns whether any
  // endpoint has changed; UpdateStatuses must follow.
  bool ApplyReassignments();

  // An answer that names targets. If not `complete`, addresses of some targets may be missing, so nothing is
  // drained.
  IgnoredTargets ApplyTargets(double now, const std::vector<SrvTarget>& targets, bool complete);
  // The answer is the target ".": the service is not offered (RFC 2782).
  void ApplyNotOffered(double now);
  // The query failed, the name or record does not exist, or the answer is stale: the last answer stays in
  // effect. If `expired`, earlier answers no longer count.
  void ApplyNoAnswer(double now, bool expired);

  // Decides which endpoints are in service. Drains endpoints only after a complete SRV answer (`answered`).
  void UpdateStatuses(double now, bool answered);

  // Whether the published set has the endpoint.
  bool Contains(const std::string& id) const;
  std::vector<MergedEndpoint> Endpoints() const;  // the published set, by id

 private:
  using AddressKey = std::uint64_t;
  struct Endpoint {
    EndpointRecord record;    // from its source, but with the published id
    std::string list_id;      // its id in the list; empty if the list has not named it
    bool added = false;       // by SRV; the list has not named it so far
    bool reassigned = false;  // the list has given its address to another endpoint since: not published
    double added_at = -1;
    std::optional<SrvTarget> target;  // in the latest answer, if that names it
    // When the current run of answers that exclude or include the endpoint began; below 0 outside such a run.
    double excluded_since = -1;
    double included_since = -1;
    bool exclusion_confirmed = false;
    bool drained = false;  // by SRV
    StatusReason reason = StatusReason::kList;

    bool ListedInService() const {
      return record.status == EndpointRecord::Status::kInService && !reassigned;
    }
    bool InService() const { return ListedInService() && !drained; }
    void ResetAnswers();
  };

  std::string ResolveId(const EndpointRecord& record);
  std::vector<SrvTarget> WithoutReassigned(const std::vector<SrvTarget>& targets) const;
  long AddOwnTargets(double now, const std::vector<SrvTarget>& targets);
  void AddEndpoint(double now, const std::string& id, const sockaddr_in& address);
  bool MayAdd(double now, const sockaddr_in& address) const;
  void ApplyAnswer(double now, bool complete);
  int BestPriority() const;
  void DrainExcluded(double now, std::size_t in_service);
  void EraseExcludedAdditions();
  void RestoreIfAllDrained();
  bool MayDrain(double now, std::size_t in_service) const;
  bool IsConfirmedNotOffered() const;
  StatusReason ReasonOf(const Endpoint& endpoint) const;
  bool IsRatedByWeight(const Endpoint& endpoint) const;
  double RatingOf(const Endpoint& endpoint) const;
  EndpointRecord MergedRecord(const Endpoint& endpoint) const;

  const long long id_;
  const EndpointMergeOptions& options_;
  const ListedAddresses& addresses_;
  bool not_offered_ = false;
  std::set<AddressKey> own_addresses_;
  std::map<std::string, Endpoint> endpoints_;   // by published id
  std::map<std::string, std::string> aliases_;  // id in the list to published id, where they differ
  std::vector<double> unconfirmed_drains_;      // times within the drain window
};

}  // namespace opalroute
