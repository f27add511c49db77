#include "membership/message.h"

#include <algorithm>
#include <cmath>

namespace opalroute::membership {

namespace {

constexpr int kBits = 5;                  // of a state
constexpr std::size_t kMostPeers = 4096;  // a window that claims more is no window

// 0 nothing; 1 to 7 heard, 8 to 31 refused: each by its age in even steps.
struct Steps {
  PeerReport::Kind of;
  unsigned from, count;
};
constexpr Steps kSteps[] = {{PeerReport::Kind::kAlive, 1, 7}, {PeerReport::Kind::kUnreachable, 8, 24}};

unsigned StateOf(const PeerReport& told) {
  for (const Steps& s : kSteps) {
    if (told.kind != s.of || told.age > kLongestAge) continue;
    const double step = kLongestAge / s.count;
    const auto up = static_cast<unsigned>(std::ceil(std::max(0.0, told.age) / step - 1e-9));
    return s.from + std::clamp(up, 1U, s.count) - 1;
  }
  return 0;
}

PeerReport ToldBy(unsigned state) {
  for (const Steps& s : kSteps)
    if (state >= s.from && state < s.from + s.count)
      return {s.of, (state - s.from + 1) * kLongestAge / s.count};
  return {};
}

}  // namespace

void AppendVarint(std::string& bytes, std::uint64_t number) {
  for (; number >= 128; number >>= 7) bytes += static_cast<char>(128 | (number & 127));
  bytes += static_cast<char>(number);
}

std::optional<std::uint64_t> ReadVarint(std::string_view& bytes) {
  std::uint64_t number = 0;
  for (int shift = 0; shift < 64 && !bytes.empty(); shift += 7) {
    const auto byte = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    number |= static_cast<std::uint64_t>(byte & 127) << shift;
    if ((byte & 128) == 0) return number;
  }
  return std::nullopt;
}

std::string EncodeMessage(const Message& note, std::size_t most) {
  std::string bytes = {'F', kVersion, static_cast<char>(note.kind)};
  AppendVarint(bytes, note.incarnation);
  AppendVarint(bytes, note.sequence);
  if (note.kind == MessageKind::kAck) AppendVarint(bytes, note.acked_sequence);
  std::string zones;
  AppendVarint(zones, note.zone_payload.size());
  zones += note.zone_payload;
  constexpr std::size_t kWindowHead = 6;  // two numbers, three bytes each at most
  const std::size_t taken = bytes.size() + zones.size() + kWindowHead;
  const std::size_t room = taken < most ? (most - taken) * 8 / kBits : 0;
  const std::size_t count = std::min({note.peer_reports.size(), room, kMostPeers});
  AppendVarint(bytes, static_cast<std::uint64_t>(note.first_peer));
  AppendVarint(bytes, count);
  std::string states((count * kBits + 7) / 8, '\0');
  for (std::size_t i = 0; i < count; ++i)
    for (std::size_t bit = 0; bit < kBits; ++bit)
      if ((StateOf(note.peer_reports[i]) >> bit & 1U) != 0)
        states[(i * kBits + bit) / 8] |= static_cast<char>(1U << (i * kBits + bit) % 8);
  return bytes + states + zones;
}

std::optional<Message> DecodeMessage(std::string_view bytes) {
  if (bytes.size() < 3 || bytes[0] != 'F' || bytes[1] != kVersion) return std::nullopt;
  Message note;
  note.kind = static_cast<MessageKind>(bytes[2]);
  if (std::string_view("qhatl").find(bytes[2]) == std::string_view::npos) return std::nullopt;
  bytes.remove_prefix(3);
  const auto life = ReadVarint(bytes), number = ReadVarint(bytes);
  const auto echo = note.kind == MessageKind::kAck ? ReadVarint(bytes) : std::optional<std::uint64_t>(0);
  const auto first = ReadVarint(bytes), count = ReadVarint(bytes);
  if (!life || !number || !echo || !first || !count) return std::nullopt;
  if (*count > kMostPeers || *first > kMostPeers) return std::nullopt;
  const std::size_t size = (*count * kBits + 7) / 8;
  if (bytes.size() < size) return std::nullopt;
  note.incarnation = *life;
  note.sequence = *number;
  note.acked_sequence = *echo;
  note.first_peer = static_cast<int>(*first);
  for (std::size_t i = 0; i < *count; ++i) {
    unsigned state = 0;
    for (std::size_t bit = 0; bit < kBits; ++bit)
      state |= (static_cast<unsigned char>(bytes[(i * kBits + bit) / 8]) >> (i * kBits + bit) % 8 & 1U)
               << bit;
    note.peer_reports.push_back(ToldBy(state));
  }
  bytes.remove_prefix(size);
  const auto length = ReadVarint(bytes);
  if (!length || bytes.size() != *length) return std::nullopt;
  note.zone_payload = std::string(bytes);
  return note;
}

}  // namespace opalroute::membership
