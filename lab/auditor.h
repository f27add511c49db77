// Observes both sides of a run, relays and partners, and reports every broken rule with a trace. No I/O: it
// is told the facts in the order of time, and knows nothing of how a relay decides. docs/lab.md names the
// sources of the rules.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "opalroute/request_router.h"

namespace opalroute::lab {

enum class BreachKind {
  kTwoAnswers,             // a message that had ended was ended again
  kNoAnswer,               // not ended at its deadline plus a tolerance
  kSentAfterEnd,           // sent though it had ended, or is unknown
  kNonIdempotentRepeat,    // a non-idempotent message sent though an earlier attempt may have run
  kDeduplicatedRepeat,     // a deduplicated one sent after its window, though an earlier attempt may have run
  kNonIdempotentRanTwice,  // a non-idempotent message ran twice
  kDeduplicatedRanTwice,   // a deduplicated one did, after the window in which the partner drops repeats
  kUnsafeRejection,        // rejected, so that its client may submit it again, though an attempt may have run
  kSentDuringRetryAfter,   // sent to a route during a Retry-After that this relay had received
  kSentToDrained,          // sent to an endpoint after the drain grace period
  kForeignEndpoint,        // sent to an endpoint of another destination, or one that was never listed
  // A recovering route collapsed, with two thirds of its calls from relays that had observed the outage.
  kRecoveryOverload,
  kQuotaExceeded,     // the relays' shares of a limit add up to more than the whole limit and one share
  kStalledClient,     // a client that stopped in the middle of its request wasn't disconnected in time
  kClosedUnanswered,  // a request was read, and its connection closed without a response
  kNotReady,          // more than one in ten restarted processes wasn't ready in time
  // Over half of the messages that restarts found unattempted, with time left, ended early without an
  // attempt.
  kRecoveredNotAttempted,
  kOutOfOrder  // sent before an earlier message of its ordering key had ended, or while the key was paused
};
const char* NameOf(BreachKind kind);

struct Breach {
  BreachKind kind{};
  Seconds at = 0;
  int relay = -1;
  std::uint64_t message = 0;
  EndpointId endpoint = 0;
  std::string trace;  // what happened before, in one line
};

class Auditor {
 public:
  struct Rules {
    Seconds deadline_tolerance = 0.07;
    Seconds drain_grace_period = 2;
    Seconds retry_after_grace_period = 0;  // calls seen this soon after a Retry-After had been sent before it
    double informed_share = 2.0 / 3;       // of the calls before a collapse, for kRecoveryOverload
    Seconds overload_window = 2;
    // For the later messages of an ordering key, after an attempt that may still be running.
    Seconds ordered_key_pause = 0;
  };
  Auditor(const Rules& rules, std::vector<RequestClass> classes)
      : rules_(rules), classes_(std::move(classes)) {}

  // A relay has accepted a message, or recovered it after a restart. `origin`: the same for all submissions
  // of one message of a client.
  void OnAccepted(Seconds now, int relay, std::uint64_t message, std::uint64_t origin, int message_class,
                  DestinationId destination, Seconds deadline);
  // Puts a message that was just accepted into the order of this key at its relay.
  void SetOrderingKey(std::uint64_t message, std::uint64_t key);
  // kAborted: the client got no response in time, and a run under this id no longer counts.
  // kWithdrawn: an endpoint has told the relay that the message is over.
  enum class End { kDelivered, kRejected, kFailed, kAborted, kWithdrawn };
  void OnEnded(Seconds now, std::uint64_t message, End end);
  void OnSent(Seconds now, int relay, std::uint64_t message, EndpointId endpoint);
  // `attempt`: its index in the order of sending, from 0.
  void OnAttemptEnded(std::uint64_t message, int attempt, bool may_have_run);
  // An attempt ended without proof that it isn't running any more.
  void OnMayStillBeRunning(Seconds now, std::uint64_t message);
  void OnRan(Seconds now, std::uint64_t message);  // at the partner
  // A client's connection was closed after its request, without a response.
  void ReportClosedUnanswered(Seconds now, int relay, std::uint64_t message);
  void ReportStalledClient(Seconds now, int relay);
  // Totals of all restarts of a run.
  struct Restarts {
    int ready = 0, late = 0;  // processes; late: not ready in time
    // Messages that a restart found without an attempt in the first half of their time, and those of them
    // that ended early, still without any.
    int unattempted = 0, unattempted_ended = 0;
  };
  void CheckRestarts(Seconds now, const Restarts& restarts);
  // Reports the messages whose deadlines have passed.
  void CheckDeadlines(Seconds now);

