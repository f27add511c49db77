// What relays of one tier send one another: whole, in one datagram, and read as data from a stranger. Pure.
//
//   byte 0     'F'                     byte 1     kVersion
//   byte 2     kind                    then, as numbers of seven bits a byte, the lowest first:
//   life       of the sender's process (it only grows), then the note's number in that life
//   echo       answers only: the number of the question
//   window     first peer, how many, and five bits each (their states, the lowest bits first)
//   zones      length and bytes: src/zones/codec.h
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "opalroute/rules.h"

namespace opalroute::tier {

using Peer = int;  // its number among `peers`

constexpr char kVersion = 1;

enum class NoteKind : char {
  kAsk = 'q',      // wants an answer with the states of others
  kHello = 'h',    // of a process that has started: wants a short answer
  kAnswer = 'a',   // to either
  kTold = 't',     // wants nothing
  kLeaving = 'l',  // the sender's process is about to end
};

// What a relay says of another one.
struct Told {
  enum class Of : char {
    kNothing,
    kHeard,   // by somebody, so long ago
    kRefused  // since then a datagram was refused by its machine: there was no such process
  } of = Of::kNothing;
  Seconds age = 0;  // rounded up to a step
};
constexpr Seconds kLongestAge = 12;  // what is older is kNothing

struct Note {
  NoteKind kind{};
  std::uint64_t life = 0, number = 0, echo = 0;
  int first = 0;  // of the window
  std::vector<Told> told;
  std::string zones;
};

// Longer ones than `most` bytes lose the end of their window.
std::string WriteNote(const Note& note, std::size_t most);
std::optional<Note> ReadNote(std::string_view bytes);  // nothing for bytes that are no such note, whole

// Numbers of seven bits a byte, as above. Reading takes them off the front.
void PutNumber(std::string& bytes, std::uint64_t number);
std::optional<std::uint64_t> TakeNumber(std::string_view& bytes);

}  // namespace opalroute::tier
