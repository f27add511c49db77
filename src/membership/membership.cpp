#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace opalroute::membership {

namespace {

constexpr Seconds kLongAgo = -1e9;
constexpr int kIndirectPings = 2;   // alive peers asked for their reports when the pinged peer is not alive
constexpr int kLeaveVerifiers = 3;  // relays that ping a leaving relay to learn whether its process has ended
constexpr int kReportWindowStep = 150;  // peers; their reports take 94 bytes and fit beside the zone payload
constexpr int kUnknownAfter = 4;        // multiple of alive_for without a message

}  // namespace

Membership::Membership(const Options& options, std::uint64_t incarnation, std::uint64_t seed, Seconds now)
    : options_(options),
      incarnation_(incarnation),
      started_(now),
      random_(seed),
      // Starts at a random number, so that an ack for an earlier incarnation matches no ping of this one.
      last_sequence_(random_() >> 40),
      peers_(static_cast<std::size_t>(std::max(1, options.fleet_size))),
      next_heartbeat_(now + options.heartbeat_interval * static_cast<double>(random_() % 1000) / 1000),
      next_join_(now) {
  for (PeerEntry& entry : peers_) {
    entry.received_at = kLongAgo;
    entry.reported_at = kLongAgo;
    entry.unanswered_since = kLongAgo;
    entry.last_pinged_at = kLongAgo;
    entry.unreachable_at = kLongAgo;
  }
}

// ---- Sending ----------------------------------------------------------------------------------------------

Message Membership::NewMessage(MessageKind kind) {
  Message message;
  message.kind = kind;
  message.incarnation = incarnation_;
  message.sequence = ++last_sequence_;
  return message;
}

void Membership::Ping(Seconds now, Peer peer, MessageKind kind, std::vector<OutgoingMessage>& out) {
  PeerEntry& entry = Entry(peer);
  if (entry.unanswered_since < now - options_.ping_timeout) entry.unanswered_since = now;
  entry.last_pinged_at = now;
  out.push_back({peer, NewMessage(kind)});
  entry.ping_sequence = out.back().message.sequence;
}

// Returns the next peer of the current round. Each round contains every peer once, in a new random order, so
// that less than two rounds pass between two pings of a peer.
Peer Membership::NextToPing() {
  if (ping_order_.empty()) {
    for (Peer peer = 0; peer < options_.fleet_size; ++peer) {
      if (peer != options_.own_peer) ping_order_.push_back(peer);
    }
    std::shuffle(ping_order_.begin(), ping_order_.end(), random_);
  }
  const Peer next = ping_order_.back();
  ping_order_.pop_back();
  return next;
}

void Membership::Tick(Seconds now, std::vector<OutgoingMessage>& out) {
  if (options_.fleet_size < 2) return;
  for (const Peer peer : std::exchange(leaving_, {})) Ping(now, peer, MessageKind::kPing, out);
  if (!IsSettled(now) && now >= next_join_) SendJoins(now, out);
  if (now >= next_heartbeat_) SendHeartbeat(now, out);
}

void Membership::SendJoins(Seconds now, std::vector<OutgoingMessage>& out) {
  int sent = 0;
  for (; next_to_join_ < options_.fleet_size && sent < options_.joins_per_tick; ++next_to_join_) {
    if (!IsOtherPeer(next_to_join_) || Entry(next_to_join_).has_acked) continue;
    Ping(now, next_to_join_, MessageKind::kJoin, out);
    ++sent;
  }
  if (next_to_join_ < options_.fleet_size) return;
  next_to_join_ = 0;
  next_join_ = now + options_.join_retry_interval;
}

void Membership::SendHeartbeat(Seconds now, std::vector<OutgoingMessage>& out) {
  next_heartbeat_ =
      std::max(next_heartbeat_ + options_.heartbeat_interval, now + options_.heartbeat_interval / 2);
  const Peer target = NextToPing();
  const bool is_target_alive = StateOf(now, target) == MemberState::kAlive;
  Ping(now, target, MessageKind::kPing, out);
  if (is_target_alive) return;
  // The target may not answer, so alive peers are asked for their reports about it.
  std::vector<Peer> alive;
  for (Peer peer = 0; peer < options_.fleet_size; ++peer) {
    if (IsOtherPeer(peer) && peer != target && StateOf(now, peer) == MemberState::kAlive) {
      alive.push_back(peer);
    }
  }
  for (int i = 0; i < kIndirectPings && !alive.empty(); ++i) {
    Ping(now, alive[random_() % alive.size()], MessageKind::kPing, out);
  }
}

void Membership::AnnounceLeave(std::vector<OutgoingMessage>& out) {
  for (Peer peer = 0; peer < options_.fleet_size; ++peer) {
    if (IsOtherPeer(peer)) out.push_back({peer, NewMessage(MessageKind::kLeave)});
  }
}

// Adds reports on consecutive peers, at most as many as a message can hold. The first peer advances by
// kReportWindowStep with each message.
void Membership::FillReports(Seconds now, Message& message) {
  message.first_peer = report_window_;
  const std::size_t capacity = options_.max_message_bytes * 8 / kPeerReportBits;
  for (Peer peer = report_window_; peer < options_.fleet_size && message.peer_reports.size() < capacity;
       ++peer) {
    PeerReport report;
    if (IsOtherPeer(peer)) {
      const PeerEntry& entry = Entry(peer);
      const Seconds heard = entry.LastHeard();
      if (entry.unreachable_at > heard) {
        report = {PeerReport::Kind::kUnreachable, now - entry.unreachable_at};
      } else if (heard > now - kMaxReportAge) {
        report = {PeerReport::Kind::kAlive, now - heard};
      }
    }
    message.peer_reports.push_back(report);
  }
  // The encoder drops reports from the end if they don't fit; a later message starts with those peers.
  report_window_ += kReportWindowStep;
  if (report_window_ + kReportWindowStep / 3 >= options_.fleet_size) report_window_ = 0;
}

