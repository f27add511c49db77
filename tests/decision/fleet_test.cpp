// Many relays on one fake clock: the load of all of them together at an endpoint that each calls seldom.
#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

constexpr Seconds kTick = 0.01;
constexpr Seconds kCall = 0.05;  // duration of a call

class Fleet {
 public:
  struct Endpoint {
    std::size_t connections = 1000;  // limit, idle ones included
    double limit = 1e6;              // calls a second, rejected ones included
    Seconds down_from = 0;           // refuses connections from here
    Seconds down_to = 0;             // to here
    bool gossip_is_lost = false;     // no datagram arrives
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

  // Idempotent requests come at `rate` a second to all relays together, each to any of them, until `end`.
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
        const auto wake = relay.TakeDueTimer(now_);
        if (!wake) continue;
        Handle(relay, *wake);
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
  std::vector<Seconds> since_return;  // arrival times of calls after the outage

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
      if (const auto* wake = std::get_if<SetTimer>(&action)) {
        relay.OnSetTimer(*wake);
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
    outcome.duration = kCall;
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
      since_return.push_back(now_ - endpoint_.down_to);
    }
    // The calls of the last second, rejected ones included, are limited.
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
      if (call.connected) ++call.from->idle[call.outcome.endpoint];
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

// An idle connection of each of a hundred relays would use up an endpoint's connections, so that most calls
// find none, whatever the rate limit leaves.
TEST(FleetTest, IdleConnectionsOfALargeFleetDoNotExhaustAnEndpoint) {
  Fleet fleet(FleetSettings(100), {{1, 0, 0, 1, EndpointStatus::kInService, 60}}, {12});
  fleet.RunUntil(120, 40);
  EXPECT_LT(fleet.out_of_connections, fleet.calls / 20);
  EXPECT_GT(fleet.served, fleet.received * 9 / 10);
}

// With gossip, the first relay without a connection notifies the others. An endpoint with connections for all
// keeps them, as each new one costs a handshake.
TEST(FleetTest, NotifiedOfAConnectionShortageAllRelaysCloseIdleConnections) {
  Settings s = FleetSettings(100);
  s.may_gossip = true;
  Fleet full(s, {{1, 0, 0, 1, EndpointStatus::kInService, 60}}, {12});
  full.RunUntil(120, 40);
  EXPECT_LT(full.out_of_connections, full.calls / 20);
  EXPECT_GT(full.served, full.received * 9 / 10);
  Fleet large(s, {{1, 0, 0, 1, EndpointStatus::kInService, 60}}, {200});
  large.RunUntil(120, 40);
  EXPECT_LT(large.handshakes, 150);
}

// The connections of three relays are no burden, and each new one costs a handshake.
TEST(FleetTest, ASmallFleetKeepsIdleConnections) {
  Fleet fleet(FleetSettings(3), {{1, 0, 0, 1, EndpointStatus::kInService, 60}}, {30});
  fleet.RunUntil(120, 40);
  EXPECT_LT(fleet.handshakes, fleet.calls / 20);
}

// The same requests cost endpoints about the same, whether three relays send them or a hundred.
TEST(FleetTest, CostPerRequestDoesNotGrowWithTheFleet) {
  std::vector<ListedEndpoint> list;
  for (EndpointId id = 1; id <= 8; ++id) list.push_back({id, 0, 0, 1, EndpointStatus::kInService, 60});
  for (const int relays : {3, 30, 100}) {
    Settings s = FleetSettings(relays);
    s.may_gossip = true;
    Fleet fleet(s, list, {40, 60});
    fleet.RunUntil(130, 150);
    const double each = 1 / (30.0 * 8);
    const auto text = std::to_string(relays) + ": calls " + std::to_string(fleet.calls * each) +
                      ", handshakes " + std::to_string(fleet.handshakes * each) + ", refused " +
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

// A limit of 40 calls a second that is listed as 60. Rejected calls use it up, so the fleet has to send less,
// which takes a rejection for each relay unless the first one notifies the others.
TEST(FleetTest, OneRejectionNotifiesAllRelaysOfALowerLimit) {
  Settings s = FleetSettings(100);
  const std::vector<ListedEndpoint> list = {{1, 0, 0, 1, EndpointStatus::kInService, 60}};
  Fleet silent(s, list, {1000, 40});
  silent.RunUntil(130, 60);
  s.may_gossip = true;
  Fleet gossiping(s, list, {1000, 40});
  gossiping.RunUntil(130, 60);
  EXPECT_LT(gossiping.rejected, silent.rejected * 2 / 3);
  EXPECT_GT(gossiping.served, silent.served);
  EXPECT_LE(gossiping.gossip_sent, 30 * 2.5);  // at most one in a fifth of the overload window
}

// A route that is listed with 60 calls a second takes 30. An even share of 60 among 300 relays is a call in
// 5 s. If relays never sent less than a call in the overload window, rejected calls would use the limit up.
TEST(FleetTest, ALargeFleetFindsALimitBelowOneCallPerWindowAndRelay) {
  Settings s = FleetSettings(300);
  s.may_gossip = true;
  s.overload_window = 2;
  s.slow_start_duration = 13;
  Fleet fleet(s, {{1, 0, 1, 1, EndpointStatus::kInService, 60}}, {1000, 30});
  fleet.RunUntil(140, 60);
  EXPECT_GT(fleet.served, 40 * 30 / 4);
}

// Relays that are cut off from one another are rejected one by one, and each would notify all. Together they
// keep to about one datagram in a fifth of the overload window and route.
TEST(FleetTest, PartitionedRelaysKeepToTheGossipBudget) {
  Settings s = FleetSettings(300);
  s.may_gossip = true;
  std::vector<ListedEndpoint> list;
  for (EndpointId id = 1; id <= 4; ++id) list.push_back({id, 0, 1, 1, EndpointStatus::kInService, 60});
  Fleet cut_off(s, list, {1000, 30, 0, 0, true});
  cut_off.RunUntil(130, 300);
  const double spans = 30 / (0.2 * s.overload_window);
  EXPECT_GT(cut_off.rejected, 1000);
  EXPECT_LE(cut_off.gossip_sent,
            2 * 300 + static_cast<int>(spans * 4));  // two of each relay may have been saved
}

// Requests wait at a hundred relays for a destination that is out for 6 s. The relay that finds its recovery
// notifies the others, and all start slowly together, within the overload budget.
TEST(FleetTest, NotifiedOfARecoveryAllRelaysStartSlowlyWithinTheBudget) {
  Settings s = FleetSettings(100);
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.may_hedge = false;
  const std::vector<ListedEndpoint> list = {{1, 0, 0, 1, EndpointStatus::kInService, 300}};
  const auto calls_after = [&](bool notified) {
    s.may_gossip = notified;
    Fleet fleet(s, list, {1000, 1e6, 110, 116});
    fleet.RunUntil(126, 200);
    return fleet.since_return;
  };
  const std::vector<Seconds> silent = calls_after(false), notified = calls_after(true);
  const auto first = [](const std::vector<Seconds>& calls, Seconds until) {
    return std::lower_bound(calls.begin(), calls.end(), until) - calls.begin();
  };
  EXPECT_GT(first(notified, 5), first(silent, 5) * 5 / 4);
  for (auto last = notified.begin(); last != notified.end(); ++last) {
    const double warm = s.slow_start_initial_share +
                        (1 - s.slow_start_initial_share) * std::min(1.0, *last / s.slow_start_duration);
    const auto from = std::lower_bound(notified.begin(), last, *last - s.overload_window);
    EXPECT_LE(static_cast<double>(last - from + 1), s.overload_factor * warm * 300 * s.overload_window)
        << "at " << *last << " s after the return";
  }
}

// Relays that start together with a cached list. Discovery answers one poll after another, each in `answer`
// seconds, and refuses those that have waited for 2 s.
struct FleetRestart {
  FleetRestart(Settings s, Seconds answer, const std::vector<ListedEndpoint>& known) : answer_time(answer) {
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
      if (const auto* wake = std::get_if<SetTimer>(&action)) relay.OnSetTimer(*wake);
      if (const auto* send = std::get_if<Send>(&action)) sent.emplace_back(now, send->endpoint);
    }
  }

  // Each request goes to any relay; `changes` is what discovery answers.
  void RunUntil(Seconds end, double rate, const std::vector<ListedEndpoint>& changes) {
    std::uniform_int_distribution<std::size_t> any_relay(0, relays.size() - 1);
    for (; now < end; now += kTick) {
      for (due_requests += rate * kTick; due_requests >= 1; due_requests -= 1) {
        TestRelay& relay = relays[any_relay(random)];
        Handle(relay, NewRequest{relay.next_request_id++, kIdempotentClass, {}, "", 20, 1});
      }
      for (TestRelay& relay : relays)
        if (const auto wake = relay.TakeDueTimer(now)) Handle(relay, *wake);
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
  double due_requests = 0;
  std::mt19937_64 random{5};
  std::deque<TestRelay> relays;
  std::deque<std::pair<Seconds, TestRelay*>> polls;
  std::set<TestRelay*> watching;
  std::vector<std::pair<Seconds, EndpointId>> sent;
};

// Discovery answers six polls a second. Polled by all at once, again and again, it would be idle in between.
TEST(FleetTest, RelaysStartedTogetherPollTheListSpreadOut) {
  FleetRestart fleet(FleetSettings(100), 0.16, {{1, 0, 0, 1, EndpointStatus::kInService, 60}});
  fleet.RunUntil(120, 0, {});
  EXPECT_GE(fleet.watching.size(), 95U);
}

// An endpoint begins to drain as 300 relays go down for 2 s. All relays count as notified 6 s later, and new
// calls have to stop 2 s after that, whether a relay has polled or not: polls spread over 15 s would be late.
TEST(FleetTest, AfterARestartALargeFleetLearnsOfADrainInTime) {
  Settings s = FleetSettings(300);
  const ListedEndpoint stays{2, 0, 0, 1, EndpointStatus::kInService, 200};
  ListedEndpoint drains{1, 0, 0, 1, EndpointStatus::kInService, 200};
  FleetRestart fleet(s, 0.01, {drains, stays});
  drains.status = EndpointStatus::kDraining;
  fleet.RunUntil(120, 150, {drains});
  const auto is_late = [](const std::pair<Seconds, EndpointId>& send) {
    return send.second == 1 && send.first > 98 + 6 + 2;
  };
  EXPECT_EQ(std::count_if(fleet.sent.begin(), fleet.sent.end(), is_late), 0);
  EXPECT_EQ(fleet.watching.size(), 300U);
}

}  // namespace
}  // namespace opalroute::decision
