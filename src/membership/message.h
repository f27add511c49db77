// The messages of the membership protocol and their encoding. Each message is one datagram. The decoder
// treats its input as untrusted.
//
//   byte 0          'F'
//   byte 1          kVersion
//   byte 2          MessageKind
//   varints         incarnation, sequence; in an ack also the sequence of the acknowledged message
//   peer reports    varints: first peer, count; then kPeerReportBits per report, lowest bits first
//   zone payload    varint: length; then the bytes that zone_failover/zone_gossip.h describes
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "opalroute/types.h"

namespace opalroute::membership {

// Index of a relay among the `peers` of the settings.
using Peer = int;

constexpr char kVersion = 1;
constexpr std::size_t kPeerReportBits = 5;

enum class MessageKind : char {
  kPing = 'q',    // requests an ack with peer reports
  kJoin = 'h',    // from a process that has started: requests an ack without peer reports
  kAck = 'a',     // answers a ping or a join
  kGossip = 't',  // carries a zone payload and requests nothing
  kLeave = 'l',   // the sender's process is about to end
};

// What the sender of a message knows about one peer.
struct PeerReport {
  enum class Kind : char {
    kNone,
    kAlive,       // a relay received a message from the peer `age` seconds ago
    kUnreachable  // a datagram that a relay sent to the peer `age` seconds ago got 'port unreachable'
  };
  Kind kind = Kind::kNone;
  Seconds age = 0;  // the encoder rounds it up to the next step
};

// Older reports are encoded as kNone.
constexpr Seconds kMaxReportAge = 12;

struct Message {
  MessageKind kind{};
  std::uint64_t incarnation = 0;     // of the sender; greater than in earlier processes of the same relay
  std::uint64_t sequence = 0;        // increases with each message of an incarnation
  std::uint64_t acked_sequence = 0;  // kAck only
  int first_peer = 0;                // the first report is on this peer, the next ones on the following peers
  std::vector<PeerReport> peer_reports;
  std::string zone_payload;
};

// Drops reports from the end until the message fits in `max_bytes`. The zone payload is never truncated.
std::string EncodeMessage(const Message& message, std::size_t max_bytes);

// Returns nullopt unless the bytes are exactly one message of this version.
std::optional<Message> DecodeMessage(std::string_view bytes);

}  // namespace opalroute::membership
