// Tests of the encoding of zone payloads.
#include "zone_failover/zone_gossip.h"

#include <doctest/doctest.h>

namespace opalroute {
namespace {

using zone_failover::EvacuationPhase;
using zone_failover::FaultKind;

TEST_CASE("zone failover: gossip decodes to what was encoded, and truncated gossip is rejected") {
  zone_failover::ZoneGossip gossip;
  gossip.states = {{300, EvacuationPhase::kRecovering, 3, 12.34}, {0, EvacuationPhase::kInService, 0, 1e9}};
  gossip.report = zone_failover::Report(2);
  (*gossip.report)[0].succeeded = 0x80000001;
  (*gossip.report)[1].failed = 7;
  (*gossip.report)[1].failure_age = 0.37;
  (*gossip.report)[1].fault = FaultKind::kTimeout;
  const std::string bytes = zone_failover::EncodeZoneGossip(gossip);
  const auto decoded = zone_failover::DecodeZoneGossip(bytes);
  REQUIRE(decoded);
  CHECK(decoded->states[0].round == 300);
  CHECK(decoded->states[0].phase == EvacuationPhase::kRecovering);
  CHECK(decoded->states[0].relapses == 3);
  CHECK(decoded->states[0].since == doctest::Approx(12.3));  // rounded down
  CHECK((*decoded->report)[0].succeeded == 0x80000001);
  CHECK((*decoded->report)[1].failure_age == doctest::Approx(0.3));
  CHECK((*decoded->report)[1].fault == FaultKind::kTimeout);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK(!zone_failover::DecodeZoneGossip(bytes.substr(0, size)));
  CHECK(!zone_failover::DecodeZoneGossip(bytes + "x"));
}

}  // namespace
}  // namespace opalroute
