// State transfer by datagrams between peers: a relay that starts asks a few of them, and each answers with
// its most urgent route states in a few datagrams. Datagrams have a price and may be lost, so nothing is
// repeated. Pure but for the callback.
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

// Lower is more urgent: a Retry-After in force comes before an outage, an outage before a slow start; among
// equals the longest Retry-After or the latest observation is first. Nullopt: not worth a datagram.
std::optional<double> Urgency(const RouteState& state);

// The urgent ones, most urgent first; equally urgent ones keep their order.
std::vector<NamedRouteState> MostUrgent(std::vector<NamedRouteState> routes);

class DatagramExchange {
 public:
  using Send = std::function<void(int peer, const std::string& bytes)>;

  struct Bounds {
    int peers_asked = 2;  // at the start
    int answers = 4;      // datagrams to one requester
    Seconds answer_time = 2;
  };

  enum class Kind {
    kNotOurs,  // no datagram of state transfer
    kRequest,
    kAnswer,
    kIgnored,  // of another version, not asked for, or too late
  };

  struct Received {
    Kind kind = Kind::kNotOurs;
    Datagram datagram;
  };

  DatagramExchange(const Bounds& bounds, std::uint32_t nonce, Send send)
      : bounds_(bounds), nonce_(nonce), send_(std::move(send)) {}

  // Asks some of the peers 0 to `peers` - 1, drawn by the nonce, and never `self`.
  void RequestSome(Seconds now, int peers, int self);
  // Sends a requester as many of the route states as the bounds allow.
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
