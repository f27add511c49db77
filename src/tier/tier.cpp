#include "tier/tier.h"

#include <algorithm>
#include <utility>

namespace opalroute::tier {

namespace {

constexpr Seconds kLongAgo = -1e9;
constexpr int kTellers = 2;  // that are asked where one is silent
constexpr int kProvers = 3;  // of those told that one leaves, so many ask its machine at once

}  // namespace

Tier::Tier(const Rules& rules, std::uint64_t life, std::uint64_t seed, Seconds now)
    : rules_(rules),
      life_(life),
      started_(now),
      random_(seed),
      last_number_(random_() >> 40),  // an answer to an earlier life's question answers none of this one's
      others_(static_cast<std::size_t>(std::max(1, rules.size))),
      next_beat_(now + rules.beat * static_cast<double>(random_() % 1000) / 1000),
      next_greeting_(now) {
  for (Other& other : others_)
    other.heard = other.told = other.asked = other.asked_last = other.refused = kLongAgo;
}

// ---- out --------------------------------------------------------------------------------------------------

Note Tier::Blank(NoteKind kind) {
  Note note;
  note.kind = kind;
  note.life = life_;
  note.number = ++last_number_;
  return note;
}

void Tier::Ask(Seconds now, Peer peer, NoteKind kind, std::vector<Out>& out) {
  Other& other = Of(peer);
  if (other.asked < now - rules_.ask_time) other.asked = now;
  other.asked_last = now;
  out.push_back({peer, Blank(kind)});
  other.question = out.back().note.number;
}

// Each other once a round, in an order drawn anew (SWIM): no two rounds leave one out for long.
Peer Tier::NextToAsk() {
  if (round_.empty()) {
    for (Peer peer = 0; peer < rules_.size; ++peer)
      if (peer != rules_.own) round_.push_back(peer);
    std::shuffle(round_.begin(), round_.end(), random_);
  }
  const Peer next = round_.back();
  round_.pop_back();
  return next;
}

void Tier::Tick(Seconds now, std::vector<Out>& out) {
  if (rules_.size < 2) return;
  for (const Peer peer : std::exchange(soon_, {})) Ask(now, peer, NoteKind::kAsk, out);
  if (!Settled(now) && now >= next_greeting_) {
    for (int sent = 0; greet_next_ < rules_.size && sent < rules_.hellos_a_tick; ++greet_next_) {
      if (!IsOther(greet_next_) || Of(greet_next_).greeted) continue;
      Ask(now, greet_next_, NoteKind::kHello, out);
      ++sent;
    }
    if (greet_next_ >= rules_.size) {
      greet_next_ = 0;
      next_greeting_ = now + rules_.again;
    }
  }
  if (now < next_beat_) return;
  next_beat_ = std::max(next_beat_ + rules_.beat, now + rules_.beat / 2);
  const Peer next = NextToAsk();
  const bool silent = LifeOf(now, next) != Life::kLive;
  Ask(now, next, NoteKind::kAsk, out);
  // One that is not there tells nothing of others, so some are asked that were heard of late.
  if (!silent) return;
  std::vector<Peer> heard;
  for (Peer peer = 0; peer < rules_.size; ++peer)
    if (IsOther(peer) && peer != next && LifeOf(now, peer) == Life::kLive) heard.push_back(peer);
  for (int i = 0; i < kTellers && !heard.empty(); ++i)
    Ask(now, heard[random_() % heard.size()], NoteKind::kAsk, out);
}

void Tier::Leave(std::vector<Out>& out) {
  for (Peer peer = 0; peer < rules_.size; ++peer)
    if (IsOther(peer)) out.push_back({peer, Blank(NoteKind::kLeaving)});
}

// As many as fit; with more than that the window moves on from note to note.
void Tier::FillWindow(Seconds now, Note& note) {
  note.first = window_;
  const std::size_t room = rules_.note_bytes * 8 / 5;
  for (Peer peer = window_; peer < rules_.size && note.told.size() < room; ++peer) {
    Told told;
    if (IsOther(peer)) {
      const Other& other = Of(peer);
      const Seconds heard = std::max(other.heard, other.told);
      if (other.refused > heard)
        told = {Told::Of::kRefused, now - other.refused};
      else if (heard > now - kLongestAge)
        told = {Told::Of::kHeard, now - heard};
    }
    note.told.push_back(told);
  }
  // What is cut off at the end of a note stands at the front of a later one.
  constexpr int kSafelyWritten = 150;
  window_ += kSafelyWritten;
  if (window_ + kSafelyWritten / 3 >= rules_.size) window_ = 0;
}

// ---- in ---------------------------------------------------------------------------------------------------

bool Tier::Take(Seconds now, Peer from, const Note& note, std::vector<Out>& out) {
  if (!IsOther(from)) return false;
  Other& other = Of(from);
  if (note.life < other.life || (note.life == other.life && note.number <= other.number)) return false;
  if (other.life != 0 && note.life > other.life) ++restarts_;
  other.life = note.life;
  other.number = note.number;
  if (note.kind == NoteKind::kLeaving) {
    // Its word alone proves nothing: it may be late. Those that are asked to prove it are drawn alike by all.
    const int rank = (rules_.own - from + rules_.size) % rules_.size;
    if (rank <= kProvers) soon_.push_back(from);
    return true;
  }
  other.heard = now;
  if (note.kind == NoteKind::kAsk || note.kind == NoteKind::kHello) {
    out.push_back({from, Blank(NoteKind::kAnswer)});
    out.back().note.echo = note.number;
    if (note.kind == NoteKind::kAsk) FillWindow(now, out.back().note);
  }
  if (note.kind != NoteKind::kAnswer) return true;
  other.asked = kLongAgo;
  if (note.echo != other.question || other.asked_last <= now - rules_.ask_time) return true;
  if (!std::exchange(other.greeted, true)) ++answered_;
  Believe(now, from, other.asked_last, note);
  return true;
}

// An answer is dated by its question: what it tells was so by then, however long either took on its way.
void Tier::Believe(Seconds now, Peer from, Seconds asked, const Note& note) {
  for (std::size_t i = 0; i < note.told.size(); ++i) {
    const Peer peer = note.first + static_cast<int>(i);
    const Told& told = note.told[i];
    if (!IsOther(peer) || peer == from) continue;
    Other& other = Of(peer);
    if (told.of == Told::Of::kHeard) other.told = std::max(other.told, now - told.age);
    if (told.of == Told::Of::kRefused) other.refused = std::max(other.refused, asked - told.age);
  }
}

// Dated by the earliest datagram that it can stand for.
void Tier::Refused(Seconds now, Peer peer) {
  if (!IsOther(peer)) return;
  Other& other = Of(peer);
  if (other.asked <= now - rules_.ask_time) return;  // nothing was sent that it could be about
  other.refused = std::max(other.refused, std::exchange(other.asked, kLongAgo));
}

// ---- what follows
// -------------------------------------------------------------------------------------------

bool Tier::IsGone(Seconds now, const Other& other) const {
  const Seconds heard = std::max(other.heard, other.told);
  return other.refused > now - rules_.proof_for && other.refused > heard + rules_.unheard_for;
}

bool Tier::Settled(Seconds now) const {
  if (now >= started_ + rules_.proof_for) return true;
  for (Peer peer = 0; peer < rules_.size; ++peer)
    if (IsOther(peer) && !Of(peer).greeted && !IsGone(now, Of(peer))) return false;
  return true;
}

double Tier::Parts(Seconds now) const {
  if (!Settled(now)) return static_cast<double>(rules_.size) * rules_.size;
  int parts = 1;
  for (Peer peer = 0; peer < rules_.size; ++peer)
    if (IsOther(peer) && !IsGone(now, Of(peer))) ++parts;
  return parts;
}

Life Tier::LifeOf(Seconds now, Peer peer) const {
  if (peer == rules_.own) return Life::kLive;
  if (!IsOther(peer)) return Life::kUnheard;
  const Other& other = Of(peer);
  if (IsGone(now, other)) return Life::kGone;
  const Seconds heard = std::max(other.heard, other.told);
  if (heard > now - rules_.heard_for) return Life::kLive;
  return heard > now - 4 * rules_.heard_for ? Life::kSuspected : Life::kUnheard;
}

std::vector<Peer> Tier::Live(Seconds now) const {
  std::vector<Peer> live;
  for (Peer peer = 0; peer < rules_.size; ++peer)
    if (LifeOf(now, peer) == Life::kLive) live.push_back(peer);
  return live;
}

}  // namespace opalroute::tier
