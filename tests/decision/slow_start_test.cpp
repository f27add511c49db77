// Rule 4 with many couriers on one fake clock: what all of them send to a destination that comes back.
#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

constexpr double kLimit = 10;      // calls a second that the destination takes from all
constexpr Seconds kReturns = 140;  // the outage lasts from the start, at 100, until then
constexpr Seconds kTick = 0.01;

struct Outage {
  const char* name;
  int couriers;
  Outcome outcome;            // of every call while it lasts
  ListedRateAccuracy rating;  // kNone: the limit is not known to anyone
  bool calm;                  // no clump: else each courier gets one more message as the destination returns
};

class FleetTest : public ::testing::TestWithParam<Outage> {
 protected:
  static Settings FleetSettings(const Outage& o) {
    Settings s = TestSettings();
    s.relay_count = o.couriers;
    s.listed_rate_accuracy = o.rating;
    s.may_hedge = false;
    s.classes[kSafeClass].deadline = 1000;
    return s;
  }

  void Start(const Settings& s, double rating) {
    for (int i = 0; i < s.relay_count; ++i) {
      Settings own = s;
      own.seed = static_cast<std::uint64_t>(i) + 1;
      fleet_.emplace_back(own);
      Play(fleet_.back(),
           ListUpdate{ListScope::kComplete, {{1, 0, 0, 1, EndpointStatus::kInService, rating}}});
    }
  }

  void Play(Member& m, const Event& event) {
    std::vector<Action> actions;
    m.courier.Handle(now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* wake = std::get_if<SetTimer>(&action)) m.Heed(*wake);
      if (const auto* send = std::get_if<Send>(&action)) {
        sent_.push_back(now_);
        by_.push_back(&m);
        const int attempt = m.attempts[send->request_id]++;
        answers_.insert({now_ + 0.05, {&m, {send->request_id, attempt}}});
      }
    }
  }

  void Take(Member& m, Seconds patience = 1000) {
    Play(m, NewRequest{m.next++, kSafeClass, {}, "", patience, 1});
    Play(m, BatchEnd{});
  }

  void RunTo(Seconds time, Outcome outcome) {
    for (; now_ < time; now_ += kTick) {
      while (!answers_.empty() && answers_.begin()->first <= now_) {
        const auto [member, call] = answers_.begin()->second;
        answers_.erase(answers_.begin());
        AttemptOutcome r;
        r.request_id = call.first;
        r.attempt = call.second;
        r.endpoint = 1;
        r.outcome = outcome;
        r.duration = 0.05;
        r.request_ended = outcome == Outcome::kServed;
        Play(*member, r);
        Play(*member, BatchEnd{});
        if (!r.request_ended) informed_.insert(member);
        if (r.request_ended && more_) Take(*member);
      }
      for (Member& m : fleet_) {
        const auto wake = m.Due(now_);
        if (!wake) continue;
        Play(m, *wake);
        Play(m, BatchEnd{});
      }
    }
  }

  // A destination that warms evenly may be sent so many calls in any span of overload_for: overload_factor
  // times what it can do at the end of that span.
  static double Budget(const Settings& s, Seconds since_return) {
    const double warm =
        s.slow_start_initial_share + (1 - s.slow_start_initial_share) * since_return / s.slow_start_duration;
    return s.overload_factor * warm * kLimit * s.overload_window;
  }

  Seconds now_ = 100;
  std::deque<Member> fleet_;
  std::multimap<Seconds, std::pair<Member*, std::pair<RequestId, int>>> answers_;
  std::vector<Seconds> sent_;
  std::vector<Member*> by_;     // who sent it
  std::set<Member*> informed_;  // saw a call fail or be refused
  bool more_ = true;            // a served message is followed by the next
};

