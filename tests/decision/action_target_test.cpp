// Guards against actions with stale targets: a request that has ended, an attempt that has its outcome, or an
// endpoint that was removed from the list. Randomized runs with batched calls, few slots and lost calls.
#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>

#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

constexpr int kBatchKind = 2;  // index into TestSettings().kinds: calls of up to five requests

class ActionTargetTest : public RouterTest, public ::testing::WithParamInterface<int> {
 protected:
  struct AttemptRecord {
    EndpointId endpoint = 0;
    bool in_flight = true;
    bool cancelled = false;
    bool lost = false;  // the endpoint rarely responds
  };
  struct RequestRecord {
    Seconds deadline = 0;
    bool ended = false;
    bool ended_before_event = false;
    std::vector<AttemptRecord> attempts;
  };

  void StartWithSeed(int seed) {
    random_.seed(static_cast<std::uint64_t>(seed));
    Settings settings = TestSettings();
    settings.concurrency_limit = 3;
    settings.max_attempts = 4;
    Start(settings);
    for (EndpointId id = 1; id <= kEndpoints; ++id) listed_.insert(id);
    UpdateList(EntriesOf(listed_));
  }

  std::vector<ListedEndpoint> EntriesOf(const std::set<EndpointId>& ids) const {
    std::vector<ListedEndpoint> entries;
    for (const EndpointId id : ids) {
      entries.push_back(
          MakeEndpoint(id, static_cast<DestinationId>(1 + id % 2), static_cast<int>(id / 2 % 2), kBatchKind));
    }
    return entries;
  }

  // Passes the event to the router and checks the resulting actions.
  void HandleAndCheck(const Event& event) {
    for (auto& [id, request] : requests_) request.ended_before_event = request.ended;
    actions_.clear();
    Handle(event);
    for (const Action& action : actions_) std::visit([this](const auto& typed) { Check(typed); }, action);
  }

  template <typename T>
  void Check(const T&) {}  // refers to neither a request nor an endpoint
  void Check(const SetTimer& timer) { timers_.push_back(timer); }
  void Check(const Send& send) {
    RequestRecord& request = requests_.at(send.request_id);
    EXPECT_FALSE(request.ended) << "sent request " << send.request_id << ", which has ended";
    EXPECT_EQ(listed_.count(send.endpoint), 1U)
        << "sent to endpoint " << send.endpoint << ", which is not listed";
    AttemptRecord attempt;
    attempt.endpoint = send.endpoint;
    attempt.lost = lost_calls_.try_emplace({send.endpoint, now_}, random_() % 2 == 0).first->second;
    request.attempts.push_back(attempt);
  }
  void Check(const Reject& reject) { CheckEnd(reject.request_id); }
  void Check(const Fail& fail) { CheckEnd(fail.request_id); }
  void CheckEnd(RequestId id) {
    EXPECT_FALSE(requests_.at(id).ended) << "request " << id << " was ended twice";
    requests_.at(id).ended = true;
  }
  void Check(const CancelAttempt& cancel) {
    RequestRecord& request = requests_.at(cancel.request_id);
    EXPECT_FALSE(request.ended_before_event)
        << "cancelled an attempt of request " << cancel.request_id << ", which had ended";
    AttemptRecord& attempt = request.attempts.at(static_cast<std::size_t>(cancel.attempt));
    EXPECT_TRUE(attempt.in_flight) << "cancelled an attempt that has its outcome";
    EXPECT_FALSE(attempt.cancelled) << "cancelled an attempt twice";
    attempt.cancelled = true;
    ++cancels_;
  }
  void Check(const HealthCheck& check) { CheckKnown(check.endpoint); }
  void Check(const CloseIdleConnections& close) { CheckKnown(close.endpoint); }
  // A removed endpoint stays known while a call to it is in flight.
  void CheckKnown(EndpointId id) {
    const bool in_use = std::any_of(requests_.begin(), requests_.end(), [id](const auto& entry) {
      const auto& attempts = entry.second.attempts;
      return std::any_of(attempts.begin(), attempts.end(),
                         [id](const AttemptRecord& a) { return a.in_flight && a.endpoint == id; });
    });
    EXPECT_TRUE(listed_.count(id) == 1 || in_use) << "action for endpoint " << id << ", which was removed";
  }

