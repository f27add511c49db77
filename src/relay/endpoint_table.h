// The endpoints that the endpoint lists have named, and the destinations that they serve.
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
  // The endpoint list in force.
  struct ListVersion {
    long long generation = 0;
    Seconds at = 0;  // when its latest update was read, by the loop's clock
  };

  struct Endpoint {
    std::string id;
    int zone = 0;  // index in the settings
    int kind = 0;  // index in the settings
    sockaddr_in address{};
    DestinationId destination = 0;
    bool listed = false;
    ListedEndpoint listed_endpoint;  // as the list has it, suspended or not
    int users = 0;                   // calls and health checks
  };

  // Closes idle connections of `client` to endpoints that are removed or change their address.
  EndpointTable(net::EventLoop& loop, net::HttpClient& client, const Config& config, Counters& counters);

  // Applies an update of the endpoint list; returns it as the decision module gets it.
  ListUpdate Apply(const EndpointListUpdate& list, ListScope scope);

  // Suspends these endpoints, and resumes all others. A suspended endpoint is draining for the decision
  // module, whatever the list says of it; returns the entries that this changes.
  ListUpdate SetSuspended(const std::set<std::string>& ids);
  // Whether an update has named the endpoint since the process started. Bounded by Limits::ids_remembered.
  bool WasListed(const std::string& id) const { return ever_listed_.count(id) > 0; }
  std::vector<EndpointId> Listed() const;

  // The number of an endpoint id; a new one if no update has named it yet.
  EndpointId Intern(const std::string& id);
  std::optional<EndpointId> FindListed(const std::string& id) const;
  Endpoint& At(EndpointId id) { return endpoints_.at(id); }
  const Endpoint& At(EndpointId id) const { return endpoints_.at(id); }
  net::Peer PeerOf(EndpointId id) const { return {endpoints_.at(id).address, id}; }
  bool Serves(DestinationId destination) const { return destinations_.count(destination) > 0; }
  const ListVersion& version() const { return version_; }
  bool empty() const { return destinations_.empty(); }
  // The listed endpoints, in the form of MergedEndpointSource::Print, where the list is the only source.
  nlohmann::ordered_json Print() const;

  // Lists name new endpoints all day, and the table would grow without bound. The decision module has dropped
  // a removed endpoint when a batch ends with no call or health check there: Forget removes those that were
  // unused before the batch and still are after it.
  std::vector<EndpointId> Unused() const;
  void Forget(const std::vector<EndpointId>& unused);

 private:
  struct DestinationState {
    int endpoints = 0;    // listed ones
    Seconds left_at = 0;  // when the last of them was removed
  };

  // Applies one record. Returns the endpoint's number, nothing if the record is skipped. `stale`: the list is
  // older than what is known.
  std::optional<EndpointId> ApplyRecord(const EndpointRecord& record, bool stale, ListUpdate& update);
  std::optional<ListedEndpoint> ToListedEndpoint(const EndpointRecord& record, bool stale) const;
  void RemoveMoved(const std::string& id, EndpointId number, ListUpdate& update);
  void Place(Endpoint& endpoint, const ListedEndpoint& entry, const sockaddr_in& address);
  void UnlistOthers(const std::set<EndpointId>& named);
  void ForgetEmptyDestinations();

  bool IsRemoved(const std::string& id) const;
  bool IsDraining(const std::string& id) const;
  ListedEndpoint WithSuspension(const Endpoint& endpoint) const;  // as the decision module gets it
  void Unlist(EndpointId id);
  void LogState(const Endpoint& endpoint, EndpointStatus before) const;

  net::EventLoop& loop_;
  net::HttpClient& client_;
  const Config& config_;
  Counters& counters_;
  std::unordered_map<std::string, EndpointId> ids_;
  std::unordered_map<EndpointId, Endpoint> endpoints_;
  EndpointId last_ = 0;
  ListVersion version_;
  std::set<EndpointId> unlisted_;  // not forgotten yet: calls may be in flight, and the module may know them
  std::map<DestinationId, DestinationState> destinations_;
  std::set<std::string> suspended_;
  std::set<std::string> ever_listed_;
};

}  // namespace opalroute
