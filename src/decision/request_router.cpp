// The decision module: every decision of a courier, its tables and its tuned values. Interface: rules.h
// In the order of a message's life. An ordinary send is NetClone's rule (docs/design.md); else DEPARTURE.
#include "opalroute/request_router.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <queue>
#include <set>
#include <tuple>
#include <utility>

#include "decision/endpoint_list_lease.h"
#include "decision/route_gossip.h"
#include "decision/state.h"

namespace opalroute {
namespace {

// ---- tuned values: no unit means a plain ratio or count ----------------------------------------
constexpr double kCopyShare = 0.1;    // copies per first send of a destination, as the design has it
constexpr double kLatencyGain = 0.2;  // weight of the newest latency: about five calls are remembered
constexpr double kTimeoutSpread = 6;  // an attempt may take this many mean latencies: long calls are legal
constexpr double kTimeoutCap = 0.4;   // of a class's deadline: room for another attempt
constexpr int kFailuresToOpen = 3;    // failures in a row that open an endpoint's circuit
constexpr double kInformedPart = 2.0 / 3;  // of rule 4's budget: couriers that learnt break it with more
constexpr double kChance = 2;              // standard deviations kept free for chance under that part
constexpr double kTrialKept = 0.1;         // of overload_for: a due trial may wait so long for a slot
constexpr double kFirstTrial = 1.0 / 3;    // of that part: for the first trials, soon after the outage is met
constexpr int kBadToDoubt = 2;             // bad outcomes of a lane in a row that put it in doubt
constexpr int kBadIfServed = 4;            // the same where the lane served us within ramp_time
constexpr double kRefusalBackoff = 0.01;   // of overload_for, for each courier: the first after a refusal
constexpr double kMostBackoff = 0.7;       // of overload_for: that first backoff is no longer
constexpr double kPaceCut = 0.7;           // pace after a refusal, of an even share at most
constexpr double kPaceRegain = 0.4;        // of ramp_time: pace grows by an even share of the limit in this
constexpr double kLeastPaceShare = 0.2;    // of an even share of a known limit: pace never falls under it
constexpr double kPaceDepth = 0.2;     // of overload_for: pace that may leave at once; one cut in this span
constexpr double kSickSlots = 0.3;     // of the slots: at most so many in all endpoints that are slow or out
constexpr double kBundleWork = 0.2;    // of a call: what each further message of a bundle may add; not told
constexpr double kReclaimAfter = 1.5;  // patiences after which a call is thought lost
constexpr double kRoomKept = 0.05;     // of the room: kept free for newcomers
constexpr int kKeepers = 8;         // couriers that may all keep idle connections: a table is hardly smaller
constexpr double kCrowdedFor = 4;   // ramp_times after one was turned away: connections go when unused
constexpr double kWayKept = 0.1;    // of a key's window, at most: kept for a repeat's way, else a usual call
constexpr double kStopSpread = 2;   // usual latencies before the process ends: later a call is likely cut off
constexpr double kScouts = 3;       // couriers that try a zone that all have left
constexpr double kTenantBurst = 4;  // seconds of a tenant's allowance that may come at once

struct Lane {        // what has one limit: a destination, or a route where routes are apart
  double limit = 0;  // calls a second from all couriers; 0: not known
  double pace = kNever;
  TokenBucket bucket, warming;
  bool cold = false;  // out for all we know, or back for less than ramp_time: rule 4 binds all calls
  int bad = 0;        // failures and refusals since the last served call, one sent after the other
  Seconds last_served = -kNever, bad_at = -kNever, next_trial = -kNever;
  Seconds ramp_from = kNever;                           // the first served call after an outage
  Seconds held_until = -kNever, pause_until = -kNever;  // told to wait (rule 5); backoff of our own
  Seconds cut_at = -kNever;
  int refusals = 0;  // in a row
};

enum class Circuit { kClosed, kOpen, kHalfOpen };

struct Endpoint : ListedEndpoint {
  Lane* lane = nullptr;
  Lane own_lane;
  std::multiset<Seconds> out;             // send times of the calls that are out
  bool unmet = true, latest_good = true;  // good: the latest outcome was served within the aim
  Latency latency;
  Seconds last_served = -kNever, opened_at = 0, crowded_at = -kNever;  // crowded: short of connections
  Circuit circuit = Circuit::kClosed;
  bool probing = false, never_ran = false;  // never ran: the latest failure proved it of its call
  int failures = 0;                         // in a row
};

struct Destination {
  DestinationId id = 0;
  std::vector<Endpoint*> endpoints;  // ordered by id
  std::vector<Endpoint*> ready;      // what the group table was made of
  std::vector<std::pair<Endpoint*, Endpoint*>> groups;
  Lane lane;
  Latency latency;
  std::map<BucketKey, Line> waiting;  // messages that are alike for the choice of the next one, by age
  int waiting_count = 0, held = 0, calls_out = 0;
  long first_sends = 0, copies = 0;
  bool copies_barred = false;
  Seconds barred_at = -kNever;
  std::uint64_t last_turn = 0;
};

}  // namespace

class RequestRouter::Impl {
 public:
  explicit Impl(const Settings& settings) : s_(settings), random_(settings.seed), list_lease_(settings) {
    for (const RequestClass& c : s_.classes) longest_aim_ = std::max(longest_aim_, c.latency_objective);
    least_limit_.assign(s_.kinds.size(), kNever);
    for (const Tenant& tenant : s_.tenants)
      tenant_buckets_.push_back({kTenantBurst * tenant.quota / s_.relay_count, 0});
  }

  void Handle(Seconds now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    std::visit([this](const auto& e) { On(e); }, event);
  }

  bool MayLeave(Seconds now, EndpointId endpoint) const {
    const auto e = endpoints_.find(endpoint);
    return e != endpoints_.end() && e->second.status == EndpointStatus::kInService &&
           e->second.lane->held_until <= now;
  }

  std::vector<RouteState> Beliefs(Seconds now, std::optional<DestinationId>& from, int most) const {
    std::vector<RouteState> beliefs;
    auto it = from ? destinations_.lower_bound(*from) : destinations_.end();
    for (; it != destinations_.end() && most > 0; ++it, --most)
      for (const Endpoint* e : it->second.endpoints)
        if (IsApart(*e) || e == it->second.endpoints.front())
          beliefs.push_back(BeliefOf(it->second, *e, now));
    from = it == destinations_.end() ? std::nullopt : std::optional(it->first);
    return beliefs;
  }

 private:
  // ---- the list of endpoints ---------------------------------------------------------------

  void On(const ListUpdate& update) {
    if (update.from_discovery) list_lease_.Heed(update.scope, now_);
    if (update.scope == ListScope::kCached) RenewList();
    if (update.scope == ListScope::kWatchFailed) return;
    for (auto& [id, endpoint] : endpoints_) {  // what a whole list does not name is gone
      if (update.scope == ListScope::kChanges) break;
      endpoint.status = EndpointStatus::kRemoved;
      tended_.insert(id);
    }
    for (const ListedEndpoint& entry : update.entries) Place(entry);
  }

