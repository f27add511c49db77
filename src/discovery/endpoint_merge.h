// Merges the endpoint list with DNS SRV records and publishes the changes. The list decides which endpoints
// belong to a destination. SRV may order, rate and drain listed endpoints; it adds an endpoint only at an
// address that the operator settings assign to the destination. MergedDestination implements the rules for
// one destination; docs/srv.md explains them, and each row of tests/merge_table.txt is a test case of them.
// Does no I/O; callers pass the time.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "discovery/endpoint_source.h"
#include "discovery/listed_addresses.h"
#include "discovery/merged_destination.h"
#include "discovery/srv_target.h"

namespace opalroute {

class EndpointMerge {
 public:
  explicit EndpointMerge(const EndpointMergeOptions& options)
      : options_(options), addresses_(options.tombstone_time) {}
  EndpointMerge(const EndpointMerge&) = delete;
  EndpointMerge& operator=(const EndpointMerge&) = delete;

  // The operator settings assign this address to the destination: SRV may add an endpoint there.
  void AddOwnAddress(long long destination, const sockaddr_in& address);

  // Each of these applies input that a source delivered at `now`, in seconds, and returns the changes to the
  // merged set, or the complete merged set for a complete list.
  EndpointListUpdate OnList(double now, const EndpointListUpdate& update);
  // An answer that names targets. If not `complete`, addresses of some targets may be missing, so nothing is
  // drained.
  EndpointListUpdate OnTargets(double now, long long destination, const std::vector<SrvTarget>& targets,
                               bool complete);
  // The answer is the target ".".
  EndpointListUpdate OnNotOffered(double now, long long destination);
  // The query failed, the name or record does not exist, or the answer is stale: the last answer stays in
  // effect. If `expired`, earlier answers no longer count.
  EndpointListUpdate OnNoAnswer(double now, long long destination, bool expired);

  std::vector<MergedEndpoint> Endpoints() const;  // by destination and id
  // The numbers of targets ignored so far.
  const IgnoredTargets& ignored_targets() const { return ignored_targets_; }

 private:
  using Records = std::map<std::string, EndpointRecord>;  // by id

  MergedDestination& DestinationOf(long long id);
  void WithdrawFromPreviousDestination(const EndpointRecord& record, std::set<long long>& affected);
  void WithdrawUnlisted(const EndpointListUpdate& list);
  void PublishChanges(long long id, EndpointListUpdate& changes);
  void PublishRemovals(long long id, EndpointListUpdate& changes);
  void PublishUpdates(long long id, EndpointListUpdate& changes);
  EndpointListUpdate PublishAll();

  const EndpointMergeOptions options_;
  ListedAddresses addresses_;
  std::map<long long, MergedDestination> destinations_;
  std::map<long long, Records> published_;                        // by destination, as last published
  std::unordered_map<std::string, long long> destination_by_id_;  // by id in the list
  IgnoredTargets ignored_targets_;
};

}  // namespace opalroute
