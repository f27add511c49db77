// Feeds the router random valid events from fixed seeds, and checks its actions against the delivery rules
// with a model of its own.
#include <algorithm>
#include <map>
#include <random>

#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class RandomEventsTest : public RouterTest, public ::testing::WithParamInterface<int> {
 protected:
  struct AttemptRecord {
    EndpointId endpoint;
    Seconds sent;
    bool in_flight;
    bool may_have_run;
    Seconds timeout_at;
    bool call_continues = false;  // it timed out, but its call is still open for other requests
  };
  struct RequestRecord {
    int request_class;
    std::string key;
    DestinationId destination;
    Seconds deadline;
    std::vector<AttemptRecord> attempts;
    bool ended = false;
  };

  static int ZoneOf(EndpointId id) { return static_cast<int>(id % 2); }
  static DestinationId DestinationOf(EndpointId id) { return id / 4; }

  void CheckSend(const Send& send) {
    RequestRecord& request = requests_.at(send.request_id);
    ASSERT_FALSE(request.ended) << "rule 1: sent after the request had ended";
    ASSERT_EQ(DestinationOf(send.endpoint), request.destination);
    ASSERT_EQ(draining_.count(send.endpoint), 0U) << "rule 3: sent to a draining endpoint";
    ASSERT_GE(now_ + 1e-9, retry_after_[request.destination])
        << "rule 5: sent before the end of a Retry-After";
    for (const AttemptRecord& attempt : request.attempts) {
      if (!attempt.in_flight && !attempt.may_have_run) continue;
      ASSERT_NE(request.request_class, kNonIdempotentClass) << "rule 2: retried though it may have run";
      if (request.request_class == kDeduplicatedClass) {
        ASSERT_EQ(ZoneOf(attempt.endpoint), ZoneOf(send.endpoint)) << "rule 2: retried outside its zone";
        ASSERT_LE(now_, attempt.sent + 8) << "rule 2: retried outside its deduplication window";
      }
    }
    if (request.request_class == kOrderedClass) {
      for (const RequestId id : key_queues_[request.key]) {
        if (id == send.request_id) break;
        const RequestRecord& earlier = requests_.at(id);
        const bool in_flight = std::any_of(earlier.attempts.begin(), earlier.attempts.end(),
                                           [](const AttemptRecord& attempt) { return attempt.in_flight; });
        ASSERT_TRUE(earlier.ended && !in_flight)
            << "rule 6: sent before an earlier request of its key was over";
      }
      ASSERT_TRUE(!request.attempts.empty() || now_ + 1e-9 >= key_paused_until_[request.key])
          << "rule 6: sent during a pause of its key";
    }
    const auto open_calls = std::count_if(
        request.attempts.begin(), request.attempts.end(),
        [](const AttemptRecord& attempt) { return attempt.in_flight || attempt.call_continues; });
    ASSERT_LT(open_calls, max_open_calls_) << "rule 2: more calls at once than allowed";
    request.attempts.push_back(
        {send.endpoint, now_, true, false, send.timeout_at > 0 ? send.timeout_at : request.deadline});
  }

  void CheckEnd(RequestId id, bool rejected) {
    RequestRecord& request = requests_.at(id);
    ASSERT_FALSE(request.ended) << "rule 1: ended twice";
    request.ended = true;
    if (!rejected || request.request_class == kIdempotentClass || request.request_class == kOrderedClass)
      return;
    for (const AttemptRecord& attempt : request.attempts)
      ASSERT_FALSE(attempt.in_flight || attempt.may_have_run) << "rule 2: rejected though it may have run";
  }

  void CheckActions() {
    for (; checked_ < actions_.size(); ++checked_) {
      const Action action = actions_[checked_];
      if (const auto* send = std::get_if<Send>(&action)) CheckSend(*send);
      if (const auto* reject = std::get_if<Reject>(&action)) CheckEnd(reject->request_id, true);
      if (const auto* fail = std::get_if<Fail>(&action)) CheckEnd(fail->request_id, false);
      if (HasFatalFailure()) return;
    }
    for (const auto& [id, request] : requests_) {
      ASSERT_TRUE(request.ended || now_ <= request.deadline + 0.02) << "rule 1: not ended by its deadline";
    }
  }

  // Ends at most one attempt in flight of the request: at its timeout, or at random with a random outcome.
  void MaybeEndAttempt(RequestId id, std::mt19937_64& random) {
    RequestRecord& request = requests_.at(id);
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      AttemptRecord& attempt = request.attempts[i];
      if (attempt.call_continues && random() % 50 == 0) {
        attempt.call_continues = false;
        Handle(AttemptClosed{id, static_cast<int>(i)});
        return;
      }
      if (!attempt.in_flight) continue;
      const bool timed_out = now_ >= attempt.timeout_at - 1e-9;
      if (!timed_out && random() % 20 != 0) continue;
      static const std::vector<Outcome> kOutcomes = {
          Outcome::kServed, Outcome::kServed,   Outcome::kServed, Outcome::kServed,
          Outcome::kError,  Outcome::kRejected, Outcome::kReset,  Outcome::kConnectFailed};
      AttemptOutcome outcome;
      outcome.request_id = id;
      outcome.attempt = static_cast<int>(i);
      outcome.endpoint = attempt.endpoint;
      outcome.duration = now_ - attempt.sent;
      outcome.outcome = timed_out ? Outcome::kTimeout : kOutcomes[random() % kOutcomes.size()];
      if (outcome.outcome == Outcome::kRejected && random() % 2 == 0) outcome.retry_after = 0.3;
      attempt.in_flight = false;
      attempt.may_have_run =
          outcome.outcome != Outcome::kRejected && outcome.outcome != Outcome::kConnectFailed;
      if (request.request_class == kOrderedClass &&
          (outcome.outcome == Outcome::kTimeout || outcome.outcome == Outcome::kReset)) {
        key_paused_until_[request.key] = now_ + 1.5;
      }
      if (outcome.retry_after > 0)
        new_retry_after_.push_back({request.destination, now_ + outcome.retry_after});
      if (outcome.outcome == Outcome::kServed) request.ended = true;
      outcome.request_ended = request.ended;
      outcome.call_continues = attempt.call_continues = timed_out && random() % 2 == 0;
      Handle(outcome);
      return;
    }
  }

  std::map<RequestId, RequestRecord> requests_;
  std::map<std::string, std::vector<RequestId>> key_queues_;
  std::map<std::string, Seconds> key_paused_until_;
  std::map<DestinationId, Seconds> retry_after_;
  std::vector<std::pair<DestinationId, Seconds>> new_retry_after_;
  std::map<EndpointId, Seconds> draining_;
  std::size_t checked_ = 0;
  int max_open_calls_ = 1;  // with one request
};