  void On(const ListConfirmed&) { list_lease_.Confirm(now_); }
  void On(const DiscoveryMoved&) { list_lease_.Moved(now_), RenewList(); }

  void RenewList() {
    if (list_lease_.TakeDueTry(now_)) actions_->push_back(WatchEndpointList{true});
    if (const auto expired = list_lease_.TakeChange(now_))
      actions_->push_back(Log{*expired ? "endpoint list not confirmed in time, the one held serves on"
                                       : "endpoint list is current again"});
  }

  void Place(const ListedEndpoint& entry) {
    auto [it, fresh] = endpoints_.try_emplace(entry.endpoint);
    Endpoint& e = it->second;
    static_cast<ListedEndpoint&>(e) = entry;
    Destination& d = destinations_[entry.destination];
    d.id = entry.destination;
    if (fresh) {
      const auto by_id = [](const Endpoint* a, const Endpoint* b) { return a->endpoint < b->endpoint; };
      d.endpoints.insert(std::upper_bound(d.endpoints.begin(), d.endpoints.end(), &e, by_id), &e);
    }
    if (e.status == EndpointStatus::kRemoved) tended_.insert(entry.endpoint);
    e.lane = s_.kinds[e.kind].limits_per_endpoint ? &e.own_lane : &d.lane;
    if (s_.listed_rate_accuracy != ListedRateAccuracy::kNone) LearnLimit(e, entry.listed_rate);
  }

  void LearnLimit(const Endpoint& e, double limit) {
    if (limit <= 0) return;
    Lane& lane = *e.lane;
    least_limit_[e.kind] = std::min(least_limit_[e.kind], limit);
    if (std::exchange(lane.limit, limit) <= 0) {
      const double start = limit / parts_;  // where that is no call in many seconds
      if (limit * s_.overload_window > s_.relay_count) lane.pace = std::min(lane.pace, start);
      lane.bucket = {1, std::max(lane.bucket.filled_at, now_)};
    }
    lane.pace = std::min(lane.pace, limit);
  }

  // Danger: an N-th of a limit is a call in many seconds. A share is never less than a call in overload_for.
  double EvenShare(const Lane& l) const { return l.limit > 0 ? l.limit / parts_ : 1 / s_.overload_window; }

  // ---- the tier ----------------------------------------------------------------------------

  void On(const FleetSize& told) { parts_ = std::max(1.0, told.share_count); }
  void On(const ZoneTrafficShare& told) {
    const double before = std::exchange(zones_[told.zone], told).traffic_share;
    for (auto& [id, e] : endpoints_) {
      if (e.zone != told.zone) continue;
      if (told.is_health_check_relay) Open(e, false);  // it is tried, and no more
      if (told.traffic_share <= 0)
        unused_.insert(id);  // what is kept may serve on while nothing new comes up
      if (before > 0 || told.traffic_share <= 0 || !IsApart(e)) continue;
      e.lane->cold = true;  // Danger: nobody has called it since, and all come back at this moment
      StartSlowly(*e.lane);
      if (e.circuit == Circuit::kOpen) e.circuit = Circuit::kHalfOpen;
    }
  }
  // Never the last zone of a destination: only where one that is left less seems to serve.
  bool IsLeft(const Destination& d, const Endpoint& e) {
    const ZoneTrafficShare order = zones_[e.zone];
    if (order.is_health_check_relay || order.traffic_share >= 1 ||
        (order.traffic_share > 0 && random_.Unit() < order.traffic_share))
      return false;
    return std::any_of(d.endpoints.begin(), d.endpoints.end(), [&](const Endpoint* o) {
      return o->status == EndpointStatus::kInService && !IsTrial(*o) &&
             zones_[o->zone].traffic_share > order.traffic_share;
    });
  }

  // ---- a message is taken ------------------------------------------------------------------

  void On(const NewRequest& taken) {
    Message& m = Admit(taken);
    m.over_share = taken.tenant && !TakeShare(*taken.tenant);
    LineUp(m);
  }

  // Danger: what was out when the process ended may have run. As attempts these bind the repeats (rule 2).
  void On(const RecoveredRequest& r) {
    Message& m = Admit(r.request);
    for (const EarlierAttempt& a : r.attempts)
      m.attempts.push_back({a.endpoint, a.zone, 0, now_ - a.age, false, a.may_have_run});
    LineUp(m);
  }

  Message& Admit(const NewRequest& taken) {
    const RequestClass& c = s_.classes[taken.request_class];
    Message& m = messages_[taken.request_id];
    static_cast<NewRequest&>(m) = taken;
    m.deadline = now_ + taken.remaining_time;
    m.handed_in = m.deadline - c.deadline;
    Destination& d = destinations_[m.destination];
    d.id = m.destination;
    ++d.held;
    ++held_;
    if (!c.ordered_by_key) m.key.clear();
    return m;
  }

  void LineUp(Message& m) {
    if (m.key.empty()) return Enqueue(m);
    keys_[m.key].line.push_back(m.request_id);
    m.where = Message::Where::kQueuedByKey;
    SetExpiry(m);
    AdvanceKey(std::string(m.key));
  }

  bool TakeShare(int tenant) {  // an even part of the allowance; what comes above it has little worth
    TokenBucket& bucket = tenant_buckets_[tenant];
    const double rate = s_.tenants[tenant].quota / parts_;
    bucket.Refill(now_, rate, kTenantBurst * rate);
    return bucket.TryTake();
  }

  // Rule 6: the head of a key's line may go once the rest after an attempt that may still run is over.
  void AdvanceKey(const std::string& key) {
    const auto it = keys_.find(key);
    if (it == keys_.end()) return;
    KeyQueue& queue = it->second;
    while (!queue.line.empty()) {
      const auto m = messages_.find(queue.line.front());
      if (m != messages_.end() && (!m->second.over || m->second.out > 0)) break;
      queue.line.pop_front();
    }
    Message* head = queue.line.empty() ? nullptr : &messages_.at(queue.line.front());
    if (head != nullptr && head->where != Message::Where::kQueuedByKey) return;
    if (queue.rest_until > now_) {
      key_rests_.insert({queue.rest_until, key});
    } else if (head != nullptr) {
      Enqueue(*head);
    } else {
      keys_.erase(it);
    }
  }

  // ---- a message waits ---------------------------------------------------------------------

  struct Bounds {  // where a repeat may go, and until when (rule 2); none: no other attempt is allowed
    int zone = -1;
    Seconds until = kNever;
  };
  std::optional<Bounds> BoundsOf(const Message& m) const {
    const RequestClass& c = s_.classes[m.request_class];
    if (c.idempotency == Idempotency::kIdempotent) return Bounds{};
    for (const Attempt& a : m.attempts) {
      if (!a.out && !a.may_have_run) continue;
      if (c.idempotency == Idempotency::kNonIdempotent) return std::nullopt;
      const Seconds usual = Usual(destinations_.at(m.destination)), most = kWayKept * c.deduplication_window;
      const Seconds way = usual > 0 ? std::min(usual, most) : most;
      return Bounds{c.deduplication_scope == DeduplicationScope::kZone ? a.zone : -1,
                    a.sent + c.deduplication_window - s_.tick - way};
    }
    return Bounds{};
  }

