// The interface of opalroute: what a courier is told, what it answers, and the Courier itself.
//
// One Courier serves one courier process. It is not thread-safe: call it from one thread at a time.
// It owns everything it knows; events and actions are plain values. Times are seconds on one clock
// that never goes back; that clock is the only one there is. Events go in as they happen; TurnEnd
// says that nothing more has come for now, and sends leave only then, so that messages for one
// endpoint can share a call. Outcomes of attempts, ends and timers that are no longer known are
// passed over. Nothing throws on the content of an event and nothing is printed.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace opalroute {

using Seconds = double;
using MessageId = std::uint64_t;
using EndpointId = std::uint32_t;
using DestinationId = std::int64_t;

// ---- settings ------------------------------------------------------------------------------

enum class Effect { kSafe, kKeyed, kUnsafe };  // what a repeat does
enum class KeyGroup {
  kAll,
  kDestination,
  kZone
};                                         // whose endpoints drop a repeat (kAll: refusal allowed too)
enum class LateWorth { kEven, kHalving };  // how worth falls after the aim
enum class RatingMeaning { kNone, kExact, kRough };  // how well listed ratings tell the limit

struct MessageClass {
  Effect effect{};
  KeyGroup group{};
  Seconds key_window{};  // keyed: how long a key is remembered
  Seconds aim{};         // full worth inside this
  Seconds deadline{};    // no worth after this
  double late_share{};   // share of the worth left at the deadline
  double worth{};
  bool in_order{};  // messages of one key go one at a time
};

struct Tenant {
  double allowance{};  // messages a second within its share, from all couriers
};

struct Kind {
  bool routes_apart{};  // endpoints have limits and outages of their own
  int bundle{};         // messages that may share a call
};

struct Settings {
  std::vector<MessageClass> classes;
  std::vector<Tenant> tenants;
  std::vector<Kind> kinds;
  int couriers{};  // how many there are, this one among them
  int slots{};     // calls out at once
  int room{};      // messages held at once
  int most_tries{};
  bool may_cancel{};
  bool may_copy{};
  bool may_probe{};
  bool may_advise_wait{};
  bool may_tell_peers{};
  bool ask_for_list{};  // the list comes only when asked for
  LateWorth late{};
  RatingMeaning rating{};
  double over_share_worth{};
  Seconds longest_wait{};  // the longest advice that a client heeds
  Seconds tick{};
  Seconds ask_within{};  // a courier that has not asked for the list for so long counts as told; 0: never
  // The endpoint list: a change binds so long after discovery had it, or after discovery has moved, whether
  // or not it has arrived; a watch brings a line at least every `list_heartbeat` (0: its end is always told).
  Seconds list_told_within = 6;
  Seconds list_told_after_move = 4;
  Seconds list_heartbeat = 0;
  Seconds drain_grace = 2;  // from hearing that an endpoint drains or went to the last new call (rule 3)
  Seconds overload_for{};
  double overload_factor{};
  double cold_from{};
  Seconds ramp_time{};
  std::optional<Seconds> key_rest;  // order by key: rest after an attempt that may still run
  std::uint64_t seed{};
};

// ---- events --------------------------------------------------------------------------------

enum class Listing { kInService, kDraining, kGone };
enum class ListScope { kWhole, kRemembered, kChanges, kRefused };
enum class Outcome {
  kServed,
  kError,
  kFull,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotSent,
  kCrowded,  // turned away for want of connections: neither a limit nor an outage
  kNotLeft   // this relay could not send it just now, for want of a socket or of room on its disk: it is no
             // try
};

struct ListEntry {
  EndpointId endpoint{};
  int zone{};
  int kind{};
  DestinationId destination{};
  Listing listing{};
  double rating{};
  std::uint32_t tag{};  // the endpoint's name to every courier alike; 0: it has none, and notes pass it over
};

struct ListUpdate {
  ListScope scope{};
  std::vector<ListEntry> entries;
  bool of_discovery =
      true;  // else from another source (operators, DNS), which says nothing of the list's age
};

// The watch has brought a line that names no change: the list is still current.
struct ListConfirmed {};
// Discovery is somewhere else now, and its watch has to be opened there.
struct ListMoved {};

struct NewMessage {
  MessageId message{};
  int message_class{};
  std::optional<int> tenant;
  std::string key;
  Seconds patience{};  // time left until it is given up
  DestinationId destination{};
};

// A message that this courier's process held when it ended, handed back to its successor. A call that was
// out then may have run: such a message goes on only as its class allows, and its attempts still count.
struct EarlierAttempt {
  EndpointId endpoint{};
  int zone{};
  Seconds age{};  // since it was sent
  bool may_have_run{};
};
struct Restored {
  NewMessage message;
  std::vector<EarlierAttempt> attempts;
};

struct LimitReport {
  std::optional<double> share_left;
  std::optional<double> calls_per_second;  // 0: no limit
};

