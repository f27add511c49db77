// Fleets of up to 300 relays on one simulated clock: the load of all relays together on an endpoint that each
// relay calls only rarely.
#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

constexpr Seconds kTick = 0.01;
constexpr Seconds kCallDuration = 0.05;  // how long a call takes

class Fleet {
 public:
  struct Endpoint {
    std::size_t connections = 1000;  // most that may be open, including idle ones
    double limit = 1e6;              // calls per second, including rejected ones
    Seconds down_from = 0;           // start of the time in which it refuses connections
    Seconds down_to = 0;             // end of that time
    bool gossip_is_lost = false;     // no gossip datagram arrives
  };

  Fleet(const Settings& settings, std::vector<ListedEndpoint> list, Endpoint endpoint)
      : endpoint_(endpoint), list_(std::move(list)) {
    for (int i = 0; i < settings.relay_count; ++i) {
      Settings own = settings;
      own.seed = static_cast<std::uint64_t>(i) + 1;
      relays_.emplace_back(own);
      Handle(relays_.back(), ListUpdate{ListScope::kComplete, list_});
    }
  }

  // Runs until `end`. Idempotent requests arrive at `rate` per second, each at a random relay.
  void RunUntil(Seconds end, double rate) {
    std::exponential_distribution<double> gap(rate);
    std::uniform_int_distribution<std::size_t> any_relay(0, relays_.size() - 1);
    for (Seconds next = now_ + gap(random_); now_ < end; now_ += kTick) {
      for (; next <= now_; next += gap(random_)) {
        TestRelay& relay = relays_[any_relay(random_)];
        ++received;
        Handle(relay,
               NewRequest{relay.next_request_id++, kIdempotentClass, {}, "", 20, list_.front().destination});
        Handle(relay, BatchEnd{});
      }
      EndDueCalls();
      for (TestRelay& relay : relays_) {
        const auto timer = relay.TakeDueTimer(now_);
        if (!timer) continue;
        Handle(relay, *timer);
        Handle(relay, BatchEnd{});
      }
    }
  }

  std::size_t connections() const {  // mean per endpoint
    std::size_t all = 0;
    for (const auto& [id, count] : open_) all += count;
    return all / list_.size();
  }

  int received = 0;
  int served = 0;
  int calls = 0;
  int out_of_connections = 0;
  int handshakes = 0;
  int rejected = 0;
  int gossip_sent = 0;
  int health_checks = 0;
  std::vector<Seconds> calls_since_recovery;  // time from the end of the outage to each call after it

 private:
  struct Call {
    TestRelay* from;
    AttemptOutcome outcome;
    bool connected;
  };

  void Handle(TestRelay& relay, const Event& event) {
    std::vector<Action> actions;
    relay.router.Handle(now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        relay.OnSetTimer(*timer);
      } else if (const auto* send = std::get_if<Send>(&action)) {
        StartCall(relay, *send);
      } else if (const auto* close = std::get_if<CloseIdleConnections>(&action)) {
        open_[close->endpoint] -=
            static_cast<std::size_t>(std::exchange(relay.idle_connections[close->endpoint], 0));
      } else if (std::holds_alternative<HealthCheck>(action)) {
        ++health_checks;
      } else if (const auto* sent_gossip = std::get_if<SendGossip>(&action)) {
        ++gossip_sent;
        if (endpoint_.gossip_is_lost) continue;
        for (TestRelay& other : relays_)
          if (&other != &relay) gossip_in_flight_.insert({now_ + kTick, {&other, {0, sent_gossip->payload}}});
      }
    }
  }

  void StartCall(TestRelay& relay, const Send& send) {
    ++calls;
    AttemptOutcome outcome;
    outcome.request_id = send.request_id;
    outcome.attempt = relay.attempts[send.request_id]++;
    outcome.endpoint = send.endpoint;
    outcome.outcome = Outcome::kServed;
    outcome.duration = kCallDuration;
    bool connected = true;
    if (int& idle = relay.idle_connections[send.endpoint]; idle > 0) {
      --idle;
    } else if (open_[send.endpoint] < endpoint_.connections) {
      ++open_[send.endpoint];
      ++handshakes;
    } else {
      outcome.outcome = Outcome::kOutOfConnections;
      outcome.duration = kTick;
      connected = false;
      ++out_of_connections;
    }
    if (now_ >= endpoint_.down_from && now_ < endpoint_.down_to) {
      outcome.outcome = Outcome::kConnectFailed;
      outcome.duration = kTick;
      if (std::exchange(connected, false)) --open_[send.endpoint];
    } else if (now_ >= endpoint_.down_to) {
      calls_since_recovery.push_back(now_ - endpoint_.down_to);
    }
    // The limit applies to all calls of the last second, including rejected ones.
    std::deque<Seconds>& arrivals = arrivals_[send.endpoint];
    if (connected) arrivals.push_back(now_);
    while (!arrivals.empty() && arrivals.front() <= now_ - 1) arrivals.pop_front();
    if (connected && static_cast<double>(arrivals.size()) > endpoint_.limit) {
      outcome.outcome = Outcome::kRejected;
      ++rejected;
    }
    calls_in_flight_.insert({now_ + outcome.duration, {&relay, outcome, connected}});
  }

  void EndDueCalls() {
    while (!gossip_in_flight_.empty() && gossip_in_flight_.begin()->first <= now_) {
      const auto [to, gossip] = gossip_in_flight_.begin()->second;
      gossip_in_flight_.erase(gossip_in_flight_.begin());
      Handle(*to, gossip);
    }
    while (!calls_in_flight_.empty() && calls_in_flight_.begin()->first <= now_) {
      Call call = calls_in_flight_.begin()->second;
      calls_in_flight_.erase(calls_in_flight_.begin());
      if (call.connected) ++call.from->idle_connections[call.outcome.endpoint];
      if (call.outcome.outcome == Outcome::kServed) {
        ++served;
        call.outcome.request_ended = true;
      }
      Handle(*call.from, call.outcome);
      Handle(*call.from, BatchEnd{});
    }
  }

  Endpoint endpoint_;
  std::vector<ListedEndpoint> list_;
  std::mt19937_64 random_{5};
  Seconds now_ = 100;
  std::deque<TestRelay> relays_;
  std::map<EndpointId, std::size_t> open_;
  std::map<EndpointId, std::deque<Seconds>> arrivals_;
  std::multimap<Seconds, Call> calls_in_flight_;
  std::multimap<Seconds, std::pair<TestRelay*, GossipReceived>> gossip_in_flight_;
};