// Two thirds of more than the budget are a break if they come from couriers that saw the outage, as all here
// did.
TEST_P(FleetTest, AllTogetherStayUnderTheBudgetAtAReturn) {
  const Settings s = FleetSettings(GetParam());
  Start(s, s.listed_rate_accuracy == ListedRateAccuracy::kNone ? 0 : kLimit);
  for (Member& m : fleet_)
    for (int i = 0; i < 3; ++i) Take(m);
  RunTo(kReturns, GetParam().outcome);
  const auto before = sent_.size();
  EXPECT_GE(before, fleet_.size());  // each of them has seen it
  if (!GetParam().calm) {
    for (Member& m : fleet_) Take(m);
  }
  RunTo(kReturns + s.slow_start_duration, Outcome::kServed);
  for (auto last = sent_.begin() + static_cast<std::ptrdiff_t>(before); last != sent_.end(); ++last) {
    const Seconds from = std::max(kReturns, *last - s.overload_window);
    const auto first = std::lower_bound(sent_.begin(), sent_.end(), from);
    EXPECT_LE(static_cast<double>(last - first + 1), Budget(s, *last - kReturns))
        << "at " << *last - kReturns << " s after the return";
  }
}

// Messages come at the limit, each to some courier, while the destination refuses or fails all. The couriers
// that have met the outage must not make up two thirds of more than the budget.
TEST_P(FleetTest, CouriersThatMeetAnOutageOneByOneDoNotPushItOver) {
  Settings s = FleetSettings(GetParam());
  s.classes[kSafeClass].deadline = 15;
  more_ = false;
  Start(s, s.listed_rate_accuracy == ListedRateAccuracy::kNone ? 0 : kLimit);
  std::mt19937_64 draw(5);
  std::size_t before = 0;
  std::set<Member*> known;  // saw the outage before the return
  const Seconds returns = 120;
  while (now_ < returns + s.slow_start_duration) {
    Member& m = fleet_[draw() % fleet_.size()];
    Take(m, 15);
    RunTo(now_ + 1 / kLimit, now_ < returns ? GetParam().outcome : Outcome::kServed);
    if (now_ >= returns) continue;
    before = sent_.size();
    known = informed_;
  }
  for (std::size_t last = before; last < sent_.size(); ++last) {
    const Seconds from = std::max(returns, sent_[last] - s.overload_window);
    double all = 0;
    double informed = 0;
    for (std::size_t i = last + 1; i-- > before && sent_[i] >= from;) {
      all += 1;
      informed += known.count(by_[i]) > 0 ? 1 : 0;
    }
    const bool over = all > Budget(s, sent_[last] - returns);
    EXPECT_FALSE(over && informed >= 2 * all / 3)
        << informed << " of " << all << " at " << sent_[last] - returns << " s after the return";
  }
}

INSTANTIATE_TEST_SUITE_P(
    Outages, FleetTest,
    ::testing::Values(
        Outage{"OneCourierErrors", 1, Outcome::kError, ListedRateAccuracy::kExact, true},
        Outage{"OneCourierRefused", 1, Outcome::kRejected, ListedRateAccuracy::kExact, true},
        Outage{"SixtyCouriersErrors", 60, Outcome::kError, ListedRateAccuracy::kExact, true},
        Outage{"SixtyCouriersRefused", 60, Outcome::kRejected, ListedRateAccuracy::kExact, true},
        Outage{"AThousandCouriersErrors", 1000, Outcome::kError, ListedRateAccuracy::kExact, true},
        Outage{"AThousandCouriersUnconnected", 1000, Outcome::kConnectFailed, ListedRateAccuracy::kExact,
               true},
        Outage{"AThousandCouriersRefused", 1000, Outcome::kRejected, ListedRateAccuracy::kExact, true},
        Outage{"AThousandCouriersKnowNoLimit", 1000, Outcome::kError, ListedRateAccuracy::kNone, true},
        Outage{"AThousandCouriersAndAClump", 1000, Outcome::kConnectFailed, ListedRateAccuracy::kExact,
               false}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace opalroute
