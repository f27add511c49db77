// The endpoints that the pool's lists have named, and the destinations that they serve.
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
  // The list as it is held: its generation, and when the latest news of it was read (seconds, the loop's
  // clock).
  struct ListVersion {
    long long generation = 0;
    Seconds at = 0;
  };

  struct Endpoint {
    std::string id;
    int zone = 0, kind = 0;
    sockaddr_in address{};
    DestinationId destination = 0;
    bool listed = false;
    ListedEndpoint listed_endpoint;  // as the list says, whatever was done by hand
    int users = 0;                   // flows and probes
  };

  // Closes idle connections of `client` to endpoints that leave or move.
  EndpointTable(net::EventLoop& loop, net::HttpClient& client, const Config& config, Counters& counters);

  // Takes a list over; returns the same for the decision module.
  ListUpdate Apply(const EndpointListUpdate& news, ListScope scope);

  // Takes endpoints out by hand, and these alone; returns what that changes for the decision module, to which
  // a banned endpoint is draining, whatever the list says of it.
  ListUpdate SetSuspended(const std::set<std::string>& ids);
  bool WasListed(const std::string& id) const { return ever_listed_.count(id) > 0; }
  std::vector<EndpointId> Listed() const;

  EndpointId Intern(const std::string& id);  // gives a name a number, though no list has named it yet
  std::optional<EndpointId> FindListed(const std::string& id) const;
  Endpoint& At(EndpointId id) { return endpoints_.at(id); }
  const Endpoint& At(EndpointId id) const { return endpoints_.at(id); }
  net::Peer PeerOf(EndpointId id) const { return {endpoints_.at(id).address, id}; }
  bool Serves(DestinationId destination) const { return destinations_.count(destination) > 0; }
  const ListVersion& version() const { return version_; }
  bool empty() const { return destinations_.empty(); }
  // The listed endpoints, in the form of JoinedPool's, where the list is the only source.
  nlohmann::ordered_json Print() const;

  // Danger: lists name new endpoints all day, and what is kept of each would grow for good. The module has
  // dropped an endpoint that is gone when a turn ends with no call or probe out there: those that were unused
  // before the turn, and still are after it, are forgotten.
  std::vector<EndpointId> Unused() const;
  void Forget(const std::vector<EndpointId>& unused);

 private:
  struct DestinationState {
    int endpoints = 0;    // listed
    Seconds left_at = 0;  // the last one of them
  };
  std::optional<EndpointId> Place(EndpointRecord member, bool older, ListUpdate& update);
  bool IsRemoved(const std::string& id) const;
  bool IsDraining(const std::string& id) const;
  ListedEndpoint WithSuspension(const Endpoint& endpoint) const;  // what the module is told of it
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
  std::set<EndpointId> unlisted_;  // not forgotten yet: calls may be out there, and the module may know them
  std::map<DestinationId, DestinationState> destinations_;
  std::set<std::string> suspended_;
  std::set<std::string> ever_listed_;  // since the start; bounded, and enough to know an id by
};

}  // namespace opalroute
