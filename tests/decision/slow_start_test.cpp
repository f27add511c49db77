// Slow start of up to a thousand relays on one simulated clock: the calls of all relays to a recovering
// destination.
#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

constexpr double kLimit = 10;        // calls per second, from all relays
constexpr Seconds kOutageEnd = 140;  // the outage lasts from the start of the test, at 100, until then
constexpr Seconds kTick = 0.01;

struct Outage {
  const char* name;
  int relays;
  Outcome outcome;                   // of every call during the outage
  ListedRateAccuracy rate_accuracy;  // kNone: no relay knows the limit
  bool is_steady;                    // false: each relay gets one more request at the recovery
};

class SlowStartTest : public ::testing::TestWithParam<Outage> {
 protected:
  static Settings FleetSettings(const Outage& outage) {
    Settings s = TestSettings();
    s.relay_count = outage.relays;
    s.listed_rate_accuracy = outage.rate_accuracy;
    s.may_hedge = false;
    s.classes[kIdempotentClass].deadline = 1000;
    return s;
  }

  void Start(const Settings& s, double listed_rate) {
    for (int i = 0; i < s.relay_count; ++i) {
      Settings own = s;
      own.seed = static_cast<std::uint64_t>(i) + 1;
      relays_.emplace_back(own);
      Handle(relays_.back(),
             ListUpdate{ListScope::kComplete,
                        {{1, ZoneId{0}, KindId{0}, 1, EndpointStatus::kInService, listed_rate}}});
    }
  }

  void Handle(TestRelay& relay, const Event& event) {
    std::vector<Action> actions;
    relay.router.Handle(now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) relay.OnSetTimer(*timer);
      if (const auto* send = std::get_if<Send>(&action)) {
        sent_.push_back(now_);
        senders_.push_back(&relay);
        const int attempt = relay.attempts[send->request_id]++;
        calls_in_flight_.insert({now_ + 0.05, {&relay, {send->request_id, attempt}}});
      }
    }
  }

  void Receive(TestRelay& relay, Seconds remaining_time = 1000) {
    Handle(relay, NewRequest{relay.next_request_id++, kIdempotentClass, {}, "", remaining_time, 1});
    Handle(relay, BatchEnd{});
  }

  void RunUntil(Seconds time, Outcome outcome) {
    for (; now_ < time; now_ += kTick) {
      while (!calls_in_flight_.empty() && calls_in_flight_.begin()->first <= now_) {
        const auto [relay, call] = calls_in_flight_.begin()->second;
        calls_in_flight_.erase(calls_in_flight_.begin());
        AttemptOutcome outcome_event;
        outcome_event.request_id = call.first;
        outcome_event.attempt = call.second;
        outcome_event.endpoint = 1;
        outcome_event.outcome = outcome;
        outcome_event.duration = 0.05;
        outcome_event.request_ended = outcome == Outcome::kServed;
        Handle(*relay, outcome_event);
        Handle(*relay, BatchEnd{});
        if (!outcome_event.request_ended) informed_.insert(relay);
        if (outcome_event.request_ended && refills_requests_) Receive(*relay);
      }
      for (TestRelay& relay : relays_) {
        const auto timer = relay.TakeDueTimer(now_);
        if (!timer) continue;
        Handle(relay, *timer);
        Handle(relay, BatchEnd{});
      }
    }
  }

  // Calls that the destination may be sent in an overload window: overload_factor times its capacity at the
  // end of the window.
  static double Budget(const Settings& s, Seconds since_recovery) {
    const double capacity_share = s.slow_start_initial_share +
                                  (1 - s.slow_start_initial_share) * since_recovery / s.slow_start_duration;
    return s.overload_factor * capacity_share * kLimit * s.overload_window;
  }

  Seconds now_ = 100;
  std::deque<TestRelay> relays_;
  std::multimap<Seconds, std::pair<TestRelay*, std::pair<RequestId, int>>> calls_in_flight_;
  std::vector<Seconds> sent_;
  std::vector<TestRelay*> senders_;  // of the calls in sent_
  std::set<TestRelay*> informed_;    // relays that saw a call fail or be rejected
  bool refills_requests_ = true;     // a relay gets a new request when one is served
};