struct AttemptOutcome {
  MessageId message{};
  int attempt{};
  EndpointId endpoint{};
  Outcome outcome{};
  Seconds duration{};
  Seconds wait{};  // told by a refusal; 0: none
  bool over{};     // the message has ended, by this or before
  LimitReport report;
};

struct AnswerBegun {  // streamed classes: the attempt now belongs to the client
  MessageId message{};
  int attempt{};
};

struct ProbeOutcome {
  EndpointId endpoint{};
  Outcome outcome{};
  Seconds duration{};
  LimitReport report;
};

struct Withdrawn {
  MessageId message{};
};
struct PeerNote {
  int from{};
  std::string bytes;
};
struct Wake {
  std::uint64_t label{};
};
// How many couriers share limits and cold budgets by now, in place of Settings::couriers: those that are
// there. 1 or more; more than the tier has where this one is to hold back.
struct TierSize {
  double parts = 1;
};
// What all couriers make of a zone together: this share of the ordinary sends goes there, from 0 to 1, where
// a destination has endpoints elsewhere. With 0 nothing goes there but a scout's trials; above 0 again all of
// the zone starts slowly.
struct ZoneShare {
  int zone{};
  double share = 1;
  bool scout = false;
};
struct Stopping {  // the process ends in so long: only what can come back before is still sent
  Seconds left{};
};
struct TurnEnd {};

// What a courier believes of a lane (a destination, or one endpoint where routes are apart), for another that
// knows nothing yet. Ages are those of the observations themselves, however often a belief was passed on.
struct Belief {
  DestinationId destination{};
  EndpointId endpoint{};              // of a route apart; 0: the destination as a whole
  Seconds wait{};                     // told and not over: the rest of it; 0: none
  std::optional<Seconds> out{};       // failing or shut: age of the latest bad outcome
  std::optional<Seconds> back{};      // starts slowly after an outage: since when
  std::optional<Seconds> served{};    // age of the latest served call
  std::optional<Seconds> refused{};   // age of the refusal that cut ...
  double pace{};                      // ... what a courier sends, in calls a second
  std::optional<Seconds> measured{};  // age of ...
  Seconds latency{};                  // ... the usual time of a call
  std::optional<Seconds> barred{};    // no copies: age of the refusal that barred them
};
// Beliefs of others, judged by their ages. They add care and never daring: a wait grows no shorter, no doubt
// or slow start ends sooner, and nothing is sent that would not be sent without them.
struct Learned {
  std::vector<Belief> beliefs;
};

using Event =
    std::variant<ListUpdate, ListConfirmed, ListMoved, NewMessage, Restored, AttemptOutcome, AnswerBegun,
                 ProbeOutcome, Withdrawn, PeerNote, Learned, TierSize, ZoneShare, Wake, Stopping, TurnEnd>;

// ---- actions -------------------------------------------------------------------------------

struct Send {
  MessageId message{};
  EndpointId endpoint{};
  Seconds until{};  // 0: until the client gives up
  // Danger: a repeat whose connection comes up late may find the window of its key over. Its first byte
  // leaves before this or never; infinite: whenever.
  Seconds leave_by = std::numeric_limits<Seconds>::infinity();
};
struct Refuse {
  MessageId message{};
  Seconds wait{};  // 0: no advice
};
struct Fail {
  MessageId message{};
};
struct Cancel {
  MessageId message{};
  int attempt{};
};
struct Probe {
  EndpointId endpoint{};
};
struct SetWake {
  Seconds at{};
  std::uint64_t label{};
};
// Opens a watch on the list. One that is open or being opened goes on until another one has brought the list.
struct WatchList {
  bool on{};
};
struct CloseConnections {
  EndpointId endpoint{};
};
struct TellPeers {
  std::optional<int> peer;  // none: all of them
  std::string bytes;
};
struct Log {
  std::string text;
};

using Action =
    std::variant<Send, Refuse, Fail, Cancel, Probe, SetWake, WatchList, CloseConnections, TellPeers, Log>;

// ---- the courier ---------------------------------------------------------------------------

class Courier {
 public:
  explicit Courier(const Settings& settings);
  ~Courier();
  Courier(Courier&&) noexcept;
  Courier& operator=(Courier&&) noexcept;
  Courier(const Courier&) = delete;
  Courier& operator=(const Courier&) = delete;

  // Takes one event at the time `now` and appends what is to be done, in order.
  void Handle(Seconds now, const Event& event, std::vector<Action>& actions);

  // Whether a send that has waited for its connection may still leave: no told wait and no drain came since.
  bool MayLeave(Seconds now, EndpointId endpoint) const;

  // What is believed of up to `most` destinations, from the number `from` on; `from` is then where to go on,
  // or nothing after the last.
  std::vector<Belief> Beliefs(Seconds now, std::optional<DestinationId>& from, int most) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace opalroute