  bool MayRefuse(const Message& m) const {
    const RequestClass& c = s_.classes[m.request_class];
    const bool keyed_everywhere =
        c.idempotency == Idempotency::kIdempotencyKey && c.deduplication_scope == DeduplicationScope::kAll;
    return c.idempotency == Idempotency::kIdempotent || keyed_everywhere ||
           std::none_of(m.attempts.begin(), m.attempts.end(),
                        [](const Attempt& a) { return a.out || a.may_have_run; });
  }

  void Enqueue(Message& m) {
    const auto bounds = BoundsOf(m);
    if (!bounds || bounds->until <= now_ || m.TriesUsed() >= s_.max_attempts) {
      End(m);  // nothing more can be tried: the answer goes out at once
      return;
    }
    Destination& d = destinations_[m.destination];
    m.where = Message::Where::kWaiting;
    m.bucket = {m.request_class, m.over_share, bounds->zone};
    d.waiting[m.bucket].insert({m.handed_in, m.request_id});
    ++d.waiting_count;
    active_[d.id] = &d;
    SetExpiry(m);
  }

  void LeaveWaiting(Message& m) {
    if (m.where == Message::Where::kDelayed) delayed_.erase({m.not_before, m.request_id});
    if (m.where != Message::Where::kWaiting) return;
    Destination& d = destinations_[m.destination];
    const auto bucket = d.waiting.find(m.bucket);
    bucket->second.erase({m.handed_in, m.request_id});
    if (bucket->second.empty()) d.waiting.erase(bucket);
    if (--d.waiting_count == 0) active_.erase(d.id);
  }

  // A waiting message is given up when it could not be served in time; one that is out when time is up.
  void SetExpiry(Message& m) {
    Seconds at = m.deadline;
    if (m.out == 0) {
      const auto bounds = BoundsOf(m);
      at -= std::max(2 * s_.tick, std::min(Usual(destinations_[m.destination]),
                                           0.1 * s_.classes[m.request_class].deadline));
      if (bounds) at = std::min(at, bounds->until);
    }
    if (m.expiry < kNever) expiries_.erase({m.expiry, m.request_id});
    m.expiry = at;
    expiries_.insert({at, m.request_id});
  }

  Seconds Usual(const Destination& d) const { return (d.latency.mean > 0 ? d.latency : all_latency_).mean; }

  double WorthAt(const BucketKey& bucket, Seconds age) const {
    const RequestClass& c = s_.classes[std::get<0>(bucket)];
    const double worth = c.priority_weight * (std::get<1>(bucket) ? s_.over_quota_weight : 1);
    if (age <= c.latency_objective) return worth;
    if (age >= c.deadline) return 0;
    if (s_.late_decay == LateDecay::kHalving)
      return worth *
             std::max(c.weight_at_deadline, std::exp2(-(age - c.latency_objective) / c.latency_objective));
    return worth * (1 - (1 - c.weight_at_deadline) * (age - c.latency_objective) /
                            (c.deadline - c.latency_objective));
  }

  // The earliest that can still be served within its aim; else the freshest: it has most of its worth.
  std::pair<Seconds, RequestId> BestOf(const BucketKey& key, const Line& set, Seconds latency) const {
    const Seconds aim = s_.classes[std::get<0>(key)].latency_objective;
    const auto in_aim = set.lower_bound({now_ + latency - aim, 0});
    return in_aim != set.end() ? *in_aim : *set.rbegin();
  }

  // ---- turn end: what can leave now leaves ----------------------------------------------------

  void On(const BatchEnd&) {
    RenewList();
    while (!key_rests_.empty() && key_rests_.begin()->first <= now_) {
      const std::string key = key_rests_.begin()->second;
      key_rests_.erase(key_rests_.begin());
      AdvanceKey(key);
    }
    while (!delayed_.empty() && delayed_.begin()->first <= now_) {
      Message& m = messages_.at(delayed_.begin()->second);
      delayed_.erase(delayed_.begin());
      Enqueue(m);
    }
    while (!expiries_.empty() && expiries_.begin()->first <= now_)
      End(messages_.at(expiries_.begin()->second));
    MakeRoom();
    Seconds wake = Dispatch();
    TendEndpoints(wake);
    CloseUnused();
    wake = std::min(wake, list_lease_.next_try());
    if (!key_rests_.empty()) wake = std::min(wake, key_rests_.begin()->first);
    for (const Line* due : {&delayed_, &expiries_})
      if (!due->empty()) wake = std::min(wake, due->begin()->first);
    if (wake < kNever && (armed_ <= now_ || wake < armed_)) {
      armed_ = std::max(wake, now_ + s_.tick / 2);
      actions_->push_back(SetTimer{armed_, ++wake_label_});
    }
  }

  // Bulkhead for the room: the longest line loses its least worthy; an outage turns no other away.
  void MakeRoom() {
    const int most = s_.request_capacity - std::max(1, static_cast<int>(kRoomKept * s_.request_capacity));
    while (held_ > most && !active_.empty()) {
      const Destination* longest = active_.begin()->second;
      for (const auto& [id, d] : active_)
        if (d->waiting_count > longest->waiting_count) longest = d;
      std::pair<double, RequestId> least{kNever, 0};
      for (const auto& [key, set] : longest->waiting)
        least = std::min(least, {WorthAt(key, now_ - set.begin()->first), set.begin()->second});
      End(messages_.at(least.second));
    }
  }

  // Free slots rotate over the waiting destinations, fewest calls out first.
  Seconds Dispatch() {
    Seconds wake = kNever;
    if (!active_.empty() && FreeSlots() <= 0) ReclaimSlot();
    if (active_.empty() || FreeSlots() <= 0) return wake;
    using Turn = std::tuple<int, std::uint64_t, DestinationId, Destination*>;
    std::priority_queue<Turn, std::vector<Turn>, std::greater<>> line;
    for (const auto& [id, d] : active_) line.emplace(d->calls_out, d->last_turn, id, d);
    while (!line.empty() && FreeSlots() > 0) {
      Destination& d = *std::get<Destination*>(line.top());
      line.pop();
      const std::uint64_t before = last_call_;
      wake = std::min(wake, SendOne(d));
      if (last_call_ > before && d.waiting_count > 0) line.emplace(d.calls_out, d.last_turn, d.id, &d);
    }
    return wake;
  }

  static double BundleStretch(int messages) { return 1 + kBundleWork * (messages - 1); }

  int FreeSlots() const { return s_.concurrency_limit - Count(calls_); }