// All relays have seen the outage, so all of their calls count against the budget.
TEST_P(SlowStartTest, AllRelaysTogetherStayWithinTheBudgetAfterAnOutage) {
  const Settings s = FleetSettings(GetParam());
  Start(s, s.listed_rate_accuracy == ListedRateAccuracy::kNone ? 0 : kLimit);
  for (TestRelay& relay : relays_)
    for (int i = 0; i < 3; ++i) Receive(relay);
  RunUntil(kOutageEnd, GetParam().outcome);
  const auto before = sent_.size();
  EXPECT_GE(before, relays_.size());  // each relay has seen the outage
  if (!GetParam().is_steady) {
    for (TestRelay& relay : relays_) Receive(relay);
  }
  RunUntil(kOutageEnd + s.slow_start_duration, Outcome::kServed);
  for (auto last = sent_.begin() + static_cast<std::ptrdiff_t>(before); last != sent_.end(); ++last) {
    const Seconds from = std::max(kOutageEnd, *last - s.overload_window);
    const auto first = std::lower_bound(sent_.begin(), sent_.end(), from);
    EXPECT_LE(static_cast<double>(last - first + 1), Budget(s, *last - kOutageEnd))
        << "at " << *last - kOutageEnd << " s after the recovery";
  }
}

// Requests arrive at the rate of the limit, each at a random relay, while the destination rejects or fails
// all calls. If a window exceeds the budget, relays that have seen the outage must have sent less than two
// thirds of its calls.
TEST_P(SlowStartTest, RelaysThatSeeAnOutageOneByOneStayWithinTheBudget) {
  Settings s = FleetSettings(GetParam());
  s.classes[kIdempotentClass].deadline = 15;
  refills_requests_ = false;
  Start(s, s.listed_rate_accuracy == ListedRateAccuracy::kNone ? 0 : kLimit);
  std::mt19937_64 random(5);
  std::size_t before = 0;
  std::set<TestRelay*> informed_before;  // relays that saw the outage before the recovery
  const Seconds outage_end = 120;
  while (now_ < outage_end + s.slow_start_duration) {
    TestRelay& relay = relays_[random() % relays_.size()];
    Receive(relay, 15);
    RunUntil(now_ + 1 / kLimit, now_ < outage_end ? GetParam().outcome : Outcome::kServed);
    if (now_ >= outage_end) continue;
    before = sent_.size();
    informed_before = informed_;
  }
  for (std::size_t last = before; last < sent_.size(); ++last) {
    const Seconds from = std::max(outage_end, sent_[last] - s.overload_window);
    double all = 0;
    double informed = 0;
    for (std::size_t i = last + 1; i-- > before && sent_[i] >= from;) {
      all += 1;
      informed += informed_before.count(senders_[i]) > 0 ? 1 : 0;
    }
    const bool over = all > Budget(s, sent_[last] - outage_end);
    EXPECT_FALSE(over && informed >= 2 * all / 3)
        << informed << " of " << all << " at " << sent_[last] - outage_end << " s after the recovery";
  }
}

INSTANTIATE_TEST_SUITE_P(
    Outages, SlowStartTest,
    ::testing::Values(
        Outage{"OneRelayErrors", 1, Outcome::kError, ListedRateAccuracy::kExact, true},
        Outage{"OneRelayRejected", 1, Outcome::kRejected, ListedRateAccuracy::kExact, true},
        Outage{"SixtyRelaysErrors", 60, Outcome::kError, ListedRateAccuracy::kExact, true},
        Outage{"SixtyRelaysRejected", 60, Outcome::kRejected, ListedRateAccuracy::kExact, true},
        Outage{"AThousandRelaysErrors", 1000, Outcome::kError, ListedRateAccuracy::kExact, true},
        Outage{"AThousandRelaysNotConnected", 1000, Outcome::kConnectFailed, ListedRateAccuracy::kExact,
               true},
        Outage{"AThousandRelaysRejected", 1000, Outcome::kRejected, ListedRateAccuracy::kExact, true},
        Outage{"AThousandRelaysKnowNoLimit", 1000, Outcome::kError, ListedRateAccuracy::kNone, true},
        Outage{"AThousandRelaysAndABurst", 1000, Outcome::kConnectFailed, ListedRateAccuracy::kExact, false}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace opalroute::decision
