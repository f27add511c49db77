// The lease on the endpoint list: renewals are on time and keep their spacing, whatever fails.
#include "decision/endpoint_list_lease.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

constexpr Seconds kStep = 0.005;  // of the test's clock
constexpr int kSeeds = 200;
constexpr Seconds kLongestSpacing = 2.5;  // between two renewals, for any fleet size: 2 s plus jitter

Settings ListSettings(int relays, std::uint64_t seed) {
  Settings s = TestSettings();
  s.relay_count = relays;
  s.poll_endpoint_list = true;
  s.list_heartbeat = 2;
  s.seed = seed;
  return s;
}

// Returns the times of the renewals that the lease asks for between `from` and `to`. Each fails `fails_after`
// seconds later; negative: it never gets a response.
std::vector<Seconds> RenewalsOf(EndpointListLease& lease, Seconds from, Seconds to,
                                Seconds fails_after = -1) {
  std::vector<Seconds> renewals;
  Seconds fails_at = kNever;
  for (Seconds now = from; now < to; now += kStep) {
    if (now >= fails_at) {
      fails_at = kNever;
      lease.OnListUpdate(ListScope::kWatchFailed, now);
    }
    if (!lease.TakeDueRenewal(now)) continue;
    renewals.push_back(now);
    if (fails_after >= 0) fails_at = now + fails_after;
  }
  return renewals;
}

long CountWithin(const std::vector<Seconds>& renewals, Seconds until) {
  return std::count_if(renewals.begin(), renewals.end(), [until](Seconds at) { return at < until; });
}

class EndpointListLeaseTest : public testing::TestWithParam<int> {};  // by the number of relays

TEST_P(EndpointListLeaseTest, AfterAMoveRenewalsKeepTheirSpacingWhateverTheOutcome) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    for (const Seconds fails_after : {-1.0, 0.0, 0.5, 1.0, 3.0}) {
      const Settings s = ListSettings(GetParam(), static_cast<std::uint64_t>(seed));
      EndpointListLease lease(s);
      lease.OnListUpdate(ListScope::kCached, 100);
      RenewalsOf(lease, 100, 130, 0.5);  // a long outage of discovery, followed by four moves
      for (const Seconds at : {130.0, 130.3, 130.7}) {
        lease.OnDiscoveryMoved(at);
        EXPECT_TRUE(lease.TakeDueRenewal(at));
      }
      lease.OnDiscoveryMoved(131.6);
      const std::vector<Seconds> renewals = RenewalsOf(lease, 131.6, 141.6, fails_after);
      ASSERT_FALSE(renewals.empty());
      EXPECT_NEAR(renewals.front(), 131.6, kStep);
      EXPECT_GE(CountWithin(renewals, 131.6 + s.list_notification_time_after_move), GetParam() <= 20 ? 4 : 2);
      for (std::size_t i = 1; i < renewals.size(); ++i)
        EXPECT_LE(renewals[i] - renewals[i - 1], kLongestSpacing + kStep) << "seed " << seed;
    }
  }
}

TEST_P(EndpointListLeaseTest, ASilentWatchIsRenewedBeforeAChangeTakesEffect) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const Settings s = ListSettings(GetParam(), static_cast<std::uint64_t>(seed));
    EndpointListLease lease(s);
    lease.OnListUpdate(ListScope::kComplete, 100);
    const std::vector<Seconds> renewals =
        RenewalsOf(lease, 100, 100 + s.list_notification_time + s.drain_grace);
    EXPECT_GE(CountWithin(renewals, 100 + s.list_notification_time), GetParam() <= 20 ? 2 : 1);
    EXPECT_GE(renewals.size(), 2U);
    EXPECT_GT(renewals.front(), 100 + s.list_heartbeat);
  }
}