  // Danger: lost calls hold slots. With none free, the call out longest beyond reason is called off.
  void ReclaimSlot() {
    for (auto& [id, call] : calls_) {  // in the order sent
      Endpoint& e = endpoints_.at(call.endpoint);
      WatchForStall(e);
      const Seconds reason = kReclaimAfter * PatienceWith(e) * BundleStretch(Count(call.attempts));
      if (!s_.may_cancel || now_ - call.sent < reason || std::exchange(call.called_off, true)) continue;
      for (const auto& [m, attempt] : call.attempts) actions_->push_back(CancelAttempt{m, attempt});
      return;
    }
  }

  Seconds SendOne(Destination& d) {  // returns when it may be tried again, if nothing could leave
    Seconds wake = kNever;
    if (now_ + kStopSpread * Usual(d) >= stop_at_) return wake;  // the next process sends it
    std::vector<Endpoint*> ready;
    for (Endpoint* e : d.endpoints) {
      if (e->status != EndpointStatus::kInService) continue;  // rule 3: on the news, at once
      WatchForStall(*e);
      const Seconds wait = IsLeft(d, *e) ? s_.overload_window / 10 : WaitFor(*e);  // by then it is drawn anew
      if (wait > 0) {
        wake = std::min(wake, now_ + wait);
      } else if (e->circuit == Circuit::kOpen) {
        if (s_.may_health_check && !e->probing && !e->never_ran) continue;  // a probe goes instead
        if (MayHoldMore(*e) && BestBucket(d, {e}, true)) {
          SendCall(d, *e, nullptr);
          return kNever;
        }
      } else if (MayHoldMore(*e)) {
        ready.push_back(e);
      }
    }
    if (ready.empty()) return wake;
    const auto bucket = BestBucket(d, ready, false);
    if (!bucket) return wake;
    const auto [first, second] = DrawGroup(d, ready, std::get<2>(*bucket));
    SendCall(d, *first, second);
    return kNever;
  }

  Seconds WaitFor(Endpoint& e) {  // for the wait that it told, our backoff, our pace, the cold budget
    Lane& lane = *e.lane;
    const bool bound = IsBound(e);
    Seconds wait = std::max({0.0, lane.held_until - now_, bound ? 0 : lane.pause_until - now_});
    if (lane.pace < kNever) {
      const Seconds passed = now_ - lane.bucket.filled_at;
      if (lane.limit > 0)
        lane.pace = std::min(lane.limit,
                             lane.pace + EvenShare(lane) * passed / (kPaceRegain * s_.slow_start_duration));
      lane.bucket.Refill(now_, lane.pace, std::max(1.0, lane.pace * kPaceDepth * s_.overload_window));
      wait = std::max(wait, lane.bucket.TimeUntilToken(lane.pace));
    }
    if (bound && !IsTrial(e)) {
      const double rate = WarmingRate(e);
      lane.warming.Refill(now_, rate, 1);
      wait = std::max(wait, lane.warming.TimeUntilToken(rate));
    } else if (bound) {
      if (lane.next_trial < now_ - kTrialKept * s_.overload_window)  // unused, it lapses: none is saved
        lane.next_trial = now_ + wait + TrialGap(e) * random_.Unit();
      wait = std::max(wait, lane.next_trial - now_);
    }
    return wait;
  }

  // Danger: rule 4 counts a courier after one bad outcome; it may be a full limit. docs/design.md, 'Doubt'.
  bool IsBound(Endpoint& e) {
    Lane& lane = *e.lane;
    const bool may_be_out = lane.bad >= kBadToDoubt && lane.last_served <= now_ - s_.overload_window;
    if (may_be_out && lane.bad >= EnoughToDoubt(e)) {
      if (!std::exchange(lane.cold, true)) TrySoon(lane);
      lane.ramp_from = kNever;
    }
    if (now_ - lane.ramp_from >= s_.slow_start_duration) {
      lane.cold = false;
      if (e.circuit == Circuit::kHalfOpen) e.circuit = Circuit::kClosed;
    }
    return lane.cold || e.circuit != Circuit::kClosed;
  }

  int EnoughToDoubt(const Endpoint& e) const {
    if (e.lane->last_served > now_ - s_.slow_start_duration) return kBadIfServed;
    const double own = ColdSum(e, s_.slow_start_initial_share) * s_.overload_window / parts_;
    return std::min(kBadIfServed, kBadToDoubt + static_cast<int>(std::lround(own)));
  }

  static bool InDoubt(const Lane& lane) { return lane.cold && lane.ramp_from == kNever; }
  static bool IsTrial(const Endpoint& e) { return e.circuit == Circuit::kOpen || InDoubt(*e.lane); }

  // It may be a false alarm, so the first trial comes soon; docs/design.md, 'Doubt', on how soon.
  void TrySoon(Lane& lane) {
    const double part = kFirstTrial * kInformedPart * s_.overload_factor * s_.slow_start_initial_share;
    lane.next_trial = now_ + 2 * part * s_.overload_window * random_.Unit();
  }

  // Danger: none sees the others or the return. What all may send: docs/design.md, 'Return'.
  double ColdSum(const Endpoint& e, double share) const {
    double limit = e.lane->limit > 0 ? e.lane->limit : least_limit_[e.kind];
    if (limit == kNever) limit = 1 / s_.overload_window;
    const double part = std::min(1.0, kInformedPart * parts_ / std::max(1.0, parts_ - 1.0));
    const double budget = part * s_.overload_factor * share * limit * s_.overload_window;
    const double chance = kChance / 2 * std::sqrt(1 - 1 / parts_);
    const double root = std::sqrt(chance * chance + budget) - chance;
    const double spaced = budget - kChance / 2 * std::sqrt(parts_ - 1);  // each one's calls are
    return std::max(root * root, spaced) / ((1 + kTrialKept) * s_.overload_window);
  }

  // Of that at its coldest each courier tries an even part of this share, at a drawn moment that lapses.
  double TrialPart() const { return (1 + 1 / parts_) / 2; }
  Seconds TrialGap(const Endpoint& e) {  // silence alone, without a failure or refusal, binds nobody
    const double tried_by = zones_[e.zone].is_health_check_relay ? std::min(kScouts, parts_) : parts_;
    const Seconds gap = tried_by / (TrialPart() * ColdSum(e, s_.slow_start_initial_share));
    return e.lane->bad > 0 ? gap : std::min(gap, s_.overload_window);
  }

  // Slow start, by the courier's own clock, which runs late: docs/design.md, 'Return'.
  double WarmingRate(const Endpoint& e) const {
    const double warm = std::clamp((now_ - e.lane->ramp_from) / s_.slow_start_duration, 0.0, 1.0);
    const double share = s_.slow_start_initial_share + (1 - s_.slow_start_initial_share) * warm;
    if (AllHear(*e.lane)) return kInformedPart * s_.overload_factor * share * e.lane->limit / parts_;
    const double even = ColdSum(e, share) / parts_;
    return std::max(TrialPart() * even, (ColdSum(e, 1) / ColdSum(e, s_.slow_start_initial_share) - 1) /
                                            (TrialPart() * s_.slow_start_duration));
  }
  bool AllHear(const Lane& l) const { return s_.may_gossip && s_.relay_count > kKeepers && l.limit > 0; }
  void StartSlowly(Lane& lane) {
    lane.bad = 0;
    lane.ramp_from = now_;
    lane.warming = {AllHear(lane) ? random_.Unit() : 1 / TrialPart() - 1, now_};
  }

