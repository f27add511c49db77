// A long run of legal events, drawn from fixed seeds, with a checker of the rules of its own.
#include <algorithm>
#include <map>
#include <random>

#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class LegalRunTest : public CourierTest, public ::testing::WithParamInterface<int> {
 protected:
  struct Try {
    EndpointId endpoint;
    Seconds sent;
    bool out;
    bool may_have_run;
    Seconds until;
  };
  struct Held {
    int message_class;
    std::string key;
    DestinationId destination;
    Seconds deadline;
    std::vector<Try> tries;
    bool over = false;
  };

  static int ZoneOf(EndpointId id) { return static_cast<int>(id % 2); }
  static DestinationId DestinationOf(EndpointId id) { return id / 4; }

  void CheckSend(const Send& send) {
    Held& m = held_.at(send.request_id);
    ASSERT_FALSE(m.over) << "rule 1: sent after its end";
    ASSERT_EQ(DestinationOf(send.endpoint), m.destination);
    ASSERT_EQ(drained_.count(send.endpoint), 0U) << "rule 3";
    ASSERT_GE(now_ + 1e-9, waits_[m.destination]) << "rule 5";
    for (const Try& t : m.tries) {
      if (!t.out && !t.may_have_run) continue;
      ASSERT_NE(m.message_class, kUnsafeClass) << "rule 2: an unsafe repeat";
      if (m.message_class == kKeyedClass) {
        ASSERT_EQ(ZoneOf(t.endpoint), ZoneOf(send.endpoint)) << "rule 2: out of the group";
        ASSERT_LE(now_, t.sent + 8) << "rule 2: out of the window";
      }
    }
    if (m.message_class == kOrderedClass) {
      for (const RequestId id : lines_[m.key]) {
        if (id == send.request_id) break;
        const Held& earlier = held_.at(id);
        const bool out =
            std::any_of(earlier.tries.begin(), earlier.tries.end(), [](const Try& t) { return t.out; });
        ASSERT_TRUE(earlier.over && !out) << "rule 6: out of turn";
      }
      ASSERT_TRUE(!m.tries.empty() || now_ + 1e-9 >= rests_[m.key]) << "rule 6: no rest";
    }
    m.tries.push_back({send.endpoint, now_, true, false, send.timeout_at > 0 ? send.timeout_at : m.deadline});
  }

  void CheckEnd(RequestId id, bool refused) {
    Held& m = held_.at(id);
    ASSERT_FALSE(m.over) << "rule 1: answered twice";
    m.over = true;
    if (!refused || m.message_class == kSafeClass || m.message_class == kOrderedClass) return;
    for (const Try& t : m.tries)
      ASSERT_FALSE(t.out || t.may_have_run) << "rule 2: refused though it may have run";
  }

  void CheckActions() {
    for (; checked_ < actions_.size(); ++checked_) {
      const Action action = actions_[checked_];
      if (const auto* send = std::get_if<Send>(&action)) CheckSend(*send);
      if (const auto* refuse = std::get_if<Reject>(&action)) CheckEnd(refuse->request_id, true);
      if (const auto* fail = std::get_if<Fail>(&action)) CheckEnd(fail->request_id, false);
      if (HasFatalFailure()) return;
    }
    for (const auto& [id, m] : held_) {
      ASSERT_TRUE(m.over || now_ <= m.deadline + 0.02) << "rule 1: no answer in time";
    }
  }

  // Draws whether an attempt that is out comes to its outcome now.
  void MaybeFinish(RequestId id, std::mt19937_64& draw) {
    Held& m = held_.at(id);
    for (std::size_t i = 0; i < m.tries.size(); ++i) {
      Try& t = m.tries[i];
      if (!t.out) continue;
      const bool timed_out = now_ >= t.until - 1e-9;
      if (!timed_out && draw() % 20 != 0) continue;
      static const std::vector<Outcome> kOutcomes = {
          Outcome::kServed, Outcome::kServed,   Outcome::kServed, Outcome::kServed,
          Outcome::kError,  Outcome::kRejected, Outcome::kReset,  Outcome::kConnectFailed};
      AttemptOutcome r;
      r.request_id = id;
      r.attempt = static_cast<int>(i);
      r.endpoint = t.endpoint;
      r.duration = now_ - t.sent;
      r.outcome = timed_out ? Outcome::kTimeout : kOutcomes[draw() % kOutcomes.size()];
      if (r.outcome == Outcome::kRejected && draw() % 2 == 0) r.retry_after = 0.3;
      t.out = false;
      t.may_have_run = r.outcome != Outcome::kRejected && r.outcome != Outcome::kConnectFailed;
      if (m.message_class == kOrderedClass &&
          (r.outcome == Outcome::kTimeout || r.outcome == Outcome::kReset)) {
        rests_[m.key] = now_ + 1.5;
      }
      if (r.retry_after > 0) new_waits_.push_back({m.destination, now_ + r.retry_after});
      if (r.outcome == Outcome::kServed) m.over = true;
      r.request_ended = m.over;
      Play(r);
      return;
    }
  }

  std::map<RequestId, Held> held_;
  std::map<std::string, std::vector<RequestId>> lines_;
  std::map<std::string, Seconds> rests_;
  std::map<DestinationId, Seconds> waits_;
  std::vector<std::pair<DestinationId, Seconds>> new_waits_;
  std::map<EndpointId, Seconds> drained_;
  std::size_t checked_ = 0;
};