  void OnEndpointListed(EndpointId endpoint, DestinationId destination, std::uint64_t route);
  void OnDrainReceived(Seconds now, int relay, EndpointId endpoint);
  void OnRetryAfterReceived(Seconds now, int relay, std::uint64_t route, Seconds retry_after);
  // A call or health check failed, or was rejected, during an outage of the route. The relay counts as
  // informed of this outage from then on, also in its next processes: its state folder can hold what it has
  // observed.
  void OnOutageObserved(Seconds now, int relay, std::uint64_t route);
  void OnCallDuringRecovery(Seconds now, int relay, std::uint64_t route, Seconds outage_start,
                            bool caused_collapse);
  // The process forgets its Retry-Afters. Its messages aren't overdue before `extended_until`.
  void OnRelayStopped(int relay, Seconds extended_until);
  // Its next process is ready: its messages aren't overdue before `extended_until`, in place of an earlier
  // extension.
  void OnRelayReady(int relay, Seconds extended_until) { extended_until_[relay] = extended_until; }
  // The number of relays that share every limit; 0: shares aren't checked.
  void SetFleetSize(int size) { fleet_size_ = size; }
  // A relay now uses a share of one in `share_count` of every limit.
  void OnShareCount(Seconds now, int relay, double share_count);
  // Its process has ended, and uses no share.
  void OnShareReleased(Seconds now, int relay);
  // Its messages aren't overdue before `until`.
  void ExtendDeadlines(int relay, Seconds until);

  const std::vector<Breach>& breaches() const { return breaches_; }
  int Count(BreachKind kind) const;
  // Second runs of deduplicated messages that a client submitted again after the deduplication window.
  long client_duplicates() const { return client_duplicates_; }
  std::size_t open_messages() const { return messages_.size(); }

 private:
  struct Attempt {
    Seconds sent;
    EndpointId endpoint;
    bool in_flight = true, may_have_run = true;
  };
  struct Message {
    int relay, message_class;
    std::uint64_t origin;
    DestinationId destination;
    Seconds deadline;
    bool ended = false;
    std::vector<Attempt> attempts;
    std::uint64_t ordering_key = 0;  // 0: none
  };
  struct KeyQueue {
    std::deque<std::uint64_t> messages;  // in the order accepted
    Seconds paused_until = 0;
    std::uint64_t paused_by = 0;  // a message
  };
  struct EndpointInfo {
    DestinationId destination;
    std::uint64_t route;
  };
  struct RecoveryCall {
    Seconds at;
    int relay;
    bool informed;  // the relay had observed the outage
  };
  std::string TraceOf(const std::deque<RecoveryCall>& calls, std::uint64_t route) const;
  void Report(BreachKind kind, Seconds now, int relay, std::uint64_t message, EndpointId endpoint);
  void CheckRepeat(Seconds now, int relay, std::uint64_t id, const Message& message, EndpointId endpoint);
  void CheckOrder(Seconds now, int relay, std::uint64_t id, const Message& message, EndpointId endpoint);
  void EraseIfDone(std::uint64_t id);
  std::string TraceOf(const Message& message) const;

  const Rules rules_;
  const std::vector<RequestClass> classes_;
  std::unordered_map<std::uint64_t, Message> messages_;
  std::set<std::pair<Seconds, std::uint64_t>> deadlines_;
  // By origin, of messages that aren't idempotent: when the first run was, and under which message id.
  std::unordered_map<std::uint64_t, std::pair<Seconds, std::uint64_t>> first_run_;
  long client_duplicates_ = 0;
  std::unordered_map<EndpointId, EndpointInfo> endpoints_;
  std::map<std::pair<int, EndpointId>, Seconds> drains_received_at_;  // by relay
  // By relay and route: when it was received, and when it ends.
  std::map<std::pair<int, std::uint64_t>, std::pair<Seconds, Seconds>> retry_afters_;
  std::map<std::uint64_t, std::map<int, Seconds>>
      informed_relays_;  // by route and relay: when it last observed one
  std::map<std::uint64_t, std::deque<RecoveryCall>> recovery_calls_;  // by route, within overload_window
  std::map<int, Seconds> extended_until_;                             // by relay
  std::map<std::pair<int, std::uint64_t>, KeyQueue> key_queues_;      // by relay and ordering key
  int fleet_size_ = 0;
  std::map<int, double> shares_;  // by relay, of the running ones
  std::vector<Breach> breaches_;
};

}  // namespace opalroute::lab
