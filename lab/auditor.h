// Watches both sides of a run and reports each broken rule with its trace. Pure: it is told facts, in the
// order of time, and knows nothing of how a relay decides. docs/lab.md names the rules' sources.
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
  kTwoAnswers,     // a message that was over was ended again
  kNoAnswer,       // not over when its time was up, and some
  kAfterEnd,       // sent though it was over
  kUnsafeRepeat,   // an at-most-once message sent though an earlier call may have run
  kKeyedRepeat,    // a keyed one sent after its window, though an earlier call may have run
  kRanTwice,       // an at-most-once message took effect twice
  kKeyRanTwice,    // a keyed one did, outside the window in which the partner drops repeats
  kUnsafeRefused,  // the client was told that it may come again, though a call may have run
  kInWait,         // sent to a lane in a wait that this relay was told
  kDrained,        // sent to an endpoint longer after its drain was told than allowed
  kForeign,        // sent to an endpoint of another destination, or one that no list has named
  kPushedOver,     // a returning lane fell over, two thirds of it by relays that had seen the outage
  kOverParts,      // relays together hold more than a whole and one part
  kStalled,        // a client that stopped in its request heard no end in time
  kClosed,         // a request was read, and its connection closed with no answer
  kNotReady,       // over one in ten restarted processes was not ready in time
  kUntried,        // over half of what restarts found untried in good time ended early with no call
  kOutOfTurn       // sent though an earlier one of its key was not over, or the key had to rest
};
const char* NameOf(BreachKind kind);

struct Breach {
  BreachKind kind{};
  Seconds at = 0;
  int relay = -1;
  std::uint64_t message = 0;
  EndpointId endpoint = 0;
  std::string trace;  // what happened before, one line
};

class Auditor {
 public:
  struct Rules {
    Seconds answer_slack = 0.07;  // past a message's time
    Seconds drain_grace = 2;
    Seconds wait_grace = 0;  // calls that arrive so soon after a wait was told had left before
    double informed_part = 2.0 / 3;
    Seconds overload_for = 2;
    Seconds key_rest = 0;  // after an attempt that may still run, for the messages behind it
  };
  Auditor(const Rules& rules, std::vector<RequestClass> classes)
      : rules_(rules), classes_(std::move(classes)) {}

  // `origin`: the same for all handings-in of one message of a client.
  void Taken(Seconds now, int relay, std::uint64_t message, std::uint64_t origin, int message_class,
             DestinationId destination, Seconds deadline);
  // A message that was just taken goes in turn with the others of this key at its relay.
  void InOrder(std::uint64_t message, std::uint64_t key);
  // Withdrawn: the client got no answer in time, and nothing done under this id counts any more.
  enum class End { kDelivered, kRefused, kFailed, kWithdrawn };
  void Ended(Seconds now, std::uint64_t message, End end);
  void Sent(Seconds now, int relay, std::uint64_t message, EndpointId endpoint);
  // An attempt is over: whether it may have run. `attempt` counts as it was sent, from 0.
  void Over(std::uint64_t message, int attempt, bool may_have_run);
  // One of its attempts ended in a way that leaves it open whether it still runs.
  void MayStillRun(Seconds now, std::uint64_t message);
  void Ran(Seconds now, std::uint64_t message);  // at the partner
  // A client's connection was closed after its request, without an answer.
  void ClosedUnanswered(Seconds now, int relay, std::uint64_t message);
  void Stalled(Seconds now, int relay);
  // At the end of a run, of all restarts together.
  struct Restarts {
    int ready = 0, late = 0;  // processes; late: not ready in time
    int untried = 0,
        untried_ended = 0;  // messages that they found, and those of them that ended with no call
  };
  void Restarted(Seconds now, const Restarts& restarts);
  // The time of each message is checked once it is past.
  void Until(Seconds now);

  void Listed(EndpointId endpoint, DestinationId destination, std::uint64_t lane);
  void ToldDrain(Seconds now, int relay, EndpointId endpoint);
  void ToldWait(Seconds now, int relay, std::uint64_t lane, Seconds wait);
  void SawOutage(int relay, std::uint64_t lane);  // a call or probe failed, or was refused, while it lasted
  void ReachedCold(Seconds now, int relay, std::uint64_t lane, bool fell_over);
  // Ends its waits and what it knew. What it held may be answered late until `excused`.
  void RelayDied(int relay, Seconds excused);
  // Its next process is ready: what it holds may be answered late until `excused` and no longer.
  void RelayReady(int relay, Seconds excused) { excused_[relay] = excused; }
  // A tier of so many relays, each of which holds a part of every limit; 0: nobody looks.
  void Tier(int size) { tier_size_ = size; }
  void ToldParts(Seconds now, int relay, double parts);  // its process takes one of so many
  void LostParts(Seconds now, int relay);                // it has ended
  void Excuse(int relay, Seconds until);                 // nothing that it holds is overdue before

  const std::vector<Breach>& breaches() const { return breaches_; }
  int Count(BreachKind kind) const;
  long client_doubles() const { return client_doubles_; }  // keyed ones, by a client that came again too late
  std::size_t open() const { return messages_.size(); }

 private:
  struct Attempt {
    Seconds sent;
    EndpointId endpoint;
    bool out = true, may_have_run = true;
  };
  struct Message {
    int relay, message_class;
    std::uint64_t origin;
    DestinationId destination;
    Seconds deadline;
    bool over = false;
    std::vector<Attempt> attempts;
    std::uint64_t key = 0;  // of its order; 0: none
  };
  struct KeyLine {
    std::deque<std::uint64_t> messages;  // as they were taken
    Seconds rest_until = 0;
    std::uint64_t rested_by = 0;
  };
  struct Place {
    DestinationId destination;
    std::uint64_t lane;
  };
  struct Weighed {
    Seconds at;
    int relay;
    bool informed;
  };
  void Report(BreachKind kind, Seconds now, int relay, std::uint64_t message, EndpointId endpoint);
  void CheckRepeat(Seconds now, int relay, std::uint64_t id, const Message& message, EndpointId endpoint);
  void CheckTurn(Seconds now, int relay, std::uint64_t id, const Message& message, EndpointId endpoint);
  void ForgetIfDone(std::uint64_t id);
  std::string TraceOf(const Message& message) const;

  const Rules rules_;
  const std::vector<RequestClass> classes_;
  std::unordered_map<std::uint64_t, Message> messages_;
  std::set<std::pair<Seconds, std::uint64_t>> deadlines_;
  // By origin, of keyed and unsafe ones: when, and by which handing-in.
  std::unordered_map<std::uint64_t, std::pair<Seconds, std::uint64_t>> first_run_;
  long client_doubles_ = 0;
  std::unordered_map<EndpointId, Place> places_;
  std::map<std::pair<int, EndpointId>, Seconds> drains_;
  std::map<std::pair<int, std::uint64_t>, std::pair<Seconds, Seconds>> waits_;  // told at, until
  std::map<std::uint64_t, std::set<int>> informed_now_;
  std::map<std::uint64_t, std::deque<Weighed>> cold_;
  std::map<int, Seconds> excused_;
  std::map<std::pair<int, std::uint64_t>, KeyLine> key_lines_;  // by relay and key
  int tier_size_ = 0;
  std::map<int, double> parts_;  // by relay, of those that run
  std::vector<Breach> breaches_;
};

}  // namespace opalroute::lab
