// What relays of one tier send one another: whole, in one datagram, and read as data from a stranger. Pure.
//
//   byte 0     'F'                     byte 1     kVersion
//   byte 2     kind                    then, as numbers of seven bits a byte, the lowest first:
//   life       of the sender's process (it only grows), then the note's number in that life
//   echo       answers only: the number of the question
//   window     first peer, how many, and five bits each (their states, the lowest bits first)
//   zones      length and bytes: src/zone_failover/zone_gossip.h
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "opalroute/types.h"

namespace opalroute::membership {

using Peer = int;  // its number among `peers`

constexpr char kVersion = 1;

enum class MessageKind : char {
  kPing = 'q',    // wants an answer with the states of others
  kJoin = 'h',    // of a process that has started: wants a short answer
  kAck = 'a',     // to either
  kGossip = 't',  // wants nothing
  kLeave = 'l',   // the sender's process is about to end
};

// What a relay says of another one.
struct PeerReport {
  enum class Kind : char {
    kNothing,
    kAlive,       // by somebody, so long ago
    kUnreachable  // since then a datagram was refused by its machine: there was no such process
  } kind = Kind::kNothing;
  Seconds age = 0;  // rounded up to a step
};
constexpr Seconds kLongestAge = 12;  // what is older is kNothing

struct Message {
  MessageKind kind{};
  std::uint64_t incarnation = 0, sequence = 0, acked_sequence = 0;
  int first_peer = 0;  // of the window
  std::vector<PeerReport> peer_reports;
  std::string zone_payload;
};

// Longer ones than `most` bytes lose the end of their window.
std::string EncodeMessage(const Message& note, std::size_t most);
std::optional<Message> DecodeMessage(
    std::string_view bytes);  // nothing for bytes that are no such note, whole

// Numbers of seven bits a byte, as above. Reading takes them off the front.
void AppendVarint(std::string& bytes, std::uint64_t number);
std::optional<std::uint64_t> ReadVarint(std::string_view& bytes);

}  // namespace opalroute::membership
