// Merges the endpoint list with DNS SRV and publishes what has changed. The list owns membership; SRV may
// order, rate and drain what the list names, and adds only what the operators' file has as the destination's
// own. The rule for one destination is in MergedDestination; docs/srv.md explains it, and a test plays each
// row of its table. Pure: no I/O, and the clock is handed in.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "discovery/endpoint_source.h"
#include "discovery/merged_destination.h"
#include "discovery/srv_target.h"

namespace opalroute {

class EndpointMerge {
 public:
  explicit EndpointMerge(const MergeOptions& options) : options_(options) {}
  EndpointMerge(const EndpointMerge&) = delete;
  EndpointMerge& operator=(const EndpointMerge&) = delete;

  // The operators' file has this address as the destination's own.
  void SetOwner(long long destination, const sockaddr_in& address);

  // Each applies what a source says at `now`, in seconds, and returns what has changed of the merged set: all
  // of it where a whole list has arrived.
  EndpointListUpdate OnList(double now, const EndpointListUpdate& update);
  // An answer that names targets. Not complete: the addresses of some are not known, so nothing is drained.
  EndpointListUpdate OnTargets(double now, long long destination, const std::vector<SrvTarget>& targets,
                               bool complete);
  // The answer is the target ".".
  EndpointListUpdate OnNotOffered(double now, long long destination);
  // No such name, no such record, a failure or an answer that is too old: all stays as it was. Expired:
  // earlier answers no longer count either.
  EndpointListUpdate OnNoAnswer(double now, long long destination, bool expired);

  std::vector<MergedEndpoint> Endpoints() const;  // by destination and id
  // Targets ignored so far, as they are not the destination's own.
  long unowned_targets() const { return unowned_targets_; }

 private:
  using Records = std::map<std::string, EndpointRecord>;  // by id

  MergedDestination& DestinationOf(long long id);
  void LeavePreviousDestination(double now, const EndpointRecord& record, std::set<long long>& touched);
  void WithdrawUnlisted(double now, const EndpointListUpdate& list);
  void PublishChanges(long long id, EndpointListUpdate& changes);
  EndpointListUpdate PublishAll();

  const MergeOptions options_;
  std::map<long long, MergedDestination> destinations_;
  std::map<long long, Records> published_;                        // by destination, as the relay has it
  std::unordered_map<std::string, long long> destination_by_id_;  // by the list's id
  long unowned_targets_ = 0;
};

}  // namespace opalroute
