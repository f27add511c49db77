// Membership of the fleet: which relays are alive, and among how many relays a quota is divided. A protocol
// in the manner of SWIM, without I/O: the caller hands in the time and the messages received, and sends the
// messages handed out. docs/membership.md has the rules and the alternatives.
//
// Invariant: a relay that nobody hears is not taken for dead, since it may go on sending behind a network
// partition. The share count falls only for relays for which some host reported 'port unreachable' no longer
// than `dead_for` ago. A process that starts holds its share back for as long, or until each other relay has
// acknowledged it or is dead. Otherwise the two sides of a partition would send more than the quota together.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "membership/message.h"

namespace opalroute::membership {

struct Options {
  int fleet_size = 1;  // relays, this one among them
  Peer own_peer = 0;
  Seconds heartbeat_interval = 0.5;  // between pings; one peer is pinged at a time
  Seconds suspect_after = 4;         // 'port unreachable' counts after so long without a message of the peer:
                                     // one that is still heard has a broken path, not a dead process
  Seconds dead_for = 12;             // a proof of death is valid for so long; at most kMaxReportAge
  Seconds alive_for = 8;             // a peer is alive for so long after its last message
  Seconds ping_timeout = 1;          // later acks are ignored
  Seconds join_retry_interval = 0.4;  // between joins to peers that have not acknowledged
  int joins_per_tick = 64;
  std::size_t max_message_bytes = 256;
};

enum class MemberState {
  kUnknown,  // not heard for long or never: it may be alive behind a network partition
  kSuspect,  // heard, but not recently
  kAlive,
  kDead  // proved to have no process
};

// A message to send.
struct OutgoingMessage {
  std::optional<Peer> to;  // nothing: to every other relay
  Message message;         // without its zone payload
};

class Membership {
 public:
  // `incarnation`: greater than that of every earlier process of this relay.
  Membership(const Options& options, std::uint64_t incarnation, std::uint64_t seed, Seconds now);

  // Appends the messages that are due. To be called every 50 ms or so.
  void Tick(Seconds now, std::vector<OutgoingMessage>& out);

  // Handles a message of `from` and appends the answer. False: it was ignored, as a replay, as a late message
  // of an earlier incarnation, or as sent by no other relay of the fleet.
  bool HandleMessage(Seconds now, Peer from, const Message& message, std::vector<OutgoingMessage>& out);

  // The host of `peer` answered a datagram with 'port unreachable'.
  void OnUnreachable(Seconds now, Peer peer);

  // Appends the messages that announce the end of this process.
  void Leave(std::vector<OutgoingMessage>& out);

  // A message with the next sequence number.
  Message NewMessage(MessageKind kind);

  // Relays that a quota is divided by: the fleet without its dead members. Until IsSettled the square of the
  // fleet's size, so that all processes that hold back use one share together.
  double ShareCount(Seconds now) const;

  // This process no longer holds its share back.
  bool IsSettled(Seconds now) const;

  // Some relay has acknowledged this process.
  bool HasAnyAck() const { return acked_peers_ > 0; }

  MemberState StateOf(Seconds now, Peer peer) const;

  // In ascending order, this relay among them.
  std::vector<Peer> AliveMembers(Seconds now) const;

  // Restarts of other relays that this process has noticed.
  int restarts() const { return restarts_; }
  const Options& options() const { return options_; }

 private:
  struct PeerEntry {
    std::uint64_t incarnation = 0;  // of its latest message
    std::uint64_t sequence = 0;     // of its latest message
    Seconds received_at = 0;        // its latest message
    Seconds reported_at = 0;        // its latest message to others, by their reports
    Seconds unanswered_since = 0;   // the earliest datagram to it that nothing has come back for
    Seconds last_pinged_at = 0;
    std::uint64_t ping_sequence = 0;  // of the latest ping or join to it
    Seconds unreachable_at = 0;       // the latest datagram known to be refused by its host
    bool has_acked = false;           // it has acknowledged this process

    Seconds LastHeard() const;
  };

  bool IsOtherPeer(Peer peer) const;
  PeerEntry& Entry(Peer peer) { return peers_[static_cast<std::size_t>(peer)]; }
  const PeerEntry& Entry(Peer peer) const { return peers_[static_cast<std::size_t>(peer)]; }
  bool IsDead(Seconds now, const PeerEntry& entry) const;

  void Ping(Seconds now, Peer peer, MessageKind kind, std::vector<OutgoingMessage>& out);
  void SendJoins(Seconds now, std::vector<OutgoingMessage>& out);
  void SendHeartbeat(Seconds now, std::vector<OutgoingMessage>& out);
  Peer NextToPing();
  void FillReports(Seconds now, Message& message);

  bool IsReplay(const PeerEntry& entry, const Message& message) const;
  void OnLeave(Peer from);
  void OnAck(Seconds now, Peer from, const Message& message);
  void ApplyReports(Seconds now, Peer from, Seconds pinged_at, const Message& message);

  const Options options_;
  const std::uint64_t incarnation_;
  const Seconds started_;
  std::mt19937_64 random_;
  std::uint64_t last_sequence_ = 0;
  std::vector<PeerEntry> peers_;  // by index; the own entry is unused
  std::vector<Peer> ping_order_;  // peers still to be pinged in this round, the next one last
  std::vector<Peer> leaving_;     // peers that announced their end, to be pinged at once
  Peer next_to_join_ = 0;
  Peer report_window_ = 0;  // the first peer of the next reports
  int acked_peers_ = 0;
  int restarts_ = 0;
  Seconds next_heartbeat_;
  Seconds next_join_;
};

}  // namespace opalroute::membership