  void End(RequestId id, int index, Outcome outcome) {
    RequestRecord& request = requests_.at(id);
    AttemptRecord& attempt = request.attempts[static_cast<std::size_t>(index)];
    attempt.in_flight = false;
    AttemptOutcome event;
    event.request_id = id;
    event.attempt = index;
    event.endpoint = attempt.endpoint;
    event.outcome = outcome;
    event.duration = 0.1;
    event.request_ended = request.ended || outcome == Outcome::kServed;
    const bool ended = event.request_ended;
    HandleAndCheck(event);
    request.ended = request.ended || ended;
  }

  // A cancelled attempt gets its outcome after a random delay, as does a lost one, with a much longer delay.
  // The attempts of a batch end independently.
  std::optional<Outcome> DrawOutcome(const AttemptRecord& attempt) {
    static const std::vector<Outcome> kOutcomes = {Outcome::kServed, Outcome::kServed, Outcome::kError,
                                                   Outcome::kRejected, Outcome::kReset};
    if (attempt.cancelled) return random_() % 20 == 0 ? std::optional(Outcome::kCancelled) : std::nullopt;
    if (attempt.lost && random_() % 100 != 0) return std::nullopt;
    if (random_() % 10 != 0) return std::nullopt;
    return kOutcomes[random_() % kOutcomes.size()];
  }

  void EndSomeAttempts() {
    for (auto& [id, request] : requests_) {
      for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        if (!request.attempts[i].in_flight) continue;
        if (const auto outcome = DrawOutcome(request.attempts[i])) End(id, static_cast<int>(i), *outcome);
      }
    }
  }

  void MaybeReceiveRequest() {
    if (random_() % 3 == 0) return;
    const RequestId id = next_id_++;
    const Seconds remaining_time = 1 + static_cast<double>(random_() % 60) / 10;
    requests_[id].deadline = now_ + remaining_time;
    HandleAndCheck(NewRequest{id,
                              static_cast<int>(random_() % 3),
                              {},
                              "",
                              remaining_time,
                              static_cast<DestinationId>(1 + random_() % 2)});
  }

  void MaybeChangeList() {
    if (random_() % 200 != 0) return;
    listed_.clear();
    for (EndpointId id = 1; id <= kEndpoints; ++id) {
      if (random_() % 4 != 0) listed_.insert(id);
    }
    HandleAndCheck(ListUpdate{ListScope::kComplete, EntriesOf(listed_)});
  }

  void FireDueTimers() {
    const auto is_due = [this](const SetTimer& timer) { return timer.due <= now_; };
    const auto due = std::stable_partition(timers_.begin(), timers_.end(), std::not_fn(is_due));
    const std::vector<SetTimer> fired(due, timers_.end());
    timers_.erase(due, timers_.end());
    for (const SetTimer& timer : fired) HandleAndCheck(TimerFired{timer.timer_id});
  }

  void RemoveEndedRequests() {
    for (auto it = requests_.begin(); it != requests_.end();) {
      const auto& attempts = it->second.attempts;
      const bool done = it->second.ended && std::none_of(attempts.begin(), attempts.end(),
                                                         [](const auto& a) { return a.in_flight; });
      it = done ? requests_.erase(it) : std::next(it);
    }
  }

  static constexpr EndpointId kEndpoints = 6;
  std::mt19937_64 random_;
  std::set<EndpointId> listed_;
  std::map<RequestId, RequestRecord> requests_;
  std::map<std::pair<EndpointId, Seconds>, bool> lost_calls_;
  std::vector<SetTimer> timers_;
  RequestId next_id_ = 1;
  int cancels_ = 0;
};

TEST_P(ActionTargetTest, ActionsHaveNoStaleTargets) {
  StartWithSeed(GetParam());
  for (int step = 0; step < 3000 && !HasFailure(); ++step) {
    now_ += 0.01;
    FireDueTimers();
    MaybeReceiveRequest();
    MaybeChangeList();
    EndSomeAttempts();
    HandleAndCheck(BatchEnd{});
    RemoveEndedRequests();
  }
  EXPECT_GT(cancels_, 10);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ActionTargetTest, ::testing::Range(1, 21));

}  // namespace
}  // namespace opalroute::decision
