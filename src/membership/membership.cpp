#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace opalroute::membership {

namespace {

constexpr Seconds kLongAgo = -1e9;
constexpr int kTellers = 2;  // that are asked where one is silent
constexpr int kProvers = 3;  // of those told that one leaves, so many ask its machine at once

}  // namespace

Membership::Membership(const Options& rules, std::uint64_t life, std::uint64_t seed, Seconds now)
    : options_(rules),
      incarnation_(life),
      started_(now),
      random_(seed),
      last_sequence_(random_() >> 40),  // an answer to an earlier life's question answers none of this one's
      peers_(static_cast<std::size_t>(std::max(1, rules.fleet_size))),
      next_heartbeat_(now + rules.heartbeat_interval * static_cast<double>(random_() % 1000) / 1000),
      next_join_(now) {
  for (PeerEntry& other : peers_)
    other.heard_at = other.reported_at = other.pinged_at = other.last_pinged_at = other.unreachable_at =
        kLongAgo;
}

// ---- out --------------------------------------------------------------------------------------------------

Message Membership::NewMessage(MessageKind kind) {
  Message note;
  note.kind = kind;
  note.incarnation = incarnation_;
  note.sequence = ++last_sequence_;
  return note;
}

void Membership::Ping(Seconds now, Peer peer, MessageKind kind, std::vector<OutgoingMessage>& out) {
  PeerEntry& other = Entry(peer);
  if (other.pinged_at < now - options_.ping_timeout) other.pinged_at = now;
  other.last_pinged_at = now;
  out.push_back({peer, NewMessage(kind)});
  other.ping_sequence = out.back().note.sequence;
}

// Each other once a round, in an order drawn anew (SWIM): no two rounds leave one out for long.
Peer Membership::NextToPing() {
  if (ping_order_.empty()) {
    for (Peer peer = 0; peer < options_.fleet_size; ++peer)
      if (peer != options_.own_peer) ping_order_.push_back(peer);
    std::shuffle(ping_order_.begin(), ping_order_.end(), random_);
  }
  const Peer next = ping_order_.back();
  ping_order_.pop_back();
  return next;
}

void Membership::Tick(Seconds now, std::vector<OutgoingMessage>& out) {
  if (options_.fleet_size < 2) return;
  for (const Peer peer : std::exchange(leaving_, {})) Ping(now, peer, MessageKind::kPing, out);
  if (!IsSettled(now) && now >= next_join_) {
    for (int sent = 0; next_to_join_ < options_.fleet_size && sent < options_.joins_per_tick;
         ++next_to_join_) {
      if (!IsOtherPeer(next_to_join_) || Entry(next_to_join_).has_acked) continue;
      Ping(now, next_to_join_, MessageKind::kJoin, out);
      ++sent;
    }
    if (next_to_join_ >= options_.fleet_size) {
      next_to_join_ = 0;
      next_join_ = now + options_.join_retry_interval;
    }
  }
  if (now < next_heartbeat_) return;
  next_heartbeat_ =
      std::max(next_heartbeat_ + options_.heartbeat_interval, now + options_.heartbeat_interval / 2);
  const Peer next = NextToPing();
  const bool silent = StateOf(now, next) != MemberState::kAlive;
  Ping(now, next, MessageKind::kPing, out);
  // One that is not there tells nothing of others, so some are asked that were heard of late.
  if (!silent) return;
  std::vector<Peer> heard;
  for (Peer peer = 0; peer < options_.fleet_size; ++peer)
    if (IsOtherPeer(peer) && peer != next && StateOf(now, peer) == MemberState::kAlive) heard.push_back(peer);
  for (int i = 0; i < kTellers && !heard.empty(); ++i)
    Ping(now, heard[random_() % heard.size()], MessageKind::kPing, out);
}

void Membership::Leave(std::vector<OutgoingMessage>& out) {
  for (Peer peer = 0; peer < options_.fleet_size; ++peer)
    if (IsOtherPeer(peer)) out.push_back({peer, NewMessage(MessageKind::kLeave)});
}

// As many as fit; with more than that the window moves on from note to note.
void Membership::FillReports(Seconds now, Message& note) {
  note.first_peer = report_window_;
  const std::size_t room = options_.max_message_bytes * 8 / 5;
  for (Peer peer = report_window_; peer < options_.fleet_size && note.peer_reports.size() < room; ++peer) {
    PeerReport told;
    if (IsOtherPeer(peer)) {
      const PeerEntry& other = Entry(peer);
      const Seconds heard = std::max(other.heard_at, other.reported_at);
      if (other.unreachable_at > heard)
        told = {PeerReport::Kind::kUnreachable, now - other.unreachable_at};
      else if (heard > now - kLongestAge)
        told = {PeerReport::Kind::kAlive, now - heard};
    }
    note.peer_reports.push_back(told);
  }
  // What is cut off at the end of a note stands at the front of a later one.
  constexpr int kSafelyWritten = 150;
  report_window_ += kSafelyWritten;
  if (report_window_ + kSafelyWritten / 3 >= options_.fleet_size) report_window_ = 0;
}

