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

#include "membership/message.h"

namespace opalroute::membership {

struct Options {
  int fleet_size = 1;  // of the tier, this relay among it
  Peer own_peer = 0;
  Seconds heartbeat_interval = 0.5;  // one other is asked in each
  Seconds suspect_after = 4;  // nobody had heard it for so long: a path that refuses is no machine that does
  Seconds dead_for = 12;      // a process that was not there counts as gone for so long (kLongestAge at most)
  Seconds alive_for = 8;      // one that was heard counts as live
  Seconds ping_timeout = 1;   // an answer is taken so long after its question
  Seconds join_retry_interval = 0.4;  // who has not answered a hello is greeted again
  int joins_per_tick = 64;
  std::size_t max_message_bytes = 256;
};

enum class MemberState {
  kUnknown,  // never heard of, or not for long: it may live behind a cut
  kSuspect,  // heard of, though not of late
  kAlive,
  kDead  // proved to have no process
};

class Membership {
 public:
  // `life`: greater than that of every earlier process of this relay.
  Membership(const Options& rules, std::uint64_t life, std::uint64_t seed, Seconds now);

  struct OutgoingMessage {
    Peer to = 0;
    Message note;  // to be written with what the zones have to say
  };
  // What is due. To be called every 50 ms or so.
  void Tick(Seconds now, std::vector<OutgoingMessage>& out);
  // A note of that peer. False: it is a replay, late from an earlier life, or from nobody of this tier.
  bool HandleMessage(Seconds now, Peer from, const Message& note, std::vector<OutgoingMessage>& out);
  // The machine of that peer refused a datagram.
  void OnUnreachable(Seconds now, Peer peer);
  // For all others: the process is about to end.
  void Leave(std::vector<OutgoingMessage>& out);
  Message NewMessage(MessageKind kind);  // numbered, for what others have to tell

  // How many relays share what there is: the tier without those gone; while this one holds back so many that
  // all of them together stay under one part.
  double ShareCount(Seconds now) const;
  bool IsSettled(Seconds now) const;  // it holds nothing back
  bool HasAnyAck() const { return acks_ > 0; }
  MemberState StateOf(Seconds now, Peer peer) const;
  std::vector<Peer> AliveMembers(Seconds now) const;  // this one among them
  int restarts() const { return restarts_; }          // of others, as seen
  const Options& options() const { return options_; }

 private:
  struct PeerEntry {
    std::uint64_t incarnation = 0, sequence = 0;  // of the latest note
    Seconds heard_at = 0, reported_at = 0;        // by this relay; by the latest word of others
    Seconds pinged_at = 0;                        // the earliest datagram to it that nothing has come of
    std::uint64_t ping_sequence = 0;              // the number of the latest one ...
    Seconds last_pinged_at = 0;
    Seconds unreachable_at = 0;  // the latest, by whomever

    bool has_acked = false;  // it has answered this process
  };
  bool IsOtherPeer(Peer peer) const {
    return peer >= 0 && peer < options_.fleet_size && peer != options_.own_peer;
  }
  PeerEntry& Entry(Peer peer) { return peers_[static_cast<std::size_t>(peer)]; }
  const PeerEntry& Entry(Peer peer) const { return peers_[static_cast<std::size_t>(peer)]; }
  void Ping(Seconds now, Peer peer, MessageKind kind, std::vector<OutgoingMessage>& out);

  void ApplyReports(Seconds now, Peer from, Seconds asked, const Message& note);

  bool IsDead(Seconds now, const PeerEntry& other) const;
  Peer NextToPing();
  void FillReports(Seconds now, Message& note);

  const Options options_;
  const std::uint64_t incarnation_;
  const Seconds started_;
  std::mt19937_64 random_;
  std::uint64_t last_sequence_ = 0;
  std::vector<PeerEntry> peers_;  // by number; the own one is not used
  std::vector<Peer> ping_order_;  // still to be asked in this round
  std::vector<Peer> leaving_;     // said that they leave
  Peer next_to_join_ = 0;
  int report_window_ = 0, acks_ = 0, restarts_ = 0;
  Seconds next_heartbeat_, next_join_;
};

}  // namespace opalroute::membership