  // Nothing has come back for much longer than usual, whatever the cause: no more calls until something does.
  void WatchForStall(Endpoint& e) {
    if (e.circuit != Circuit::kClosed || e.out.empty()) return;
    const Seconds oldest = *e.out.begin();
    const Seconds patience = PatienceWith(e) * BundleStretch(s_.kinds[e.kind].max_batch / 2);
    if (e.last_served < oldest && now_ - oldest > patience) Open(e, false);
  }

  Seconds PatienceWith(const Endpoint& e) const {
    const Seconds usual = e.latency.mean > 0 ? e.latency.mean : Usual(destinations_.at(e.destination));
    return usual > 0 ? kTimeoutSpread * usual : longest_aim_;
  }

  // Those that are slow or out share a part of the slots evenly, each at least a call: else none recovers.
  bool IsSick(const Endpoint& e) const { return e.circuit != Circuit::kClosed || !e.latest_good; }
  bool MayHoldMore(const Endpoint& e) const {
    if (!IsSick(e)) return true;
    std::set<EndpointId> sick;
    for (const auto& [id, call] : calls_)
      if (IsSick(endpoints_.at(call.endpoint))) sick.insert(call.endpoint);
    const auto live = std::distance(e.out.upper_bound(now_ - kReclaimAfter * PatienceWith(e)), e.out.end());
    return live < std::max(1, static_cast<int>(kSickSlots * s_.concurrency_limit) / std::max(1, Count(sick)));
  }

  // The most worthy; of equals, whose aim ends first. A trial prefers what may be repeated.
  std::optional<BucketKey> BestBucket(const Destination& d, const std::vector<Endpoint*>& ready, bool trial) {
    std::optional<BucketKey> best;
    std::tuple<bool, double, Seconds> best_rank;
    const Seconds latency = Usual(d);
    for (const auto& [key, line] : d.waiting) {
      const int zone = std::get<2>(key);
      const auto inside = [zone](const Endpoint* e) { return zone < 0 || e->zone == zone; };
      if (std::none_of(ready.begin(), ready.end(), inside)) continue;
      const RequestClass& c = s_.classes[std::get<0>(key)];
      const Seconds handed_in = BestOf(key, line, latency).first;
      const std::tuple rank(!trial || c.idempotency != Idempotency::kNonIdempotent,
                            WorthAt(key, now_ + latency - handed_in), -(handed_in + c.latency_objective));
      if (best && rank <= best_rank) continue;
      best = key;
      best_rank = rank;
    }
    return best;
  }

  // NetClone's group table, made anew with the ready set. DEPARTURE: a keyed repeat stays in its zone.
  std::pair<Endpoint*, Endpoint*> DrawGroup(Destination& d, std::vector<Endpoint*> ready, int zone) {
    const auto outside = [zone](const Endpoint* e) { return zone >= 0 && e->zone != zone; };
    ready.erase(std::remove_if(ready.begin(), ready.end(), outside), ready.end());
    if (zone >= 0 || ready.size() == 1) return {ready[random_.Below(ready.size())], nullptr};
    if (ready != d.ready) {
      d.ready = ready;
      d.groups.clear();
      for (Endpoint* a : ready)
        for (Endpoint* b : ready)
          if (a != b) d.groups.push_back({a, b});
    }
    return d.groups[random_.Below(d.groups.size())];
  }

  // ---- a call is sent ------------------------------------------------------------------------

  bool LooksIdle(const Endpoint& e) const { return e.out.empty() && (e.unmet || e.latest_good); }

  void SendCall(Destination& d, Endpoint& first, Endpoint* second) {
    const bool both_idle = second != nullptr && LooksIdle(first) && LooksIdle(*second);
    const std::uint64_t call = OpenCall(d, first);
    std::vector<Message*> sent;
    const bool trial = IsTrial(first);  // DEPARTURE: one message alone tries it
    const int bundle = trial ? 1 : std::max(1, s_.kinds[first.kind].max_batch);
    while (Count(sent) < bundle) {
      const auto key = BestBucket(d, {&first}, trial && !first.never_ran);
      if (!key) break;
      sent.push_back(&messages_.at(BestOf(*key, d.waiting.at(*key), Usual(d)).second));
      LeaveWaiting(*sent.back());
      if (sent.back()->attempts.empty()) ++d.first_sends;
    }
    for (Message* m : sent) SendMessage(*m, first, call, BundleStretch(Count(sent)));
    first.lane->warming.tokens -= BundleStretch(Count(sent)) - 1;
    if (!both_idle || !s_.may_hedge || active_.size() > 0 || d.copies_barred || FreeSlots() < 1) return;
    if (IsBound(*second) || WaitFor(*second) > 0) return;
    std::uint64_t copy_call = 0;
    for (Message* m : sent) {
      const RequestClass& c = s_.classes[m->request_class];
      if (c.idempotency == Idempotency::kNonIdempotent || m->attempts.size() > 1 || s_.max_attempts < 2)
        continue;
      if (c.idempotency == Idempotency::kIdempotencyKey &&
          c.deduplication_scope == DeduplicationScope::kZone && second->zone != first.zone)
        continue;
      if (static_cast<double>(d.copies + 1) > kCopyShare * static_cast<double>(d.first_sends)) break;
      if (copy_call == 0) copy_call = OpenCall(d, *second);
      ++d.copies;
      SendMessage(*m, *second, copy_call, BundleStretch(Count(sent)));
    }
  }

  std::uint64_t OpenCall(Destination& d, Endpoint& e) {
    const std::uint64_t call = ++last_call_;
    calls_[call] = {e.endpoint, now_, 0, false, false, {}};
    ++d.calls_out;
    d.last_turn = call;
    e.out.insert(now_);
    Charge(e);
    return call;
  }

  void Charge(Endpoint& e) {  // a call or a probe: both count for the limit and while it is cold
    if (e.lane->pace < kNever) e.lane->bucket.tokens -= 1;
    if (IsTrial(e)) e.lane->next_trial = now_ + TrialGap(e) * random_.Jitter();
    e.lane->warming.tokens -= 1;
  }

  void SendMessage(Message& m, Endpoint& e, std::uint64_t call, double stretch) {
    ++calls_[call].messages;
    calls_[call].attempts.push_back({m.request_id, Count(m.attempts)});
    m.attempts.push_back({e.endpoint, e.zone, call, now_});
    ++m.out;
    m.where = Message::Where::kOut;
    const Seconds leave_by = BoundsOf(m).value_or(Bounds{}).until;  // rule 2 binds its first byte
    actions_->push_back(Send{m.request_id, e.endpoint, TimeoutFor(m, e, stretch), leave_by});
    SetExpiry(m);
  }