Settings FleetSettings(int relays) {
  Settings s = TestSettings();
  s.relay_count = relays;
  s.listed_rate_accuracy = ListedRateAccuracy::kRough;
  return s;
}

// If each of a hundred relays kept an idle connection, they would use up the endpoint's connections, and most
// calls would find none even below the rate limit.
TEST(FleetTest, IdleConnectionsOfALargeFleetDoNotExhaustAnEndpoint) {
  Fleet fleet(FleetSettings(100), {{1, ZoneId{0}, KindId{0}, 1, EndpointStatus::kInService, 60}}, {12});
  fleet.RunUntil(120, 40);
  EXPECT_LT(fleet.out_of_connections, fleet.calls / 20);
  EXPECT_GT(fleet.served, fleet.received * 9 / 10);
}

// With gossip, the first relay that finds no connection notifies the others. Connections to an endpoint that
// has enough of them stay open, as each new one costs a handshake.
TEST(FleetTest, RelaysNotifiedOfAConnectionShortageCloseIdleConnections) {
  Settings s = FleetSettings(100);
  s.may_gossip = true;
  Fleet scarce(s, {{1, ZoneId{0}, KindId{0}, 1, EndpointStatus::kInService, 60}}, {12});
  scarce.RunUntil(120, 40);
  EXPECT_LT(scarce.out_of_connections, scarce.calls / 20);
  EXPECT_GT(scarce.served, scarce.received * 9 / 10);
  Fleet ample(s, {{1, ZoneId{0}, KindId{0}, 1, EndpointStatus::kInService, 60}}, {200});
  ample.RunUntil(120, 40);
  EXPECT_LT(ample.handshakes, 150);
}

// The idle connections of three relays do no harm, and each new connection costs a handshake.
TEST(FleetTest, ASmallFleetKeepsIdleConnections) {
  Fleet fleet(FleetSettings(3), {{1, ZoneId{0}, KindId{0}, 1, EndpointStatus::kInService, 60}}, {30});
  fleet.RunUntil(120, 40);
  EXPECT_LT(fleet.handshakes, fleet.calls / 20);
}

