// Who is there: what one relay knows of the others of its tier. Pure: the clock and what came are handed in,
// what is to be sent is handed out. docs/tier.md has the rule, why it holds in every cut, and what was
// weighed.
//
// Danger: unheard is not dead. A relay that is cut off goes on with its part of every limit, so nobody takes
// it. A part grows only by processes that their own machines have refused a datagram for, no longer ago than
// `proof_for`, and that nobody had heard for a while by then; a process that starts holds back for as long,
// or until all have answered it.
#pragma once

#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

#include "tier/note.h"

namespace opalroute::tier {

struct Rules {
  int size = 1;  // of the tier, this relay among it
  Peer own = 0;
  Seconds beat = 0.5;       // one other is asked in each
  Seconds unheard_for = 4;  // nobody had heard it for so long: a path that refuses is no machine that does
  Seconds proof_for = 12;   // a process that was not there counts as gone for so long (kLongestAge at most)
  Seconds heard_for = 8;    // one that was heard counts as live
  Seconds ask_time = 1;     // an answer is taken so long after its question
  Seconds again = 0.4;      // who has not answered a hello is greeted again
  int hellos_a_tick = 64;
  std::size_t note_bytes = 256;
};

enum class Life {
  kUnheard,    // never heard of, or not for long: it may live behind a cut
  kSuspected,  // heard of, though not of late
  kLive,
  kGone  // proved to have no process
};

class Tier {
 public:
  // `life`: greater than that of every earlier process of this relay.
  Tier(const Rules& rules, std::uint64_t life, std::uint64_t seed, Seconds now);

  struct Out {
    Peer to = 0;
    Note note;  // to be written with what the zones have to say
  };
  // What is due. To be called every 50 ms or so.
  void Tick(Seconds now, std::vector<Out>& out);
  // A note of that peer. False: it is a replay, late from an earlier life, or from nobody of this tier.
  bool Take(Seconds now, Peer from, const Note& note, std::vector<Out>& out);
  // The machine of that peer refused a datagram.
  void Refused(Seconds now, Peer peer);
  // For all others: the process is about to end.
  void Leave(std::vector<Out>& out);
  Note Blank(NoteKind kind);  // numbered, for what others have to tell

  // How many relays share what there is: the tier without those gone; while this one holds back so many that
  // all of them together stay under one part.
  double Parts(Seconds now) const;
  bool Settled(Seconds now) const;  // it holds nothing back
  bool Answered() const { return answered_ > 0; }
  Life LifeOf(Seconds now, Peer peer) const;
  std::vector<Peer> Live(Seconds now) const;  // this one among them
  int restarts() const { return restarts_; }  // of others, as seen
  const Rules& rules() const { return rules_; }

 private:
  struct Other {
    std::uint64_t life = 0, number = 0;  // of the latest note
    Seconds heard = 0, told = 0;         // by this relay; by the latest word of others
    Seconds asked = 0;                   // the earliest datagram to it that nothing has come of
    std::uint64_t question = 0;          // the number of the latest one ...
    Seconds asked_last = 0;
    Seconds refused = 0;  // the latest, by whomever

    bool greeted = false;  // it has answered this process
  };
  bool IsOther(Peer peer) const { return peer >= 0 && peer < rules_.size && peer != rules_.own; }
  Other& Of(Peer peer) { return others_[static_cast<std::size_t>(peer)]; }
  const Other& Of(Peer peer) const { return others_[static_cast<std::size_t>(peer)]; }
  void Ask(Seconds now, Peer peer, NoteKind kind, std::vector<Out>& out);

  void Believe(Seconds now, Peer from, Seconds asked, const Note& note);

  bool IsGone(Seconds now, const Other& other) const;
  Peer NextToAsk();
  void FillWindow(Seconds now, Note& note);

  const Rules rules_;
  const std::uint64_t life_;
  const Seconds started_;
  std::mt19937_64 random_;
  std::uint64_t last_number_ = 0;
  std::vector<Other> others_;  // by number; the own one is not used
  std::vector<Peer> round_;    // still to be asked in this round
  std::vector<Peer> soon_;     // said that they leave
  Peer greet_next_ = 0;
  int window_ = 0, answered_ = 0, restarts_ = 0;
  Seconds next_beat_, next_greeting_;
};

}  // namespace opalroute::tier