  // Each further attempt gets twice the time: long messages stay long. A time-out ends all for an unsafe one.
  Seconds TimeoutFor(const Message& m, const Endpoint& e, double stretch) const {
    const RequestClass& c = s_.classes[m.request_class];
    if (c.idempotency == Idempotency::kNonIdempotent || m.TriesUsed() >= s_.max_attempts) return 0;
    const Seconds patience = PatienceWith(e) * stretch * std::exp2(m.timeouts);
    const Seconds until = now_ + std::min(patience, kTimeoutCap * c.deadline);
    return until < m.deadline ? until : 0;
  }

  // ---- an outcome comes ------------------------------------------------------------------------

  void On(const AttemptOutcome& r) {
    const auto it = messages_.find(r.request_id);
    if (it == messages_.end()) return;
    Message& m = it->second;
    if (r.attempt < 0 || r.attempt >= Count(m.attempts)) return;
    Attempt& a = m.attempts[r.attempt];
    if (!std::exchange(a.out, false)) return;
    a.may_have_run = !ProvesNeverRan(r.outcome);
    if (r.outcome == Outcome::kLocalShortage) ++m.not_left;
    --m.out;
    Call& call = calls_.at(a.call);
    const bool news = !std::exchange(call.judged, true);
    const int bundle = Count(call.attempts);
    Endpoint& e = endpoints_.at(a.endpoint);  // kept while a call is out there
    if (--call.messages == 0) {
      calls_.erase(a.call);
      --destinations_[m.destination].calls_out;
      e.out.erase(e.out.find(a.sent));
    }
    Judge(e, m, r, news, bundle);
    if (e.out.empty() &&
        ((s_.relay_count > kKeepers && !s_.may_gossip) || zones_[e.zone].traffic_share <= 0 ||
         now_ - e.crowded_at < kCrowdedFor * s_.slow_start_duration))
      unused_.insert(e.endpoint);
    if (r.outcome == Outcome::kTimeout) ++m.timeouts;
    if (s_.ordered_key_pause && !m.key.empty() && MayStillRun(r.outcome)) {
      Seconds& rest = keys_[m.key].rest_until;
      rest = std::max(rest, now_ + *s_.ordered_key_pause);
    }
    if (m.over) {
      Forget(m);
    } else if (r.request_ended) {
      Close(m);
    } else if (m.out == 0) {  // a failed attempt awaits its copy
      Retry(m, r.outcome);
    }
  }

  void Retry(Message& m, Outcome last) {  // backoff with jitter, but where a lane's own has kept it back
    if (now_ >= m.deadline - 2 * s_.tick || !BoundsOf(m)) return End(m);  // the answer goes out at once
    if (IsRetriedAtOnce(last)) return Enqueue(m);
    const Seconds shortage = last == Outcome::kLocalShortage ? kShortageTicks * s_.tick : 0;
    const Seconds usual = std::max(shortage, Usual(destinations_[m.destination]));
    const Seconds backoff = std::max(s_.tick, usual * std::exp2(std::min(Count(m.attempts), 5) - 3));
    m.where = Message::Where::kDelayed;
    m.not_before = now_ + backoff * random_.Jitter();
    delayed_.insert({m.not_before, m.request_id});
    SetExpiry(m);
  }

  // Danger: a bundle has one fate; it counts as one failure or refusal of its endpoint and lane, not as many.
  void Judge(Endpoint& e, const Message& m, const AttemptOutcome& r, bool news, int bundle) {
    Destination& d = destinations_[e.destination];
    LearnLimit(e, r.load_report.calls_per_second.value_or(0));
    if (r.retry_after > 0)
      e.lane->held_until = std::max(e.lane->held_until, now_ + r.retry_after + s_.tick);  // rule 5
    const Seconds single = r.duration / BundleStretch(bundle);
    if (r.outcome == Outcome::kServed) {
      e.unmet = false;
      e.latest_good = r.duration <= s_.classes[m.request_class].latency_objective;
      for (Latency* l : {&e.latency, &d.latency, &all_latency_}) l->Add(single, kLatencyGain, now_);
      d.copies_barred = false;
      Served(e, now_ - r.duration);
    } else if (r.outcome == Outcome::kRejected && news) {
      e.unmet = e.latest_good = false;
      d.copies_barred = true;
      d.barred_at = now_;
      Refused(e, r.retry_after, now_ - r.duration);
    } else if (r.outcome == Outcome::kOutOfConnections) {
      e.unmet = e.latest_good = false;
      if (Crowd(e) && s_.relay_count > kKeepers) TellOthers(e, RouteGossip::Kind::kOutOfConnections);
    } else if (news && !IsInconclusive(r.outcome)) {
      if (r.outcome == Outcome::kTimeout)
        e.latency.Add(single, kLatencyGain, now_);  // the next time-out is wider
      Failed(e, r.outcome == Outcome::kConnectFailed, now_ - r.duration);
    }
  }

  void Served(Endpoint& e, Seconds sent) {
    Lane& lane = *e.lane;
    e.last_served = now_;
    e.failures = 0;
    lane.refusals = 0;
    if (lane.limit <= 0) lane.pace *= 1.05;  // no limit is known: probe upwards
    IsBound(e);                              // brings doubt up to date
    // Danger: what hung, or was out as a lane shut, is served late, to many at once. It clears no doubt.
    if (sent < lane.bad_at && (InDoubt(lane) || lane.held_until > now_ + s_.overload_window)) return;
    const bool back = (lane.cold || (lane.bad > 0 && now_ - e.opened_at >= s_.overload_window)) && IsTrial(e);
    lane.bad = 0;
    lane.last_served = now_;
    if (back) StartSlowly(lane);
    if (back) TellOthers(e, RouteGossip::Kind::kRecovered);
    if (e.circuit != Circuit::kOpen) return;
    e.circuit = back ? Circuit::kHalfOpen : Circuit::kClosed;
    Note(e, back ? "served again, slow start" : "served again, circuit closed");
    for (Endpoint* other : destinations_[e.destination].endpoints)  // those that were only suspected
      if (other->lane == &lane && other->failures == 0 && other->circuit == Circuit::kOpen)
        other->circuit = e.circuit;
  }

  void CountBad(Lane& lane, Seconds sent) {
    if (sent >= lane.bad_at) ++lane.bad;  // those out together are one piece of evidence
    lane.bad_at = now_;
  }

  void Refused(Endpoint& e, Seconds wait, Seconds sent) {
    Lane& lane = *e.lane;
    CountBad(lane, sent);
    // Danger: all whom a lane refused come back as the same wait ends: backoff with jitter doubles each time.
    const Seconds first = std::max(std::min(kMostBackoff, kRefusalBackoff * parts_) * s_.overload_window,
                                   lane.limit > 0 ? 0.5 / lane.limit : 0);
    const Seconds backoff = std::min(s_.slow_start_duration, first * std::exp2(lane.refusals++));
    lane.pause_until =
        std::max(lane.pause_until, std::max(now_, lane.held_until) + backoff * random_.Jitter());
    if (CutPace(lane)) TellOthers(e, RouteGossip::Kind::kRejected);
    if (wait > s_.overload_window)
      lane.bad += kBadIfServed;  // Danger: shut looks like a full limit, for longer
  }