// ---- in ---------------------------------------------------------------------------------------------------

bool Membership::HandleMessage(Seconds now, Peer from, const Message& note,
                               std::vector<OutgoingMessage>& out) {
  if (!IsOtherPeer(from)) return false;
  PeerEntry& other = Entry(from);
  if (note.incarnation < other.incarnation ||
      (note.incarnation == other.incarnation && note.sequence <= other.sequence))
    return false;
  if (other.incarnation != 0 && note.incarnation > other.incarnation) ++restarts_;
  other.incarnation = note.incarnation;
  other.sequence = note.sequence;
  if (note.kind == MessageKind::kLeave) {
    // Its word alone proves nothing: it may be late. Those that are asked to prove it are drawn alike by all.
    const int rank = (options_.own_peer - from + options_.fleet_size) % options_.fleet_size;
    if (rank <= kProvers) leaving_.push_back(from);
    return true;
  }
  other.heard_at = now;
  if (note.kind == MessageKind::kPing || note.kind == MessageKind::kJoin) {
    out.push_back({from, NewMessage(MessageKind::kAck)});
    out.back().note.acked_sequence = note.sequence;
    if (note.kind == MessageKind::kPing) FillReports(now, out.back().note);
  }
  if (note.kind != MessageKind::kAck) return true;
  other.pinged_at = kLongAgo;
  if (note.acked_sequence != other.ping_sequence || other.last_pinged_at <= now - options_.ping_timeout)
    return true;
  if (!std::exchange(other.has_acked, true)) ++acks_;
  ApplyReports(now, from, other.last_pinged_at, note);
  return true;
}

// An answer is dated by its question: what it tells was so by then, however long either took on its way.
void Membership::ApplyReports(Seconds now, Peer from, Seconds asked, const Message& note) {
  for (std::size_t i = 0; i < note.peer_reports.size(); ++i) {
    const Peer peer = note.first_peer + static_cast<int>(i);
    const PeerReport& told = note.peer_reports[i];
    if (!IsOtherPeer(peer) || peer == from) continue;
    PeerEntry& other = Entry(peer);
    if (told.kind == PeerReport::Kind::kAlive)
      other.reported_at = std::max(other.reported_at, now - told.age);
    if (told.kind == PeerReport::Kind::kUnreachable)
      other.unreachable_at = std::max(other.unreachable_at, asked - told.age);
  }
}

// Dated by the earliest datagram that it can stand for.
void Membership::OnUnreachable(Seconds now, Peer peer) {
  if (!IsOtherPeer(peer)) return;
  PeerEntry& other = Entry(peer);
  if (other.pinged_at <= now - options_.ping_timeout) return;  // nothing was sent that it could be about
  other.unreachable_at = std::max(other.unreachable_at, std::exchange(other.pinged_at, kLongAgo));
}

// ---- what follows
// -------------------------------------------------------------------------------------------

bool Membership::IsDead(Seconds now, const PeerEntry& other) const {
  const Seconds heard = std::max(other.heard_at, other.reported_at);
  return other.unreachable_at > now - options_.dead_for &&
         other.unreachable_at > heard + options_.suspect_after;
}

bool Membership::IsSettled(Seconds now) const {
  if (now >= started_ + options_.dead_for) return true;
  for (Peer peer = 0; peer < options_.fleet_size; ++peer)
    if (IsOtherPeer(peer) && !Entry(peer).has_acked && !IsDead(now, Entry(peer))) return false;
  return true;
}

double Membership::ShareCount(Seconds now) const {
  if (!IsSettled(now)) return static_cast<double>(options_.fleet_size) * options_.fleet_size;
  int parts = 1;
  for (Peer peer = 0; peer < options_.fleet_size; ++peer)
    if (IsOtherPeer(peer) && !IsDead(now, Entry(peer))) ++parts;
  return parts;
}

MemberState Membership::StateOf(Seconds now, Peer peer) const {
  if (peer == options_.own_peer) return MemberState::kAlive;
  if (!IsOtherPeer(peer)) return MemberState::kUnknown;
  const PeerEntry& other = Entry(peer);
  if (IsDead(now, other)) return MemberState::kDead;
  const Seconds heard = std::max(other.heard_at, other.reported_at);
  if (heard > now - options_.alive_for) return MemberState::kAlive;
  return heard > now - 4 * options_.alive_for ? MemberState::kSuspect : MemberState::kUnknown;
}

std::vector<Peer> Membership::AliveMembers(Seconds now) const {
  std::vector<Peer> live;
  for (Peer peer = 0; peer < options_.fleet_size; ++peer)
    if (StateOf(now, peer) == MemberState::kAlive) live.push_back(peer);
  return live;
}

}  // namespace opalroute::membership