TEST_P(LegalRunTest, KeepsTheRulesAtEveryStep) {
  std::mt19937_64 draw(static_cast<std::uint64_t>(GetParam()));
  Settings s = TestSettings();
  s.may_hedge = GetParam() % 2 == 0;
  Start(s);
  std::vector<ListedEndpoint> entries;
  for (EndpointId id = 4; id < 16; ++id) entries.push_back(Entry(id, DestinationOf(id), ZoneOf(id)));
  List(entries);
  RequestId next = 1;
  std::size_t answered = 0;
  for (int step = 0; step < 4000; ++step) {
    now_ += 0.01;
    for (const SetTimer& wake : All<SetTimer>()) {
      if (wake.due <= now_ && wake.due > now_ - 0.01) Play(TimerFired{wake.timer_id});
    }
    if (step < 3000 && draw() % 4 == 0) {
      const int message_class = static_cast<int>(draw() % 4);
      const std::string key = message_class == kOrderedClass ? "k" + std::to_string(draw() % 3) : "";
      const Seconds patience = 1 + static_cast<double>(draw() % 80) / 10;
      held_[next] = {message_class, key, static_cast<DestinationId>(1 + draw() % 3), now_ + patience, {}};
      if (!key.empty()) lines_[key].push_back(next);
      Take(next, message_class, held_[next].destination, key, patience);
      ++next;
    }
    if (step == 1000) {
      List({Entry(5, 1, 1, 0, EndpointStatus::kDraining)}, ListScope::kChanges);
      drained_[5] = now_;
    }
    for (RequestId id = next > 400 ? next - 400 : 1; id < next; ++id) MaybeFinish(id, draw);
    EndTurn();
    CheckActions();
    if (HasFatalFailure()) return;
    for (const auto& [destination, until] : new_waits_)
      waits_[destination] = std::max(waits_[destination], until);
    new_waits_.clear();
    if (step % 500 == 499) {  // wakes long past need not be looked through again
      actions_.erase(std::remove_if(actions_.begin(), actions_.end(),
                                    [this](const Action& a) {
                                      const auto* wake = std::get_if<SetTimer>(&a);
                                      return wake == nullptr || wake->due < now_;
                                    }),
                     actions_.end());
      checked_ = actions_.size();
    }
  }
  for (const auto& [id, m] : held_) answered += m.over ? 1 : 0;
  EXPECT_GT(held_.size(), 600U);
  EXPECT_EQ(answered, held_.size());
}

INSTANTIATE_TEST_SUITE_P(Seeds, LegalRunTest, ::testing::Range(1, 7));

}  // namespace
}  // namespace opalroute
