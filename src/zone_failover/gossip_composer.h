// Composes what a relay tells the others about zones, and writes it with membership messages into datagrams.
// Without I/O.
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
  std::optional<membership::Peer> to;  // nothing: to every other relay
  std::string bytes;
};

// The report of this relay's own calls, by zone.
Report MakeReport(Seconds now, const ZoneHealthObserver& observer);

// The state of each zone with the age of its phase in `since`, as gossip and the state file have it.
std::vector<EvacuationState> StatesWithAges(Seconds now, const ZoneEvacuation& evacuation);

// Appends `messages` with `zone_payload`, each encoded in at most `max_bytes`.
void AppendDatagrams(const std::vector<membership::OutgoingMessage>& messages,
                     const std::string& zone_payload, std::size_t max_bytes,
                     std::vector<OutgoingDatagram>& out);

}  // namespace opalroute::zone_failover
