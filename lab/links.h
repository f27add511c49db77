// What lies between processes, and how it fails: relay to relay (datagrams), relay to the endpoints of a
// zone, relay to discovery. Cuts are silent: nothing is refused, what is open stays open. Pure, but for its
// draws.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <vector>

#include "lab/draw.h"
#include "opalroute/request_router.h"

namespace opalroute::lab {

struct Cut {
  enum class What { kPeers, kEndpoints, kDiscovery } what{};
  enum class Way { kBoth, kOut, kIn } way{};  // of notes: seen from the group
  int first = 0, last = 0;                    // relays of the group, both counted; of kPeers from all others
  int zone = -1;                              // of kEndpoints; -1: all
  Seconds from = 0, lasts = 0;
  Seconds on = 0, off = 0;  // above 0: cut for so long, open for so long, over and over
};

struct LinkPlan {
  Range delay{0.0005, 0.003};  // of a datagram
  double loss = 0, duplicate = 0;
  double reorder = 0;  // of the datagrams: they take ten times as long
  std::vector<Cut> cuts;
};

class Links {
 public:
  Links(const LinkPlan& plan, std::uint64_t seed) : plan_(plan), random_(seed, 11) {}

  bool PeersCut(Seconds now, int from, int to) const;
  bool EndpointsCut(Seconds now, int relay, int zone) const;
  bool DiscoveryCut(Seconds now, int relay) const;
  // When a datagram that is sent now arrives: never, once or twice.
  std::vector<Seconds> Arrivals(Seconds now, int from, int to);

 private:
  static bool Holds(const Cut& cut, Seconds now);
  const LinkPlan plan_;
  pcg32 random_;
};

}  // namespace opalroute::lab
