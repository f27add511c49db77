// State transfer by datagrams between peers: a relay that starts sends a request to a few of them, and each
// answers with its most urgent route states in a few datagrams. Datagrams are costly and may be lost; none is
// sent again. Does no I/O except through the callback.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "state_transfer/codec.h"

namespace opalroute::state_transfer {

// A lower value is more urgent: a Retry-After in force comes before an outage, an outage before a slow start.
// Within each kind, the longest Retry-After or the latest observation comes first. Returns nullopt for a
// state that is not worth a datagram.
std::optional<double> Urgency(const RouteState& state);

// Returns the states that have an urgency, most urgent first; equally urgent ones keep their order.
std::vector<NamedRouteState> MostUrgent(std::vector<NamedRouteState> routes);

class DatagramExchange {
 public:
  using Send = std::function<void(int peer, const std::string& bytes)>;

  struct Bounds {
    int max_peers = 2;           // that requests are sent to
    int max_answers = 4;         // datagrams in answer to one request
    Seconds answer_timeout = 2;  // later answers are ignored
  };

  enum class Kind {
    kOtherProtocol,  // not a datagram of state transfer
    kRequest,
    kAnswer,
    kIgnored,  // of another version, unrequested, or too late
  };

  struct Received {
    Kind kind = Kind::kOtherProtocol;
    Datagram datagram;
  };

  DatagramExchange(const Bounds& bounds, std::uint32_t nonce, Send send)
      : bounds_(bounds), nonce_(nonce), send_(std::move(send)) {}

  // Sends requests to some of the peers 0 to `peer_count` - 1, except `own_peer`; the nonce seeds the random
  // choice.
  void SendRequests(Seconds now, int peer_count, int own_peer);
  // Sends a requester as many of the route states, from the front, as the bounds allow.
  void Answer(int peer, std::uint32_t nonce, const std::vector<NamedRouteState>& urgent) const;
  Received Receive(Seconds now, int peer, std::string_view bytes) const;

 private:
  const Bounds bounds_;
  const std::uint32_t nonce_;
  const Send send_;
  std::set<int> requested_peers_;
  Seconds requested_at_ = 0;
};

}  // namespace opalroute::state_transfer
