// Requests that the router knows, and their attempts.
#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <tuple>
#include <vector>

#include "decision/endpoint_scope.h"
#include "decision/never.h"
#include "opalroute/events.h"

namespace opalroute::decision {

// One attempt of a request.
struct Attempt {
  EndpointLocation location;  // as known when it was sent
  std::uint64_t call = 0;
  Seconds sent = 0;
  bool in_flight = true;
  bool cancelled = false;  // the outcome is still pending
  bool may_have_run = false;
  bool call_continues = false;  // it has its outcome, but its call is still open for other requests

  bool MayRunOrHaveRun() const { return in_flight || may_have_run; }
};

// Groups waiting requests that differ only in their age when the next one is chosen.
struct BucketKey {
  int request_class = 0;
  bool over_quota = false;
  EndpointScope scope;      // the endpoints that an attempt may go to
  bool may_be_shed = true;  // to make room for new requests

  bool operator<(const BucketKey& other) const {
    return std::tie(request_class, over_quota, scope, may_be_shed) <
           std::tie(other.request_class, other.over_quota, other.scope, other.may_be_shed);
  }
};

// A request in a queue that is ordered by time.
struct QueueEntry {
  Seconds time = 0;
  RequestId request_id = 0;

  bool operator<(const QueueEntry& other) const {
    return std::tie(time, request_id) < std::tie(other.time, other.request_id);
  }
};

using RequestsByTime = std::set<QueueEntry>;

// The state of a request between its receipt and its end.
enum class RequestPhase {
  kWaiting,      // for an endpoint
  kDelayed,      // by a backoff
  kQueuedByKey,  // behind an earlier request of its ordering key
  kNotQueued,    // in flight, or ended
};

// A request. It is kept until it has ended and all of its attempts have outcomes.
struct Request : NewRequest {
  bool over_quota = false;
  bool recovered = false;  // accepted by an earlier process
  bool response_was_doubted = false;
  bool ended = false;
  bool released = false;  // no longer counted as held
  Seconds received_at = 0;
  Seconds deadline = 0;
  Seconds not_before = 0;  // end of a backoff
  Seconds expiry = kNever;
  std::vector<Attempt> attempts;
  int attempts_in_flight = 0;  // attempts without an outcome
  int timeouts = 0;            // attempts that timed out
  int local_shortages = 0;     // attempts that never left this relay; not counted in AttemptsUsed()
  RequestPhase phase = RequestPhase::kNotQueued;
  BucketKey bucket;

  // Attempts that count against Settings::max_attempts.
  int AttemptsUsed() const { return static_cast<int>(attempts.size()) - local_shortages; }
  // Calls with this request that are open at endpoints.
  int OpenCalls() const {
    return static_cast<int>(std::count_if(attempts.begin(), attempts.end(), [](const Attempt& attempt) {
      return attempt.in_flight || attempt.call_continues;
    }));
  }
  // A recovered request is not shed before its first attempt, however many new requests arrive.
  bool MayBeShed() const { return !recovered || !attempts.empty(); }
};

}  // namespace opalroute::decision
