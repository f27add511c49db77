// The endpoints named by the endpoint lists so far, and the destinations that they serve.
#pragma once

#include <netinet/in.h>

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "discovery/endpoint_source.h"
#include "metrics/counters.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "opalroute/request_router.h"

namespace opalroute {

class EndpointTable {
 public:
  // The version of the endpoint list in force.
  struct ListVersion {
    long long generation = 0;
    Seconds updated_at = 0;  // when its latest update was read, by the loop's clock
  };

  struct Endpoint {
    std::string id;
    std::optional<ZoneId> zone;  // empty: unknown
    std::optional<KindId> kind;  // empty: unknown
    sockaddr_in address{};
    std::int64_t started_at_ms = 0;  // the start of its process, as the list tells it
    std::uint64_t claimed_in = 0;    // number of the update that gave it this address and process
    DestinationId destination = 0;
    bool listed = false;
    ListedEndpoint listed_endpoint;  // the list's entry, regardless of a suspension
    int calls_in_flight = 0;         // calls and health checks
  };

  // `client` is the client that calls the endpoints: its idle connections to an endpoint are closed when that
  // is removed or suspended, or changes its address.
  EndpointTable(net::EventLoop& loop, net::HttpClient& client, const Config& config, Counters& counters);

  // Applies an update of the endpoint list; returns the update to post to the decision module.
  ListUpdate Apply(const EndpointListUpdate& list, ListScope scope);

  // Suspends these endpoints and resumes all others. The decision module sees a suspended endpoint as
  // draining, whatever its status in the list. Returns the entries that change.
  ListUpdate SetSuspended(const std::set<std::string>& ids);
  // Whether an update has named the endpoint since the process started. At most
  // Limits::remembered_endpoint_ids ids are kept.
  bool WasListed(const std::string& id) const { return ever_listed_.count(id) > 0; }
  std::vector<EndpointId> Listed() const;

  // Returns the number of an endpoint id, and assigns one if the id is new.
  EndpointId Intern(const std::string& id);
  std::optional<EndpointId> FindListed(const std::string& id) const;
  Endpoint& At(EndpointId id) { return endpoints_.at(id); }
  const Endpoint& At(EndpointId id) const { return endpoints_.at(id); }
  bool Contains(EndpointId id) const { return endpoints_.count(id) > 0; }
  // Its name in the list; empty for one that was forgotten.
  std::string NameOf(EndpointId id) const;
  net::Peer PeerOf(EndpointId id) const { return PeerOf(endpoints_.at(id), id); }
  bool Serves(DestinationId destination) const { return destinations_.count(destination) > 0; }
  const ListVersion& version() const { return version_; }
  bool empty() const { return destinations_.empty(); }
  // The listed endpoints in the format of MergedEndpointSource::ToJson, for relays without other endpoint
  // sources.
  nlohmann::ordered_json ToJson() const;

  // Lists keep naming new endpoints, so unlisted ones are removed to bound the table. The decision module
  // drops a removed endpoint at the end of a batch if no call or health check to it is in flight: Forget
  // removes those of `unused`, the result of Unused before the batch ended, that are still unused after it.
  std::vector<EndpointId> Unused() const;
  void Forget(const std::vector<EndpointId>& unused);

 private:
  struct DestinationState {
    int listed_endpoints = 0;
    Seconds last_removal = 0;  // when an endpoint was last removed
  };

  // Applies one record. Returns the endpoint's number, or nullopt if the record is skipped. `stale` means
  // that the list is older than one published before.
  std::optional<EndpointId> ApplyRecord(const EndpointRecord& record, bool stale, ListUpdate& update);
  static net::Peer PeerOf(const Endpoint& endpoint, EndpointId id) {
    return {endpoint.address, id, endpoint.started_at_ms};
  }
  // An address belongs to the endpoint that the list has given it last, whatever it still says of others.
  void RemoveDisplaced(ListUpdate& update);
  std::optional<EndpointId> OwnerOf(const sockaddr_in& address) const;
  void Displace(EndpointId number, ListUpdate& update);
  bool IsDisplaced(const EndpointRecord& record);
  std::optional<ListedEndpoint> ToListedEndpoint(const EndpointRecord& record, bool stale) const;
  void RemoveReassigned(const std::string& id, EndpointId number, ListUpdate& update);
  void UpdateEndpoint(Endpoint& endpoint, const ListedEndpoint& entry, const EndpointRecord& record);
  void UnlistOthers(const std::set<EndpointId>& ids_in_update);
  void ForgetEmptyDestinations();

  bool IsRemoved(const std::string& id) const;
  bool IsDraining(const std::string& id) const;
  // The endpoint's entry as the decision module sees it: draining while it is suspended.
  ListedEndpoint WithSuspension(const Endpoint& endpoint) const;
  void Unlist(EndpointId id);
  void LogState(const Endpoint& endpoint, EndpointStatus before) const;

  net::EventLoop& loop_;
  net::HttpClient& client_;
  const Config& config_;
  Counters& counters_;
  std::unordered_map<std::string, EndpointId> ids_;
  std::unordered_map<EndpointId, Endpoint> endpoints_;
  EndpointId last_id_ = 0;
  std::unordered_map<std::uint64_t, EndpointId> owners_;  // by address
  std::unordered_map<std::string, std::uint64_t>
      displaced_;                   // the address that an endpoint has lost, by its id
  std::vector<EndpointId> claims_;  // of addresses, in the update being applied
  std::uint64_t updates_ = 0;
  ListVersion version_;
  // Not forgotten yet: calls may be in flight, and the decision module may still know them.
  std::set<EndpointId> unlisted_;
  std::map<DestinationId, DestinationState> destinations_;
  std::set<std::string> suspended_;
  std::set<std::string> ever_listed_;
};

}  // namespace opalroute
