// Learning by datagrams between peers: a relay that starts asks a few of them; each answers with its most
// urgent beliefs in a few datagrams. They cost points and may be lost, so nothing is repeated. Pure but for
// the callback.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "state_transfer/codec.h"

namespace opalroute::state_transfer {

// Least for what must not be missed: a wait in force, then an outage, then a slow start; in each the latest
// seen or longest in force first. None: not worth a datagram.
std::optional<double> Urgency(const RouteState& belief);

// The urgent ones, most urgent first; with equal urgency in their own order.
std::vector<NamedRouteState> MostUrgent(std::vector<NamedRouteState> lanes);

class DatagramExchange {
 public:
  using Send = std::function<void(int peer, const std::string& bytes)>;
  struct Bounds {
    int peers_asked = 2;  // at the start
    int answers = 4;      // datagrams to one asker
    Seconds answer_time = 2;
  };

  DatagramExchange(const Bounds& bounds, std::uint32_t nonce, Send send)
      : bounds_(bounds), nonce_(nonce), send_(send) {}

  // Asks some of the peers 0 to `peers` - 1, drawn by the nonce, and never `self`.
  void RequestSome(Seconds now, int peers, int self);
  // Tells a peer that asked as much as fits.
  void Answer(int peer, std::uint32_t nonce, const std::vector<NamedRouteState>& urgent) const;

  enum class Kind { kNotOurs, kRequest, kAnswer, kIgnored };  // the last: not asked for, or too late
  struct Received {
    Kind kind = Kind::kNotOurs;
    Datagram note;
  };
  Received Receive(Seconds now, int peer, std::string_view bytes) const;

 private:
  const Bounds bounds_;
  const std::uint32_t nonce_;
  Send send_;
  std::set<int> requested_peers_;
  Seconds requested_at_ = 0;
};

}  // namespace opalroute::state_transfer