// The same requests cause about the same load on endpoints, whether three relays send them or a hundred.
TEST(FleetTest, CostPerRequestDoesNotGrowWithTheFleet) {
  std::vector<ListedEndpoint> list;
  for (EndpointId id = 1; id <= 8; ++id)
    list.push_back({id, ZoneId{0}, KindId{0}, 1, EndpointStatus::kInService, 60});
  for (const int relays : {3, 30, 100}) {
    Settings s = FleetSettings(relays);
    s.may_gossip = true;
    Fleet fleet(s, list, {40, 60});
    fleet.RunUntil(130, 150);
    const double each = 1 / (30.0 * 8);
    const auto text = std::to_string(relays) + ": calls " + std::to_string(fleet.calls * each) +
                      ", handshakes " + std::to_string(fleet.handshakes * each) + ", rejected " +
                      std::to_string(fleet.rejected * each) + ", health checks " +
                      std::to_string(fleet.health_checks * each) + " a second and endpoint, connections " +
                      std::to_string(fleet.connections()) + ", datagrams " +
                      std::to_string(fleet.gossip_sent / 30.0) + " a second";
    RecordProperty("costs" + std::to_string(relays), text);
    EXPECT_GT(fleet.served, fleet.received * 95 / 100) << text;
    EXPECT_LT(fleet.calls, fleet.received * 2) << text;
    EXPECT_LE(fleet.connections(), 40U) << text;
    EXPECT_LT(fleet.health_checks, fleet.calls / 20) << text;
  }
}

// The endpoint list says 60 calls per second, but the limit is 40. Rejected calls count against the limit, so
// the fleet has to send less. Without gossip, each relay learns that only from a rejection of its own.
TEST(FleetTest, OneRejectionNotifiesAllRelaysOfALowerLimit) {
  Settings s = FleetSettings(100);
  const std::vector<ListedEndpoint> list = {{1, ZoneId{0}, KindId{0}, 1, EndpointStatus::kInService, 60}};
  Fleet without_gossip(s, list, {1000, 40});
  without_gossip.RunUntil(130, 60);
  s.may_gossip = true;
  Fleet with_gossip(s, list, {1000, 40});
  with_gossip.RunUntil(130, 60);
  EXPECT_LT(with_gossip.rejected, without_gossip.rejected * 2 / 3);
  EXPECT_GT(with_gossip.served, without_gossip.served);
  EXPECT_LE(with_gossip.gossip_sent, 30 * 2.5);  // about one in a fifth of the overload window
}

// The endpoint list says 60 calls per second, but the limit is 30. An even share of 60 among 300 relays is
// one call in 5 s. If no relay sent less than one call in the overload window, rejected calls would use up
// the limit.
TEST(FleetTest, ALargeFleetAdaptsToALimitBelowOneCallPerWindowAndRelay) {
  Settings s = FleetSettings(300);
  s.may_gossip = true;
  s.overload_window = 2;
  s.slow_start_duration = 13;
  Fleet fleet(s, {{1, ZoneId{0}, KindId{1}, 1, EndpointStatus::kInService, 60}}, {1000, 30});
  fleet.RunUntil(140, 60);
  EXPECT_GT(fleet.served, 40 * 30 / 4);
}

// Relays that cannot reach one another are rejected one by one, and each would notify all others. Together
// they send about one datagram per route in a fifth of the overload window.
TEST(FleetTest, PartitionedRelaysStayWithinTheGossipBudget) {
  Settings s = FleetSettings(300);
  s.may_gossip = true;
  std::vector<ListedEndpoint> list;
  for (EndpointId id = 1; id <= 4; ++id)
    list.push_back({id, ZoneId{0}, KindId{1}, 1, EndpointStatus::kInService, 60});
  Fleet partitioned(s, list, {1000, 30, 0, 0, true});
  partitioned.RunUntil(130, 300);
  const double spans = 30 / (0.2 * s.overload_window);
  EXPECT_GT(partitioned.rejected, 1000);
  // Each relay may send a burst of two.
  EXPECT_LE(partitioned.gossip_sent, 2 * 300 + static_cast<int>(spans * 4));
}

// Requests wait at a hundred relays for a destination that is down for 6 s. The relay that detects the
// recovery notifies the others, and all of them begin slow start together, within the overload budget.
TEST(FleetTest, RelaysNotifiedOfARecoveryStartSlowlyWithinTheBudget) {
  Settings s = FleetSettings(100);
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.may_hedge = false;
  const std::vector<ListedEndpoint> list = {{1, ZoneId{0}, KindId{0}, 1, EndpointStatus::kInService, 300}};
  const auto calls_after = [&](bool notified) {
    s.may_gossip = notified;
    Fleet fleet(s, list, {1000, 1e6, 110, 116});
    fleet.RunUntil(126, 200);
    return fleet.calls_since_recovery;
  };
  const std::vector<Seconds> without_gossip = calls_after(false), notified = calls_after(true);
  const auto first = [](const std::vector<Seconds>& calls, Seconds until) {
    return std::lower_bound(calls.begin(), calls.end(), until) - calls.begin();
  };
  EXPECT_GT(first(notified, 5), first(without_gossip, 5) * 5 / 4);
  for (auto last = notified.begin(); last != notified.end(); ++last) {
    const double capacity_share =
        s.slow_start_initial_share +
        (1 - s.slow_start_initial_share) * std::min(1.0, *last / s.slow_start_duration);
    const auto from = std::lower_bound(notified.begin(), last, *last - s.overload_window);
    EXPECT_LE(static_cast<double>(last - from + 1),
              s.overload_factor * capacity_share * 300 * s.overload_window)
        << "at " << *last << " s after the recovery";
  }
}

