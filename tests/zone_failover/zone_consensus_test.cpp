// Tests of the verdict on a zone from the reports of all relays.
#include "zone_failover/zone_consensus.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <optional>
#include <tuple>
#include <vector>

namespace opalroute {
namespace {

// Three relays and two zones: whichever reports arrive, in whatever order and duplicated, only the latest of
// each relay counts.
TEST_CASE("zone failover: reports merge to the same view in every order, with every loss, across a restart") {
  struct SentReport {
    int from;
    std::uint64_t incarnation;
    std::uint64_t sequence;
    zone_failover::Report report;
  };
  const auto report = [](std::uint32_t succeeded, std::uint32_t failed) {
    zone_failover::ZoneReport zone;
    zone_failover::ZoneReport other;
    zone.succeeded = succeeded;
    zone.failed = failed;
    zone.success_age = succeeded != 0 ? 0.2 : 3;
    zone.failure_age = failed != 0 ? 0.1 : 3;
    other.succeeded = 1;
    other.success_age = 0.1;
    return zone_failover::Report{zone, other};
  };
  const std::vector<SentReport> sent = {
      {0, 1, 5, report(0, 3)}, {0, 1, 6, report(3, 0)},
      {1, 4, 9, report(4, 0)}, {1, 5, 1, report(0, 6)},  // relay 1 has restarted
      {2, 2, 1, report(0, 5)}, {2, 2, 7, report(0, 9)}};
  std::vector<int> order(sent.size());
  std::iota(order.begin(), order.end(), 0);
  int permutations = 0;
  for (unsigned received_bits = 0; received_bits < 64; ++received_bits) {
    std::optional<std::tuple<int, int, int, int, bool>> expected;
    do {
      zone_failover::ZoneConsensus consensus({}, 2);
      for (const int i : order)
        for (int twice = 0; twice < 2; ++twice)
          if ((received_bits >> i & 1U) != 0) {
            const SentReport& message = sent[static_cast<std::size_t>(i)];
            consensus.AddReport(10, message.from, message.incarnation, message.sequence, message.report);
          }
      const zone_failover::ZoneView view = consensus.ViewOf(10.1, 0);
      const std::tuple result(view.failure_reporters, view.success_reporters, view.failed_destinations,
                              view.succeeded_destinations, consensus.IsFailing(10.1, 0, view, {3}));
      if (!expected) expected = result;
      REQUIRE(result == *expected);
      ++permutations;
    } while (std::next_permutation(order.begin(), order.end()));
  }
  CHECK(permutations == 64 * 720);
}

// Zones 0 and 1 may fail at once, zone 2 is healthy. Three relays send two reports each, the first without
// failures. Any report may be lost, and the others arrive in any order.
TEST_CASE("zone failover: verdicts on two zones at once are the same in every order and with every loss") {
  const auto report = [](int failing_zones, int relay) {  // bits 0 and 1: the zone fails
    zone_failover::Report all(3);
    for (int zone = 0; zone < 3; ++zone) {
      zone_failover::ZoneReport& r = all[static_cast<std::size_t>(zone)];
      const bool is_failing = zone < 2 && (failing_zones >> zone & 1) != 0;
      (is_failing ? r.failed : r.succeeded) = 3U << relay;
      (is_failing ? r.failure_age : r.success_age) = 0.1;
      r.observed = 15;
    }
    return all;
  };
  int failing[2] = {0, 0};
  for (int failing_zones = 0; failing_zones < 64; failing_zones += 9) {  // two bits per relay
    for (unsigned received_bits = 0; received_bits < 64; ++received_bits) {
      std::vector<int> order = {0, 1, 2, 3, 4, 5};
      std::optional<std::pair<bool, bool>> expected;
      do {
        zone_failover::ZoneConsensus consensus({}, 3);
        for (const int i : order)
          if ((received_bits >> i & 1U) != 0)
            consensus.AddReport(10, i / 2, 1, static_cast<std::uint64_t>(i % 2) + 1,
                                report(i % 2 == 0 ? 0 : failing_zones >> (i / 2 * 2) & 3, i / 2));
        const std::pair verdicts(consensus.IsFailing(10.1, 0, consensus.ViewOf(10.1, 0), {3}),
                                 consensus.IsFailing(10.1, 1, consensus.ViewOf(10.1, 1), {3}));
        if (!expected) expected = verdicts;
        REQUIRE(verdicts == *expected);
      } while (std::next_permutation(order.begin(), order.end()));
      failing[0] += expected->first;
      failing[1] += expected->second;
    }
  }
  CHECK(failing[0] > 0);  // with some sets of reports the zone fails
  CHECK(failing[1] > 0);
}

// Failure reports count for longer than the successes since the evacuation began. If the control's few
// successes were compared with all failure reports, an evacuation could stay undecided.
TEST_CASE("zone failover: the control is compared with failure reports since the evacuation began") {
  zone_failover::ZoneConsensus consensus({}, 2);
  const auto add = [&](Seconds received_at, int relay, std::uint64_t sequence, Seconds success_age) {
    zone_failover::ZoneReport zone, control;
    zone.failed = 1U << relay % 3;
    zone.observed = 7;
    zone.failure_age = 0.1;
    control.succeeded = 1;
    control.success_age = success_age;
    consensus.AddReport(received_at, relay, 1, sequence, {zone, control});
  };
  const Seconds since = 10.3, now = 10.7;
  for (int relay = 0; relay < 50; ++relay) add(10, relay, 1, 0.1);
  // No relay has reported since.
  CHECK(!consensus.IsFailing(now, 0, consensus.ViewOf(now, 0), {100, since}));
  for (int relay = 0; relay < 4; ++relay) add(10.6, relay, 2, 0.1);
  // Four success reporters are too few: a quarter of the quorum is five.
  CHECK(!consensus.IsFailing(now, 0, consensus.ViewOf(now, 0), {100, since}));
  for (int relay = 4; relay < 12; ++relay) add(10.6, relay, 2, 0.1);
  CHECK(consensus.ViewOf(now, 0).failure_reporters == 50);
  CHECK(consensus.IsFailing(now, 0, consensus.ViewOf(now, 0), {100, since}));
  // The served calls were sent before 10.55.
  CHECK(!consensus.IsFailing(now, 0, consensus.ViewOf(now, 0), {100, 10.55}));
}

}  // namespace
}  // namespace opalroute
