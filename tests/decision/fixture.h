// A fake clock, a courier and what it has done: the tests play events and look at the actions.
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

enum ClassIndex { kSafeClass, kKeyedClass, kUnsafeClass, kOrderedClass };

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

// One courier of many, with its wake and the numbers of its messages and attempts.
struct Member {
  explicit Member(const Settings& s) : courier(s) {}
  void Heed(const SetTimer& wake) { std::tie(wake_at, label) = std::tie(wake.due, wake.timer_id); }
  // Its wake if that is due, once.
  std::optional<TimerFired> Due(Seconds now) {
    if (wake_at <= 0 || wake_at > now) return std::nullopt;
    wake_at = 0;
    return TimerFired{label};
  }
  RequestRouter courier;
  Seconds wake_at = 0;
  std::uint64_t label = 0;
  std::map<RequestId, int> attempts;
  std::map<EndpointId, int> idle;  // connections
  RequestId next = 1;
};

class CourierTest : public ::testing::Test {
 protected:
  void Start(const Settings& settings) {
    courier_ = std::make_unique<RequestRouter>(settings);
    actions_.clear();
  }

  static ListedEndpoint Entry(EndpointId id, DestinationId destination, int zone = 0, int kind = 0,
                              EndpointStatus listing = EndpointStatus::kInService, double rating = 0) {
    return {id, zone, kind, destination, listing, rating};
  }
  void List(std::vector<ListedEndpoint> entries, ListScope scope = ListScope::kComplete) {
    Play(ListUpdate{scope, std::move(entries)});
  }
  void Play(const Event& event) { courier_->Handle(now_, event, actions_); }
  void EndTurn() { Play(BatchEnd{}); }

  void Take(RequestId id, int message_class, DestinationId destination = 1, const std::string& key = "",
            Seconds patience = 20) {
    Play(NewRequest{id, message_class, {}, key, patience, destination});
  }

  // Turns of one tick up to the time; wakes are played when they are due.
  void RunTo(Seconds time) {
    EndTurn();
    while (now_ < time - 1e-9) {
      now_ += 0.01;
      std::vector<std::uint64_t> due;
      for (const SetTimer& wake : All<SetTimer>()) {
        if (wake.due <= now_ && wake.due > now_ - 0.01) due.push_back(wake.timer_id);
      }
      for (const std::uint64_t label : due) Play(TimerFired{label});
      if (!due.empty()) EndTurn();
    }
  }

  void Tell(RequestId id, int attempt, EndpointId endpoint, Outcome outcome, Seconds wait = 0,
            Seconds duration = 0.1) {
    AttemptOutcome r;
    r.request_id = id;
    r.attempt = attempt;
    r.endpoint = endpoint;
    r.outcome = outcome;
    r.retry_after = wait;
    r.duration = duration;
    r.request_ended = outcome == Outcome::kServed;
    Play(r);
  }

  template <typename T>
  std::vector<T> All() const {
    std::vector<T> found;
    for (const Action& action : actions_) {
      if (const auto* hit = std::get_if<T>(&action)) found.push_back(*hit);
    }
    return found;
  }
  std::vector<Send> SendsOf(RequestId id) const {
    std::vector<Send> found;
    for (const Send& send : All<Send>()) {
      if (send.request_id == id) found.push_back(send);
    }
    return found;
  }

  Seconds now_ = 100;
  std::unique_ptr<RequestRouter> courier_;
  std::vector<Action> actions_;
};

// Starts with the test's settings.
class StartedRouterTest : public CourierTest {
 protected:
  void SetUp() override { Start(TestSettings()); }

  // Requests that are sent to one endpoint each and served, one after the other.
  void ServeSafely(RequestId from, int count, DestinationId destination = 1) {
    for (RequestId id = from; id < from + static_cast<RequestId>(count); ++id) {
      Take(id, kUnsafeClass, destination);
      EndTurn();
      const auto sends = SendsOf(id);
      ASSERT_EQ(sends.size(), 1U);
      now_ += 0.1;
      Tell(id, 0, sends[0].endpoint, Outcome::kServed);
      EndTurn();
    }
  }
};

}  // namespace opalroute
