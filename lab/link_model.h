// A model of the network between processes and of its failures: relay to relay (datagrams), relay to the
// endpoints of a zone, and relay to discovery. A cut drops traffic silently: connections are not refused, and
// open ones stay open. No I/O; the random draws follow from the seed.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <vector>

#include "lab/draw.h"
#include "opalroute/request_router.h"

namespace opalroute::lab {

// An interruption of the links of a group of relays.
struct LinkCut {
  enum class Target { kPeers, kEndpoints, kDiscovery } target{};
  enum class Direction { kBoth, kOutbound, kInbound } direction{};  // of datagrams, as seen from the group
  int first = 0, last = 0;  // the group, inclusive; with kPeers it is cut off from all other relays
  int zone = -1;            // kEndpoints: the zone that is cut off; -1: all
  Seconds from = 0, duration = 0;
  // If cut_time is above 0, the links flap: they are cut and open in turn for these times.
  Seconds cut_time = 0, open_time = 0;
};

struct LinkSettings {
  Range delay{0.0005, 0.003};  // of a datagram
  double loss = 0, duplicate = 0;
  double reorder = 0;  // share of the datagrams that take ten times as long
  std::vector<LinkCut> cuts;
};

class LinkModel {
 public:
  LinkModel(const LinkSettings& settings, std::uint64_t seed) : settings_(settings), random_(seed, 11) {}

  bool IsPeerLinkCut(Seconds now, int from, int to) const;
  bool IsEndpointLinkCut(Seconds now, int relay, int zone) const;
  bool IsDiscoveryLinkCut(Seconds now, int relay) const;
  // When a datagram that is sent now arrives: empty if it is lost, two times if it is duplicated.
  std::vector<Seconds> DrawArrivals(Seconds now, int from, int to);

 private:
  static bool IsActive(const LinkCut& cut, Seconds now);
  const LinkSettings settings_;
  pcg32 random_;
};

}  // namespace opalroute::lab