// ---- Receiving --------------------------------------------------------------------------------------------

bool Membership::IsReplay(const PeerEntry& entry, const Message& message) const {
  return message.incarnation < entry.incarnation ||
         (message.incarnation == entry.incarnation && message.sequence <= entry.sequence);
}

bool Membership::HandleMessage(Seconds now, Peer from, const Message& message,
                               std::vector<OutgoingMessage>& out) {
  if (!IsOtherPeer(from)) return false;
  PeerEntry& entry = Entry(from);
  if (IsReplay(entry, message)) return false;
  if (entry.incarnation != 0 && message.incarnation > entry.incarnation) ++restarts_;
  entry.incarnation = message.incarnation;
  entry.sequence = message.sequence;
  if (message.kind == MessageKind::kLeave) {
    OnLeave(from);
    return true;
  }
  entry.received_at = now;
  if (message.kind == MessageKind::kPing || message.kind == MessageKind::kJoin) {
    out.push_back({from, NewMessage(MessageKind::kAck)});
    out.back().message.acked_sequence = message.sequence;
    if (message.kind == MessageKind::kPing) FillReports(now, out.back().message);
  }
  if (message.kind == MessageKind::kAck) OnAck(now, from, message);
  return true;
}

// A leave message may arrive late, after the relay has restarted, so it is no proof of death. The relays that
// follow `from` by index verify it with a ping at their next tick.
void Membership::OnLeave(Peer from) {
  const int distance = (options_.own_peer - from + options_.fleet_size) % options_.fleet_size;
  if (distance <= kLeaveVerifiers) leaving_.push_back(from);
}

void Membership::OnAck(Seconds now, Peer from, const Message& message) {
  PeerEntry& entry = Entry(from);
  entry.unanswered_since = kLongAgo;
  const bool is_late = entry.last_pinged_at <= now - options_.ping_timeout;
  if (message.acked_sequence != entry.ping_sequence || is_late) return;
  if (!std::exchange(entry.has_acked, true)) ++acked_peers_;
  ApplyReports(now, from, entry.last_pinged_at, message);
}

// Dates 'port unreachable' reports back from the time of the ping that the ack answers, not from the ack's
// arrival. They were made after that ping, so a slow ack never makes a proof of death look more recent.
void Membership::ApplyReports(Seconds now, Peer from, Seconds pinged_at, const Message& message) {
  for (std::size_t i = 0; i < message.peer_reports.size(); ++i) {
    const Peer peer = message.first_peer + static_cast<int>(i);
    const PeerReport& report = message.peer_reports[i];
    if (!IsOtherPeer(peer) || peer == from) continue;
    PeerEntry& entry = Entry(peer);
    if (report.kind == PeerReport::Kind::kAlive) {
      entry.reported_at = std::max(entry.reported_at, now - report.age);
    }
    if (report.kind == PeerReport::Kind::kUnreachable) {
      entry.unreachable_at = std::max(entry.unreachable_at, pinged_at - report.age);
    }
  }
}

// Dates the refusal by the earliest unanswered ping or join that it can be about.
void Membership::OnUnreachable(Seconds now, Peer peer) {
  if (!IsOtherPeer(peer)) return;
  PeerEntry& entry = Entry(peer);
  if (entry.unanswered_since <= now - options_.ping_timeout) return;  // none is recent enough
  entry.unreachable_at = std::max(entry.unreachable_at, std::exchange(entry.unanswered_since, kLongAgo));
}

// ---- State ------------------------------------------------------------------------------------------------

Seconds Membership::PeerEntry::LastHeard() const { return std::max(received_at, reported_at); }

bool Membership::IsOtherPeer(Peer peer) const {
  return peer >= 0 && peer < options_.fleet_size && peer != options_.own_peer;
}

bool Membership::IsDead(Seconds now, const PeerEntry& entry) const {
  return entry.unreachable_at > now - options_.dead_for &&
         entry.unreachable_at > entry.LastHeard() + options_.min_silence_before_dead;
}

bool Membership::IsSettled(Seconds now) const {
  if (now >= started_ + options_.dead_for) return true;
  for (Peer peer = 0; peer < options_.fleet_size; ++peer) {
    if (IsOtherPeer(peer) && !Entry(peer).has_acked && !IsDead(now, Entry(peer))) return false;
  }
  return true;
}

double Membership::ShareCount(Seconds now) const {
  if (!IsSettled(now)) return static_cast<double>(options_.fleet_size) * options_.fleet_size;
  int count = 1;
  for (Peer peer = 0; peer < options_.fleet_size; ++peer) {
    if (IsOtherPeer(peer) && !IsDead(now, Entry(peer))) ++count;
  }
  return count;
}

MemberState Membership::StateOf(Seconds now, Peer peer) const {
  if (peer == options_.own_peer) return MemberState::kAlive;
  if (!IsOtherPeer(peer)) return MemberState::kUnknown;
  const PeerEntry& entry = Entry(peer);
  if (IsDead(now, entry)) return MemberState::kDead;
  const Seconds heard = entry.LastHeard();
  if (heard > now - options_.alive_for) return MemberState::kAlive;
  return heard > now - kUnknownAfter * options_.alive_for ? MemberState::kSuspect : MemberState::kUnknown;
}

std::vector<Peer> Membership::AliveMembers(Seconds now) const {
  std::vector<Peer> alive;
  for (Peer peer = 0; peer < options_.fleet_size; ++peer) {
    if (StateOf(now, peer) == MemberState::kAlive) alive.push_back(peer);
  }
  return alive;
}

}  // namespace opalroute::membership
