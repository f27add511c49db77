// Membership of the fleet: which relays are alive, and among how many relays a quota is divided. The protocol
// resembles SWIM. It does no I/O: the caller passes in the time and the received messages, and sends the
// messages that are returned. docs/membership.md describes the rules and the alternatives.
//
// Invariant: silence alone never makes a relay dead, since it may still be sending on the other side of a
// network partition. The share count is reduced only for relays whose host answered 'port unreachable' within
// the last `dead_for` seconds. A process that starts holds its share back for `dead_for`, or until each other
// relay has acknowledged it or is dead. Otherwise the two sides of a partition could together exceed the
// quota.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "membership/message.h"

namespace opalroute::membership {

struct Options {
  int fleet_size = 1;  // number of relays, including this one
  Peer own_peer = 0;
  Seconds heartbeat_interval = 0.5;  // between pings; each heartbeat pings one peer
  // 'port unreachable' makes a peer dead only if its last message is older by this much: a peer that was
  // heard more recently has a broken network path, not a dead process.
  Seconds min_silence_before_dead = 4;
  Seconds dead_for = 12;     // how long a 'port unreachable' is proof of death; at most kMaxReportAge
  Seconds alive_for = 8;     // how long a peer counts as alive after its last message
  Seconds ping_timeout = 1;  // later acks are ignored
  Seconds join_retry_interval = 0.4;  // between joins to peers that have not acknowledged
  int joins_per_tick = 64;
  std::size_t max_message_bytes = 256;
};

enum class MemberState {
  kUnknown,  // not heard for a long time, or never; it may be alive behind a network partition
  kSuspect,  // heard, but not recently
  kAlive,
  kDead  // its host has reported that no process is listening
};

// A message to send.
struct OutgoingMessage {
  std::optional<Peer> to;  // nullopt: every other relay
  Message message;         // the zone payload is still to be added
};

class Membership {
 public:
  // `incarnation` must be greater than that of every earlier process of this relay.
  Membership(const Options& options, std::uint64_t incarnation, std::uint64_t seed, Seconds now);

  // Appends the messages that are due. Must be called about every 50 ms.
  void Tick(Seconds now, std::vector<OutgoingMessage>& out);

  // Handles a message of `from` and appends the answer. Returns false if the message was ignored because it
  // is a replay, is a late message of an earlier incarnation, or does not come from another relay of the
  // fleet.
  bool HandleMessage(Seconds now, Peer from, const Message& message, std::vector<OutgoingMessage>& out);

  // To be called when the host of `peer` has answered a datagram with 'port unreachable'.
  void OnUnreachable(Seconds now, Peer peer);

  // Appends the messages that announce the end of this process.
  void AnnounceLeave(std::vector<OutgoingMessage>& out);

  // Returns a message of this incarnation with the next sequence number.
  Message NewMessage(MessageKind kind);

  // The number that a quota is divided by: the number of relays that are not dead. Until IsSettled it is the
  // square of the fleet size, so that even if all processes hold back, they use only one share together.
  double ShareCount(Seconds now) const;

  // Whether this process no longer holds its share back.
  bool IsSettled(Seconds now) const;

  // Whether any relay has acknowledged this process.
  bool HasAnyAck() const { return acked_peers_ > 0; }

  MemberState StateOf(Seconds now, Peer peer) const;

  // In ascending order, including this relay.
  std::vector<Peer> AliveMembers(Seconds now) const;

  // Number of restarts of other relays that this process has noticed.
  int restarts() const { return restarts_; }
  const Options& options() const { return options_; }

 private:
  struct PeerEntry {
    std::uint64_t incarnation = 0;  // of its latest message
    std::uint64_t sequence = 0;     // of its latest message
    Seconds received_at = 0;        // when its latest message arrived
    Seconds reported_at = 0;        // when others received its latest message, by their reports
    Seconds unanswered_since = 0;   // earliest unanswered ping or join to it; void after ping_timeout
    Seconds last_pinged_at = 0;
    std::uint64_t ping_sequence = 0;  // of the latest ping or join sent to it
    Seconds unreachable_at = 0;       // when the latest datagram known to be refused by its host was sent
    bool has_acked = false;           // whether it has acknowledged this process

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
  std::vector<PeerEntry> peers_;  // by index; this relay's own entry is unused
  std::vector<Peer> ping_order_;  // peers still to be pinged in this round, in reverse order
  std::vector<Peer> leaving_;     // peers that announced their end, to be pinged at the next tick
  Peer next_to_join_ = 0;
  Peer report_window_ = 0;  // the first peer that the next message reports on
  int acked_peers_ = 0;
  int restarts_ = 0;
  Seconds next_heartbeat_;
  Seconds next_join_;
};

}  // namespace opalroute::membership
