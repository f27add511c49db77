// A model of one upstream route of a partner: of what has a rate limit, a response time and faults of its
// own. That is a destination, or each endpoint of a partner whose endpoints are separate routes. It behaves
// as the operators describe their partners: rate limits, Retry-After, outages, slow recovery after them, and
// collapse under too much load. No I/O; the caller passes the time.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <vector>

#include "lab/draw.h"
#include "opalroute/request_router.h"

namespace opalroute::lab {

enum class RouteFaultKind {
  kRejectAll,          // rejects every call, and tells some how long this lasts
  kRefuseConnections,  // refuses new connections
  kNoResponse,         // runs calls and never responds
  kReset,              // runs calls, then resets the connections of some
  kErrors,             // runs calls, and answers some with an error
  kSlow,               // multiplies the response times
  kInvalidResponses,   // runs calls, and responds to some with what isn't HTTP
  kUnreachable         // the machine is off the network: accepts no connections, and receives nothing
};

// Whether the fault affects each call with a probability, rather than all of them.
constexpr bool IsProbabilistic(RouteFaultKind kind) {
  return kind == RouteFaultKind::kErrors || kind == RouteFaultKind::kReset ||
         kind == RouteFaultKind::kInvalidResponses;
}

struct RouteFault {
  RouteFaultKind kind{};
  Seconds from = 0, to = 0;
  double probability = 1;     // of a call, if the kind is probabilistic
  double latency_factor = 1;  // kSlow
};

struct RouteSettings {
  double rate_limit = 0;  // calls a second from all relays; more are rejected. 0: none
  Seconds window = 0;     // above 0: the limit is a count in each window of this length, else a token bucket
  bool rejected_calls_count = true;  // towards the limit
  double capacity = 40;              // calls a second that it can do, once fully recovered
  double retry_after_share = 0.7;    // of the rejections that carry a Retry-After
  // The least Retry-After of a token bucket. With a window it is the time to the window's end; while
  // everything is rejected, the time to the end of the fault; with a full queue, the time until a worker is
  // free.
  Seconds retry_after = 0.5;
  Seconds mean_latency = 0.2;
  double latency_cv = 0.4;               // coefficient of variation (log-normal)
  double initial_capacity_share = 0.22;  // and of its limit, right after an outage
  Seconds recovery_time = 13;            // until its full capacity is back
  // It collapses and stays down if, while it recovers, the calls within overload_window exceed what
  // overload_factor times its capacity allows, plus a tolerance for random variation if overload_tolerance.
  double overload_factor = 2;
  Seconds overload_window = 2;
  bool overload_tolerance = true;
  // Calls that may wait for one of its workers, of which it has as many as its capacity needs; further calls
  // are rejected. Below 0: workers without limit.
  int max_queued_calls = -1;
};

// The most calls within an overload window that a recovering route bears if `allowed` calls are its capacity
// in the window times the overload factor (the standing test's rule on cold servers).
double MaxCallsWhileRecovering(double allowed);

class RouteModel {
 public:
  RouteModel(const RouteSettings& settings, std::vector<RouteFault> faults, std::uint64_t seed)
      : s_(settings), faults_(std::move(faults)), random_(seed) {}

  enum class CallStatus { kServed, kRejected, kError, kReset, kNoResponse, kInvalidResponse };
  struct CallResult {
    CallStatus status{};
    Seconds retry_after = 0;  // 0: none
    Seconds duration = 0;     // until the response is sent, or the connection reset
    bool ran = false;
    bool caused_collapse = false;
  };
  // A call or health check whose last byte has arrived.
  CallResult HandleCall(Seconds now);
  bool RefusesConnections(Seconds now) const;
  bool IsUnreachable(Seconds now) const;

  // Calls a second that it can do at this time.
  double CapacityAt(Seconds now) const;
  // Whether it is in no outage now, and the last one ended less than recovery_time ago.
  bool IsRecovering(Seconds now) const;
  // When the latest outage that is over began; empty: there was none.
  std::optional<Seconds> LastOutageStart(Seconds now) const;
  // Collapsed, unreachable, rejecting or refusing everything, not responding, or failing most calls: a call
  // that fails now tells its relay of the outage.
  bool InOutage(Seconds now) const;
  bool collapsed() const { return collapsed_; }
  const RouteSettings& settings() const { return s_; }
  const std::vector<RouteFault>& faults() const { return faults_; }

 private:
  const RouteFault* ActiveFault(Seconds now) const;
  std::optional<Seconds> LastOutageEnd(Seconds now) const;
  double Draw() { return DrawUniform(random_); }
  bool ExceedsRateLimit(Seconds now, double capacity_share);
  Seconds DrawRetryAfter(Seconds now, const RouteFault* reject_all);
  static bool IsOutage(const RouteFault& fault);
  // When a call that occupies a worker for `duration` starts. None: the queue is full.
  std::optional<Seconds> AssignWorker(Seconds now, Seconds duration);

  const RouteSettings s_;
  const std::vector<RouteFault> faults_;  // of several active ones, the first applies
  pcg32 random_;
  double tokens_ = 1, window_count_ = 0;
  Seconds refilled_at_ = 0;
  std::int64_t window_index_ = 0;
  std::deque<Seconds> recovery_calls_;      // times of the calls while recovering, within overload_window
  std::multiset<Seconds> workers_free_at_;  // of the busy ones
  std::deque<Seconds> queued_starts_;       // when the queued calls start
  bool collapsed_ = false;
};

}  // namespace opalroute::lab