  bool CutPace(Lane& lane) {  // once in a span: what was out together is one piece of news
    lane.bucket.tokens = std::min(lane.bucket.tokens, 1.0);
    if (now_ - lane.cut_at <= kPaceDepth * s_.overload_window) return false;
    const double even = EvenShare(lane);
    const double from = std::min(lane.pace, std::max(1.0, even));
    lane.pace = std::max(kPaceCut * from, kLeastPaceShare * even);
    lane.cut_at = now_;
    return true;
  }

  // Danger: else each of hundreds learns of it by a call of its own; these alone keep a lane full, or cold.
  // Cut off from one another, though, each would tell all: it keeps to its part of one a span and endpoint.
  void TellOthers(const Endpoint& e, RouteGossip::Kind kind) {
    notes_.Refill(now_, Count(endpoints_) / (s_.relay_count * kPaceDepth * s_.overload_window), 2);
    if (!s_.may_gossip || s_.relay_count <= 1 || !notes_.TryTake()) return;
    actions_->push_back(
        SendGossip{{}, EncodeRouteGossip({kind, e.destination, IsApart(e) ? e.name_hash : 0})});
  }

  void On(const GossipReceived& told) {
    const auto note = DecodeRouteGossip(told.payload);
    const auto d = note ? destinations_.find(note->destination) : destinations_.end();
    if (d == destinations_.end()) return;
    for (Endpoint* e : d->second.endpoints) {
      if (note->name_hash != (IsApart(*e) ? e->name_hash : 0)) continue;
      if (note->kind == RouteGossip::Kind::kRejected) CutPace(*e->lane);
      if (note->kind == RouteGossip::Kind::kOutOfConnections && Crowd(*e)) unused_.insert(e->endpoint);
      if (note->kind != RouteGossip::Kind::kRecovered || !IsTrial(*e)) continue;
      if (e->lane->ramp_from != now_) StartSlowly(*e->lane);
      if (e->circuit == Circuit::kOpen) e->circuit = Circuit::kHalfOpen;
    }
  }

  void Failed(Endpoint& e, bool never_ran, Seconds sent) {
    CountBad(*e.lane, sent);
    e.unmet = e.latest_good = false;
    e.never_ran = never_ran;
    // Danger: hundreds find out by failed calls. Where nothing was served of late one opens; a trial closes.
    const Seconds of_late = now_ - 2 * s_.overload_window;
    if (++e.failures < kFailuresToOpen && e.circuit == Circuit::kClosed && e.last_served > of_late) return;
    Open(e, true);
    for (Endpoint* other : destinations_[e.destination].endpoints)  // an outage mostly takes all of a lane
      if (other->lane == e.lane && other->last_served <= of_late) Open(*other, true);
  }

  void Note(const Endpoint& e, const char* state) {
    actions_->push_back(Log{"destination " + std::to_string(e.destination) + ", endpoint " +
                            std::to_string(e.endpoint) + ": " + state});
  }

  void Open(Endpoint& e, bool failed) {
    if (e.circuit == Circuit::kOpen) return;
    if (!IsBound(e)) TrySoon(*e.lane);
    e.opened_at = now_;
    e.circuit = Circuit::kOpen;
    tended_.insert(e.endpoint);
    Note(e, failed ? "circuit open, calls fail" : "circuit open, nothing comes back");
  }

  // ---- probes, and endpoints that go -----------------------------------------------------------

  void TendEndpoints(Seconds& wake) {  // those gone or out, and no others: hundreds are not walked
    for (auto it = tended_.begin(); it != tended_.end();) {
      Endpoint& e = endpoints_.at(*it);
      const bool gone = e.status == EndpointStatus::kRemoved;
      const bool done = gone ? e.out.empty() && !e.probing : e.circuit != Circuit::kOpen;
      if (!done && !gone) ProbeIfDue(e, wake);
      if (done && gone) Drop(e);
      it = done ? tended_.erase(it) : std::next(it);
    }
  }

  // Danger: idle connections of many fill a table. Once one was turned away, they go with their last call.
  bool Crowd(Endpoint& e) {  // whether that is news: those that start later know nothing of it
    return now_ - std::exchange(e.crowded_at, now_) > s_.overload_window;
  }
  void CloseUnused() {
    for (const EndpointId id : std::exchange(unused_, {})) {
      const auto e = endpoints_.find(id);
      if (e != endpoints_.end() && e->second.out.empty()) actions_->push_back(CloseIdleConnections{id});
    }
  }

  void Drop(const Endpoint& e) {
    Destination& d = destinations_[e.destination];
    d.endpoints.erase(std::find(d.endpoints.begin(), d.endpoints.end(), &e));
    d.ready.clear();
    if (d.endpoints.empty() && d.held == 0) destinations_.erase(e.destination);
    endpoints_.erase(e.endpoint);
  }

  void ProbeIfDue(Endpoint& e, Seconds& wake) {  // a trial that costs no message, where calls are lost
    if (!s_.may_health_check || e.probing || e.never_ran || e.status != EndpointStatus::kInService) return;
    if (IsLeft(destinations_[e.destination], e)) return;
    const Seconds wait = WaitFor(e);
    if (wait > 0) return void(wake = std::min(wake, now_ + wait));
    e.probing = true;
    Charge(e);
    actions_->push_back(HealthCheck{e.endpoint});
  }

  void On(const HealthCheckOutcome& r) {
    const auto it = endpoints_.find(r.endpoint);
    if (it == endpoints_.end()) return;
    Endpoint& e = it->second;
    e.probing = false;
    if (IsInconclusive(r.outcome)) return;  // it says nothing of the endpoint
    LearnLimit(e, r.load_report.calls_per_second.value_or(0));
    if (r.outcome == Outcome::kServed && e.circuit == Circuit::kOpen) {
      e.circuit = Circuit::kHalfOpen;  // a probe shows little: calls start slowly
      StartSlowly(*e.lane);
    } else if (r.outcome == Outcome::kRejected) {
      Refused(e, 0, now_ - r.duration);
    } else if (r.outcome != Outcome::kServed) {
      Failed(e, false, now_ - r.duration);
    }
  }

  // ---- a message ends --------------------------------------------------------------------------

  // The courier gives up: at once, with a refusal and the time to come back where rule 2 allows it.
  void End(Message& m) {
    const Seconds advice = s_.may_send_retry_after ? AdviceFor(destinations_[m.destination]) : 0;
    actions_->push_back(MayRefuse(m) ? Action(Reject{m.request_id, advice}) : Action(Fail{m.request_id}));
    Close(m);
  }

  void Close(Message& m) {
    LeaveWaiting(m);
    m.over = true;
    for (int i = 0; s_.may_cancel && i < Count(m.attempts); ++i)
      if (m.attempts[i].out) actions_->push_back(CancelAttempt{m.request_id, i});
    Forget(m);
  }