TEST_P(EndpointListLeaseTest, AFailureDoesNotShiftTheNextRenewal) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 draw(static_cast<unsigned>(seed));
    std::uniform_real_distribution<double> after(0, 4);
    const Settings s = ListSettings(GetParam(), static_cast<std::uint64_t>(seed));
    EndpointListLease lease(s);
    lease.OnListUpdate(ListScope::kCached, 100);
    std::vector<Seconds> renewals;
    for (Seconds now = 100, fails_at = 100; now < 160; now += kStep) {
      if (now >= fails_at) {
        lease.OnListUpdate(ListScope::kWatchFailed, now);
        fails_at = now + after(draw);
      }
      if (lease.TakeDueRenewal(now)) renewals.push_back(now);
    }
    ASSERT_GE(renewals.size(), 60 / kLongestSpacing - 1);
    EXPECT_LE(renewals.size(), 60 / (s.list_notification_time_after_move / 4) + 1);
    for (std::size_t i = 1; i < renewals.size(); ++i)
      EXPECT_LE(renewals[i] - renewals[i - 1], kLongestSpacing + kStep);
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, EndpointListLeaseTest, testing::Values(1, 6, 20, 40, 300, 900));

TEST(EndpointListLeaseTest, AConfirmedWatchIsNotRenewed) {
  EndpointListLease lease(ListSettings(6, 1));
  lease.OnListUpdate(ListScope::kComplete, 100);
  for (Seconds now = 102; now < 200; now += 2) {
    EXPECT_FALSE(lease.TakeDueRenewal(now));
    lease.Confirm(now);
  }
}

// A discovery service that closes each watch right after sending the list must not be called in a tight loop.
TEST(EndpointListLeaseTest, WatchesThatEndImmediatelyAreRenewedWithSpacing) {
  EndpointListLease lease(ListSettings(6, 1));
  lease.OnListUpdate(ListScope::kCached, 100);
  int renewals = 0;
  for (Seconds now = 100; now < 160; now += kStep) {
    if (!lease.TakeDueRenewal(now)) continue;
    ++renewals;
    lease.OnListUpdate(ListScope::kComplete, now);
    lease.OnListUpdate(ListScope::kWatchFailed, now);
  }
  EXPECT_GE(renewals, 40);
  EXPECT_LE(renewals, 61);
}

TEST(EndpointListLeaseTest, WithoutAHeartbeatAWatchIsRenewedOnlyAfterItsEnd) {
  Settings s = ListSettings(6, 1);
  s.list_heartbeat = 0;
  EndpointListLease lease(s);
  lease.OnListUpdate(ListScope::kChanges, 100);
  EXPECT_EQ(lease.next_renewal(), kNever);
  lease.OnListUpdate(ListScope::kWatchFailed, 200);
  EXPECT_LE(lease.next_renewal(), 201.3);
}

TEST(EndpointListLeaseTest, PushedChangesNeedNoWatchUnlessItHasAHeartbeat) {
  Settings s = ListSettings(300, 1);
  s.poll_endpoint_list = false;
  EndpointListLease watched(s);
  watched.OnListUpdate(ListScope::kCached, 100);
  EXPECT_EQ(watched.next_renewal(), 100);  // published changes take effect immediately
  s.list_heartbeat = 0;
  EndpointListLease pushed(s);
  pushed.OnListUpdate(ListScope::kCached, 100);
  EXPECT_EQ(pushed.next_renewal(), kNever);
}

TEST(EndpointListLeaseTest, AShorterPollIntervalMeansMoreRenewals) {
  Settings s = ListSettings(6, 1);
  s.max_poll_interval = 2;
  EndpointListLease lease(s);
  lease.OnListUpdate(ListScope::kCached, 100);
  const std::vector<Seconds> renewals = RenewalsOf(lease, 100, 110);
  EXPECT_GE(CountWithin(renewals, 102), 4);
  EXPECT_LE(renewals.size(), 21U);
  EXPECT_EQ(lease.TakeExpiryChange(102.1), true);
}

TEST(EndpointListLeaseTest, ReportsEachChangeOfExpiryOnce) {
  EndpointListLease lease(ListSettings(6, 1));
  lease.OnListUpdate(ListScope::kComplete, 100);
  EXPECT_EQ(lease.TakeExpiryChange(105.9), std::nullopt);
  EXPECT_EQ(lease.TakeExpiryChange(106.1), true);
  EXPECT_EQ(lease.TakeExpiryChange(107), std::nullopt);
  lease.Confirm(108);
  EXPECT_EQ(lease.TakeExpiryChange(108), false);
  lease.OnDiscoveryMoved(109);
  EXPECT_EQ(lease.TakeExpiryChange(112.9), std::nullopt);
  EXPECT_EQ(lease.TakeExpiryChange(113.1), true);
}

}  // namespace
}  // namespace opalroute::decision
