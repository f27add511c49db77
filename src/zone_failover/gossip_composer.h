// Composes the zone part of a relay's gossip, and encodes it with membership messages into datagrams. Does no
// I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "membership/membership.h"
#include "zone_failover/operator_override.h"
#include "zone_failover/zone_consensus.h"
#include "zone_failover/zone_evacuation.h"
#include "zone_failover/zone_health_observer.h"

namespace opalroute::zone_failover {

// A datagram to send.
struct OutgoingDatagram {
  std::optional<membership::Peer> to;  // std::nullopt: every other relay
  std::string bytes;
};

// This relay's report, by zone, of its own calls.
Report MakeReport(Seconds now, const ZoneHealthObserver& observer);

// The state of each zone, with `since` converted to the age of the phase, as in gossip and in the state file.
std::vector<EvacuationState> StatesWithAges(Seconds now, const ZoneEvacuation& evacuation);

// Appends a datagram for each of `messages`, with `zone_payload` added. Peer reports that do not fit into
// `max_bytes` are dropped.
void AppendDatagrams(const std::vector<membership::OutgoingMessage>& messages,
                     const std::string& zone_payload, std::size_t max_bytes,
                     std::vector<OutgoingDatagram>& out);

}  // namespace opalroute::zone_failover