  Seconds AdviceFor(const Destination& d) const {  // when the line that stands now could have gone
    double rate = 0;
    for (const Endpoint* e : d.endpoints)
      if (e->status == EndpointStatus::kInService && e->circuit == Circuit::kClosed && e->lane->pace < kNever)
        rate += e->lane->pace;
    return rate > 0 ? std::min(s_.max_retry_after, d.waiting_count / rate) : s_.max_retry_after;
  }

  void On(const RequestAborted& w) {
    if (const auto m = messages_.find(w.request_id); m != messages_.end() && !m->second.over)
      Close(m->second);
  }

  void On(const ResponseStarted& begun) {
    const auto m = messages_.find(begun.request_id);
    if (m == messages_.end()) return;
    expiries_.erase({m->second.expiry, begun.request_id});
    m->second.expiry = kNever;
  }

  void Forget(Message& m) {  // what is still out comes to its outcome before all is dropped
    if (m.expiry < kNever) expiries_.erase({m.expiry, m.request_id});
    m.expiry = kNever;
    m.where = Message::Where::kOut;
    Destination& d = destinations_[m.destination];
    if (!std::exchange(m.released, true)) {
      --held_;
      --d.held;
    }
    if (m.out > 0) return;
    if (d.endpoints.empty() && d.held == 0) destinations_.erase(d.id);
    const std::string key = m.key;
    messages_.erase(m.request_id);
    if (!key.empty()) AdvanceKey(key);
  }

  // ---- beliefs: what couriers pass on to those that start ---------------------------------------

  static bool IsApart(const Endpoint& e) { return e.lane == &e.own_lane; }

  RouteState BeliefOf(const Destination& d, const Endpoint& e, Seconds now) const {
    const Lane& lane = *e.lane;
    const auto age = [now](Seconds at) { return at > -kNever ? std::optional(now - at) : std::nullopt; };
    RouteState b{d.id, IsApart(e) ? e.endpoint : 0, std::max(0.0, lane.held_until - now)};
    Seconds bad_at = InDoubt(lane) || lane.bad >= kBadToDoubt ? lane.bad_at : -kNever;
    for (const Endpoint* other : d.endpoints)
      if (other->lane == &lane && other->circuit == Circuit::kOpen)
        bad_at = std::max(bad_at, other->opened_at);
    if (lane.last_served < bad_at) b.failure_age = age(bad_at);
    if (lane.cold && lane.ramp_from < kNever) b.recovery_age = age(lane.ramp_from);
    b.success_age = age(lane.last_served);
    if (lane.limit > 0 && lane.pace < lane.limit) b.rejection_age = age(lane.cut_at);
    b.send_rate = lane.pace;
    b.latency = (IsApart(e) ? e.latency : d.latency).mean;
    b.latency_age = age((IsApart(e) ? e.latency : d.latency).at);
    if (d.copies_barred) b.hedging_disabled_age = age(d.barred_at);
    return b;
  }

  void On(const TransferredState& learned) {
    for (const RouteState& b : learned.routes) {
      const auto d = destinations_.find(b.destination);
      if (d == destinations_.end()) continue;
      for (Endpoint* e : d->second.endpoints)
        if (b.endpoint == (IsApart(*e) ? e->endpoint : 0)) Believe(d->second, *e, b);
    }
  }

  // Danger: hearsay may be wrong. No bad outcome is counted: a trial leaves soon; a served one ends doubt.
  void Believe(Destination& d, Endpoint& e, const RouteState& b) {
    Lane& lane = *e.lane;
    lane.held_until = std::max(lane.held_until, now_ + b.retry_after);
    IsBound(e);  // brings our own doubt up to date
    if (b.failure_age && now_ - *b.failure_age > lane.last_served && !InDoubt(lane)) {
      lane.cold = true;
      lane.ramp_from = kNever;
      lane.bad_at = std::max(lane.bad_at, now_ - *b.failure_age);
      TrySoon(lane);
    } else if (b.recovery_age && !InDoubt(lane) && (!lane.cold || now_ - *b.recovery_age > lane.ramp_from)) {
      lane.cold = true;
      lane.ramp_from = now_ - *b.recovery_age;
      lane.warming = {std::min(0.0, lane.warming.tokens), now_};
    }
    if (b.rejection_age && lane.limit > 0 && b.send_rate < lane.pace) {
      lane.pace = std::min(lane.pace, std::max(b.send_rate, kLeastPaceShare * EvenShare(lane)));
      lane.cut_at = std::max(lane.cut_at, now_ - *b.rejection_age);
    }
    Latency& latency = IsApart(e) ? e.latency : d.latency;
    const Seconds longer = std::min(b.latency, longest_aim_);  // than what is taken for unknown ones
    if (b.latency_age && latency.mean <= 0 && kTimeoutSpread * longer > longest_aim_)
      latency = {longer, now_ - *b.latency_age};
    if (b.hedging_disabled_age && !std::exchange(d.copies_barred, true))
      d.barred_at = now_ - *b.hedging_disabled_age;
  }

  void On(const ShutdownStarted& stop) { stop_at_ = now_ + stop.time_left; }
  void
  On(const TimerFired& wake) {  // Danger: one that comes a rounding error early must not pass for one to come
    if (wake.timer_id == wake_label_) armed_ = -kNever;
  }

  const Settings s_;
  Random random_;
  Seconds now_ = 0, longest_aim_ = 0;
  std::vector<Action>* actions_ = nullptr;
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<DestinationId, Destination> destinations_;
  std::map<DestinationId, Destination*> active_;  // with messages waiting
  std::set<EndpointId> tended_;                   // gone, or with an open circuit
  std::map<RequestId, Message> messages_;
  std::map<std::uint64_t, Call> calls_;
  std::map<std::string, KeyQueue> keys_;
  std::set<std::pair<Seconds, std::string>> key_rests_;
  Line delayed_, expiries_;
  std::set<EndpointId> unused_;      // their last call has ended, and connections are scarce there
  std::vector<double> least_limit_;  // by kind, of those that are known
  std::vector<TokenBucket> tenant_buckets_;
  TokenBucket notes_{2, 0};  // that may be told now
  Latency all_latency_;
  double parts_ = std::max(1, s_.relay_count);  // that limits are shared by, as far as is known
  std::map<int, ZoneTrafficShare> zones_;
  int held_ = 0;
  EndpointListLease list_lease_;
  Seconds armed_ = -kNever, stop_at_ = kNever;
  std::uint64_t last_call_ = 0, wake_label_ = 0;
};

RequestRouter::RequestRouter(const Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
RequestRouter::~RequestRouter() = default;
RequestRouter::RequestRouter(RequestRouter&&) noexcept = default;
RequestRouter& RequestRouter::operator=(RequestRouter&&) noexcept = default;

void RequestRouter::Handle(Seconds now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

bool RequestRouter::MaySend(Seconds now, EndpointId endpoint) const { return impl_->MayLeave(now, endpoint); }

std::vector<RouteState> RequestRouter::ExportRouteStates(Seconds now, std::optional<DestinationId>& from,
                                                         int most) const {
  return impl_->Beliefs(now, from, most);
}

}  // namespace opalroute
