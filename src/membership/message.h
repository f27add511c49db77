// The messages of the membership protocol and their encoding. Each fits one datagram. Decoding treats the
// bytes as untrusted.
//
//   byte 0          'F'
//   byte 1          kVersion
//   byte 2          MessageKind
//   varints         incarnation, sequence; in an ack also the sequence of the acknowledged message
//   peer reports    varints: first peer, count; then kPeerReportBits a report, the lowest bits first
//   zone payload    varint: length; then the bytes of zone_failover/zone_gossip.h
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

// What a relay knows of another one.
struct PeerReport {
  enum class Kind : char {
    kNothing,
    kAlive,       // some relay received a message of it `age` ago
    kUnreachable  // some relay got 'port unreachable' for a datagram sent to it `age` ago
  };
  Kind kind = Kind::kNothing;
  Seconds age = 0;  // the encoding rounds it up to a step
};

// Reports that are older are encoded as kNothing.
constexpr Seconds kMaxReportAge = 12;

struct Message {
  MessageKind kind{};
  std::uint64_t incarnation = 0;     // of the sender; a later process of a relay has a greater one
  std::uint64_t sequence = 0;        // grows with each message of an incarnation
  std::uint64_t acked_sequence = 0;  // kAck only
  int first_peer = 0;                // the peer of the first report; the following peers have the next ones
  std::vector<PeerReport> peer_reports;
  std::string zone_payload;
};

// Drops reports from the end until the message fits `max_bytes`. The zone payload is never cut.
std::string EncodeMessage(const Message& message, std::size_t max_bytes);

// Nothing if the bytes are not exactly one message of this version.
std::optional<Message> DecodeMessage(std::string_view bytes);

}  // namespace opalroute::membership
