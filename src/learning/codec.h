// The forms in which beliefs travel (proto/learning.proto), and the ranges that they are held to. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "opalroute/rules.h"

namespace opalroute::learning {

constexpr std::uint32_t kVersion = 1;
constexpr Seconds kLongestAge = 3600;  // of an observation, and of a wait: what is beyond is no sound value
constexpr double kMostPace = 1e6;      // calls a second
constexpr std::size_t kLongestName = 256;
constexpr std::size_t kLongestFrame = 64 * 1024;  // bytes of a record
constexpr std::size_t kNoteBytes = 256;           // a datagram between relays holds no more

// A belief whose endpoint is still a name. `belief.endpoint` counts for nothing until the name was looked up.
struct Heard {
  std::string endpoint;  // empty: the destination as a whole
  Belief belief;
};

struct Ask {
  std::uint32_t version = kVersion;
  std::string name;
};
struct Begin {
  std::uint32_t version = kVersion;
  std::string name;
  Seconds running = 0;
  std::int64_t written_at = 0;  // Unix time in microseconds, in a saved file alone
};
struct Chunk {
  Seconds since_begin = 0;
  std::vector<Heard> lanes;
  int out_of_range = 0;  // values left out while reading: negative, not a number, or too large
};
struct End {
  std::uint64_t lanes = 0;
};
using Message = std::variant<Ask, Begin, Chunk, End>;

// Whole frames, ready for a stream or a file.
std::string Write(const Message& message);
// Reads a frame's record. None: no such message, or of a kind that this version does not know.
std::optional<Message> Read(std::string_view record);

struct Note {
  std::uint32_t version = kVersion;
  std::uint32_t nonce = 0;
  bool asks = false;
  std::vector<Heard> lanes;
  int out_of_range = 0;
};
// As many lanes as fit into a datagram, from the front; returns how many in `written`.
std::string WriteNote(const Note& note, std::size_t& written);
std::optional<Note> ReadNote(std::string_view bytes);

// Makes a belief older by this: waits get shorter, ages grow.
void Age(Belief& belief, Seconds by);

}  // namespace opalroute::learning
