// Test fixtures: a router on a simulated clock. Tests pass events to it and check its actions.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "opalroute/request_router.h"

namespace opalroute {

enum ClassIndex { kIdempotentClass, kDeduplicatedClass, kNonIdempotentClass, kOrderedClass };

inline Settings TestSettings() {
  Settings s;
  s.classes = {{Idempotency::kIdempotent, DeduplicationScope::kZone, 0, 2, 20, 0.4, 1, false},
               {Idempotency::kIdempotencyKey, DeduplicationScope::kZone, 8, 2, 20, 0.4, 1, false},
               {Idempotency::kNonIdempotent, DeduplicationScope::kZone, 0, 2, 20, 0.4, 2, false},
               {Idempotency::kIdempotent, DeduplicationScope::kZone, 0, 2, 20, 0.4, 1, true}};
  s.kinds = {{false, 1}, {true, 1}, {false, 5}};
  s.relay_count = 1;
  s.concurrency_limit = 10;
  s.request_capacity = 200;
  s.max_attempts = 6;
  s.may_cancel = true;
  s.may_hedge = true;
  s.may_send_retry_after = true;
  s.listed_rate_accuracy = ListedRateAccuracy::kNone;
  s.over_quota_weight = 0.1;
  s.max_retry_after = 3;
  s.tick = 0.01;
  s.max_poll_interval = 10;
  s.overload_window = 3;
  s.overload_factor = 2;
  s.slow_start_initial_share = 0.2;
  s.slow_start_duration = 10;
  s.ordered_key_pause = 1.5;
  s.seed = 7;
  return s;
}

// A relay of a simulated fleet, with the state that the test keeps for it.
struct TestRelay {
  explicit TestRelay(const Settings& s) : router(s) {}
  // Replaces the pending timer.
  void OnSetTimer(const SetTimer& timer) {
    std::tie(timer_due, timer_id) = std::tie(timer.due, timer.timer_id);
  }
  // Returns the timer once it is due, and clears it.
  std::optional<TimerFired> TakeDueTimer(Seconds now) {
    if (timer_due <= 0 || timer_due > now) return std::nullopt;
    timer_due = 0;
    return TimerFired{timer_id};
  }
  RequestRouter router;
  Seconds timer_due = 0;  // 0: no timer is set
  std::uint64_t timer_id = 0;
  std::map<RequestId, int> attempts;  // number sent, by request
  std::map<EndpointId, int> idle_connections;
  RequestId next_request_id = 1;
};

class RouterTest : public ::testing::Test {
 protected:
  void Start(const Settings& settings) {
    router_ = std::make_unique<RequestRouter>(settings);
    actions_.clear();
  }

  static ListedEndpoint MakeEndpoint(EndpointId id, DestinationId destination, int zone = 0, int kind = 0,
                                     EndpointStatus status = EndpointStatus::kInService,
                                     double listed_rate = 0) {
    return {id, ZoneId{zone}, KindId{kind}, destination, status, listed_rate};
  }
  // As DNS names it before the list does.
  static ListedEndpoint MakeEndpointOfUnknownZone(EndpointId id, DestinationId destination) {
    ListedEndpoint endpoint = MakeEndpoint(id, destination);
    endpoint.zone.reset();
    return endpoint;
  }
  void UpdateList(std::vector<ListedEndpoint> entries, ListScope scope = ListScope::kComplete) {
    Handle(ListUpdate{scope, std::move(entries)});
  }
  void Handle(const Event& event) { router_->Handle(now_, event, actions_); }
  void EndBatch() { Handle(BatchEnd{}); }

  void Receive(RequestId id, int request_class, DestinationId destination = 1, const std::string& key = "",
               Seconds remaining_time = 20) {
    Handle(NewRequest{id, request_class, {}, key, remaining_time, destination});
  }

  // Ends the batch, then advances the clock to `time` in ticks of 0.01 s; timers fire when they are due.
  void RunUntil(Seconds time) {
    EndBatch();
    while (now_ < time - 1e-9) {
      now_ += 0.01;
      std::vector<std::uint64_t> due;
      for (const SetTimer& timer : Emitted<SetTimer>()) {
        if (timer.due <= now_ && timer.due > now_ - 0.01) due.push_back(timer.timer_id);
      }
      for (const std::uint64_t timer_id : due) Handle(TimerFired{timer_id});
      if (!due.empty()) EndBatch();
    }
  }

  void EndAttempt(RequestId id, int attempt, EndpointId endpoint, Outcome outcome, Seconds retry_after = 0,
                  Seconds duration = 0.1) {
    AttemptOutcome attempt_outcome;
    attempt_outcome.request_id = id;
    attempt_outcome.attempt = attempt;
    attempt_outcome.endpoint = endpoint;
    attempt_outcome.outcome = outcome;
    attempt_outcome.retry_after = retry_after;
    attempt_outcome.duration = duration;
    attempt_outcome.request_ended = outcome == Outcome::kServed;
    Handle(attempt_outcome);
  }

  // The recorded actions of type T, in order.
  template <typename T>
  std::vector<T> Emitted() const {
    std::vector<T> found;
    for (const Action& action : actions_) {
      if (const auto* typed = std::get_if<T>(&action)) found.push_back(*typed);
    }
    return found;
  }
  std::vector<Send> SendsFor(RequestId id) const {
    std::vector<Send> found;
    for (const Send& send : Emitted<Send>()) {
      if (send.request_id == id) found.push_back(send);
    }
    return found;
  }

  Seconds now_ = 100;
  std::unique_ptr<RequestRouter> router_;
  std::vector<Action> actions_;
};

// A RouterTest whose router starts with TestSettings().
class StartedRouterTest : public RouterTest {
 protected:
  void SetUp() override { Start(TestSettings()); }

  // Sends `count` requests with ids from `from` on, one after the other; each is served by its first attempt.
  void ServeRequests(RequestId from, int count, DestinationId destination = 1) {
    for (RequestId id = from; id < from + static_cast<RequestId>(count); ++id) {
      Receive(id, kNonIdempotentClass, destination);
      EndBatch();
      const auto sends = SendsFor(id);
      ASSERT_EQ(sends.size(), 1U);
      now_ += 0.1;
      EndAttempt(id, 0, sends[0].endpoint, Outcome::kServed);
      EndBatch();
    }
  }
};

}  // namespace opalroute