TEST_P(RandomEventsTest, DeliveryRulesHoldAtEveryStep) {
  std::mt19937_64 random(static_cast<std::uint64_t>(GetParam()));
  Settings s = TestSettings();
  s.may_hedge = GetParam() % 2 == 0;
  max_open_calls_ = s.may_hedge ? 2 : 1;
  Start(s);
  std::vector<ListedEndpoint> entries;
  for (EndpointId id = 4; id < 16; ++id) entries.push_back(MakeEndpoint(id, DestinationOf(id), ZoneOf(id)));
  UpdateList(entries);
  RequestId next = 1;
  std::size_t ended_count = 0;
  for (int step = 0; step < 4000; ++step) {
    now_ += 0.01;
    for (const SetTimer& timer : Emitted<SetTimer>()) {
      if (timer.due <= now_ && timer.due > now_ - 0.01) Handle(TimerFired{timer.timer_id});
    }
    if (step < 3000 && random() % 4 == 0) {
      const int request_class = static_cast<int>(random() % 4);
      const std::string key = request_class == kOrderedClass ? "k" + std::to_string(random() % 3) : "";
      const Seconds remaining_time = 1 + static_cast<double>(random() % 80) / 10;
      requests_[next] = {
          request_class, key, static_cast<DestinationId>(1 + random() % 3), now_ + remaining_time, {}};
      if (!key.empty()) key_queues_[key].push_back(next);
      Receive(next, request_class, requests_[next].destination, key, remaining_time);
      ++next;
    }
    if (step == 1000) {
      UpdateList({MakeEndpoint(5, 1, 1, 0, EndpointStatus::kDraining)}, ListScope::kChanges);
      draining_[5] = now_;
    }
    for (RequestId id = next > 400 ? next - 400 : 1; id < next; ++id) MaybeEndAttempt(id, random);
    EndBatch();
    CheckActions();
    if (HasFatalFailure()) return;
    for (const auto& [destination, until] : new_retry_after_)
      retry_after_[destination] = std::max(retry_after_[destination], until);
    new_retry_after_.clear();
    if (step % 500 == 499) {  // keeps the search for due timers short
      actions_.erase(std::remove_if(actions_.begin(), actions_.end(),
                                    [this](const Action& a) {
                                      const auto* timer = std::get_if<SetTimer>(&a);
                                      return timer == nullptr || timer->due < now_;
                                    }),
                     actions_.end());
      checked_ = actions_.size();
    }
  }
  for (const auto& [id, request] : requests_) ended_count += request.ended ? 1 : 0;
  EXPECT_GT(requests_.size(), 600U);
  EXPECT_EQ(ended_count, requests_.size());
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEventsTest, ::testing::Range(1, 7));

}  // namespace
}  // namespace opalroute::decision
