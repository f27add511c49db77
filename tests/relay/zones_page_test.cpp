// The page GET /zones, whose keys and values are read by operators' programs.
#include "relay/zones_page.h"

#include <doctest/doctest.h>

#include "tests/zone_failover/simulated_calls.h"

namespace opalroute {
namespace {

TEST_CASE("zone failover: the /zones page has the documented keys in the documented order") {
  SimulatedFleet fleet(FailoverOptionsFor(6), {}, 41);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    return zone == 1 && fleet.now >= 103 ? FailedCall(Outcome::kReset) : CallResult{};
  });
  fleet.StartAll();
  calls.RunUntil(106);
  fleet.IssueOverride(2, 2, zone_failover::OverrideKind::kEvacuate, 30);
  calls.RunUntil(108);
  fleet.Kill(4);
  calls.RunUntil(128);
  const std::string page = ZonesPage(128.5, "r0", {"ground", "first", "second"}, fleet[0], {12, 345}).dump();
  CHECK(
      page ==
      R"({"relay":"r0","tier":{"relays":6,"live":5,"suspected":0,"unheard":0,"gone":1,"parts":5.0,"settled":true,"restarts_seen":0,"notes_sent":12,"note_bytes_sent":345},)"
      R"("zones":[{"zone":"ground","stage":"in","for_s":128.5,"round":0,"relapses":0,"share":1.0,"scout":false,"accusers":0,"vouchers":3,"partners_failing":0,"partners":11,"why":"none","order":"none","order_left_s":0.0,"order_told_to":0},)"
      R"({"zone":"first","stage":"out","for_s":23.60000000000028,"round":2,"relapses":0,"share":0.0,"scout":true,"accusers":2,"vouchers":0,"partners_failing":3,"partners":3,"why":"broken","order":"none","order_left_s":0.0,"order_told_to":0},)"
      R"({"zone":"second","stage":"out","for_s":22.400000000000347,"round":1,"relapses":0,"share":0.0,"scout":false,"accusers":0,"vouchers":0,"partners_failing":0,"partners":0,"why":"none","order":"leave","order_left_s":7.649999999998528,"order_told_to":2}]})");
}

}  // namespace
}  // namespace opalroute