// Relays that start together with a cached endpoint list. Discovery answers one poll after another, each in
// `answer_time` seconds, and rejects polls that have waited for 2 s.
struct RestartedFleet {
  RestartedFleet(Settings s, Seconds poll_time, const std::vector<ListedEndpoint>& known)
      : answer_time(poll_time) {
    s.poll_endpoint_list = true;
    for (int i = 0; i < s.relay_count; ++i) {
      s.seed = static_cast<std::uint64_t>(i) + 1;
      relays.emplace_back(s);
      Handle(relays.back(), ListUpdate{ListScope::kCached, known});
    }
  }

  void Handle(TestRelay& relay, const Event& event) {
    std::vector<Action> actions;
    relay.router.Handle(now, event, actions);
    relay.router.Handle(now, BatchEnd{}, actions);
    for (const Action& action : actions) {
      if (std::holds_alternative<WatchEndpointList>(action)) polls.emplace_back(now, &relay);
      if (const auto* timer = std::get_if<SetTimer>(&action)) relay.OnSetTimer(*timer);
      if (const auto* send = std::get_if<Send>(&action)) sent.emplace_back(now, send->endpoint);
    }
  }

  // Runs until `end`. Requests arrive at `rate` per second, each at a random relay; discovery answers polls
  // with `changes`.
  void RunUntil(Seconds end, double rate, const std::vector<ListedEndpoint>& changes) {
    std::uniform_int_distribution<std::size_t> any_relay(0, relays.size() - 1);
    for (; now < end; now += kTick) {
      for (pending_requests += rate * kTick; pending_requests >= 1; pending_requests -= 1) {
        TestRelay& relay = relays[any_relay(random)];
        Handle(relay, NewRequest{relay.next_request_id++, kIdempotentClass, {}, "", 20, 1});
      }
      for (TestRelay& relay : relays)
        if (const auto timer = relay.TakeDueTimer(now)) Handle(relay, *timer);
      while (!polls.empty() && (polls.front().first + 2 <= now || discovery_free_at <= now)) {
        const auto [since, relay] = polls.front();
        polls.pop_front();
        if (since + 2 <= now) {
          Handle(*relay, ListUpdate{ListScope::kWatchFailed, {}});
        } else {
          discovery_free_at = now + answer_time;
          watching.insert(relay);
          Handle(*relay, ListUpdate{ListScope::kChanges, changes});
        }
      }
    }
  }

  Seconds answer_time, now = 100, discovery_free_at = 0;
  double pending_requests = 0;
  std::mt19937_64 random{5};
  std::deque<TestRelay> relays;
  std::deque<std::pair<Seconds, TestRelay*>> polls;
  std::set<TestRelay*> watching;
  std::vector<std::pair<Seconds, EndpointId>> sent;
};

// Discovery answers six polls per second. If all relays polled at the same times, most polls would be
// rejected, and discovery would be idle in between.
TEST(FleetTest, RelaysStartedTogetherPollTheListSpreadOut) {
  RestartedFleet fleet(FleetSettings(100), 0.16,
                       {{1, ZoneId{0}, KindId{0}, 1, EndpointStatus::kInService, 60}});
  fleet.RunUntil(120, 0, {});
  EXPECT_GE(fleet.watching.size(), 95U);
}

// An endpoint begins to drain when 300 relays go down for 2 s. All relays count as notified 6 s after that,
// and new calls have to stop 2 s later, whether a relay has polled or not. Polls spread over 15 s would come
// too late.
TEST(FleetTest, AfterARestartALargeFleetLearnsOfADrainInTime) {
  Settings s = FleetSettings(300);
  const ListedEndpoint stays{2, ZoneId{0}, KindId{0}, 1, EndpointStatus::kInService, 200};
  ListedEndpoint drains{1, ZoneId{0}, KindId{0}, 1, EndpointStatus::kInService, 200};
  RestartedFleet fleet(s, 0.01, {drains, stays});
  drains.status = EndpointStatus::kDraining;
  fleet.RunUntil(120, 150, {drains});
  const auto is_sent_late = [](const std::pair<Seconds, EndpointId>& send) {
    return send.second == 1 && send.first > 98 + 6 + 2;
  };
  EXPECT_EQ(std::count_if(fleet.sent.begin(), fleet.sent.end(), is_sent_late), 0);
  EXPECT_EQ(fleet.watching.size(), 300U);
}

}  // namespace
}  // namespace opalroute::decision
