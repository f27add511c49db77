#include "membership/message.h"

#include <algorithm>
#include <cmath>

#include "membership/varint.h"

namespace opalroute::membership {

namespace {

constexpr char kMagic = 'F';
constexpr std::size_t kHeaderBytes = 3;
constexpr std::string_view kKinds = "qhatl";      // all values of MessageKind
constexpr std::size_t kMaxPeers = 4096;           // upper limit of the first peer and of the count
constexpr std::size_t kMaxReportHeaderBytes = 6;  // first peer and count, at most three bytes each

// A range of report codes. Its codes divide the ages up to kMaxReportAge into equal steps; each code stands
// for the end of its step. Code 0 stands for kNone.
struct CodeRange {
  PeerReport::Kind kind;
  unsigned first_code;
  unsigned count;
};
constexpr CodeRange kCodeRanges[] = {{PeerReport::Kind::kAlive, 1, 7},
                                     {PeerReport::Kind::kUnreachable, 8, 24}};

unsigned CodeOf(const PeerReport& report) {
  for (const CodeRange& range : kCodeRanges) {
    if (report.kind != range.kind || report.age > kMaxReportAge) continue;
    const double step = kMaxReportAge / range.count;
    const auto steps = static_cast<unsigned>(std::ceil(std::max(0.0, report.age) / step - 1e-9));
    return range.first_code + std::clamp(steps, 1U, range.count) - 1;
  }
  return 0;
}

PeerReport ReportOf(unsigned code) {
  for (const CodeRange& range : kCodeRanges) {
    if (code >= range.first_code && code < range.first_code + range.count) {
      return {range.kind, (code - range.first_code + 1) * kMaxReportAge / range.count};
    }
  }
  return {};
}

std::size_t PackedSize(std::size_t count) { return (count * kPeerReportBits + 7) / 8; }

std::string PackReports(const std::vector<PeerReport>& reports, std::size_t count) {
  std::string packed(PackedSize(count), '\0');
  for (std::size_t i = 0; i < count; ++i) {
    const unsigned code = CodeOf(reports[i]);
    for (std::size_t bit = 0; bit < kPeerReportBits; ++bit) {
      const std::size_t position = i * kPeerReportBits + bit;
      if ((code >> bit & 1U) != 0) packed[position / 8] |= static_cast<char>(1U << position % 8);
    }
  }
  return packed;
}

std::vector<PeerReport> UnpackReports(std::string_view packed, std::size_t count) {
  std::vector<PeerReport> reports;
  for (std::size_t i = 0; i < count; ++i) {
    unsigned code = 0;
    for (std::size_t bit = 0; bit < kPeerReportBits; ++bit) {
      const std::size_t position = i * kPeerReportBits + bit;
      code |= (static_cast<unsigned char>(packed[position / 8]) >> position % 8 & 1U) << bit;
    }
    reports.push_back(ReportOf(code));
  }
  return reports;
}

// Reads the incarnation and the sequence numbers that follow the header.
bool ReadSequences(std::string_view& bytes, Message& message) {
  const auto incarnation = ReadVarint(bytes);
  const auto sequence = ReadVarint(bytes);
  if (!incarnation || !sequence) return false;
  message.incarnation = *incarnation;
  message.sequence = *sequence;
  if (message.kind != MessageKind::kAck) return true;
  const auto acked_sequence = ReadVarint(bytes);
  message.acked_sequence = acked_sequence.value_or(0);
  return acked_sequence.has_value();
}

bool ReadReports(std::string_view& bytes, Message& message) {
  const auto first_peer = ReadVarint(bytes);
  const auto count = ReadVarint(bytes);
  if (!first_peer || !count || *count > kMaxPeers || *first_peer > kMaxPeers) return false;
  const std::size_t size = PackedSize(*count);
  if (bytes.size() < size) return false;
  message.first_peer = static_cast<int>(*first_peer);
  message.peer_reports = UnpackReports(bytes.substr(0, size), *count);
  bytes.remove_prefix(size);
  return true;
}

}  // namespace

std::string EncodeMessage(const Message& message, std::size_t max_bytes) {
  std::string bytes = {kMagic, kVersion, static_cast<char>(message.kind)};
  AppendVarint(bytes, message.incarnation);
  AppendVarint(bytes, message.sequence);
  if (message.kind == MessageKind::kAck) AppendVarint(bytes, message.acked_sequence);
  std::string payload;
  AppendVarint(payload, message.zone_payload.size());
  payload += message.zone_payload;
  const std::size_t used = bytes.size() + payload.size() + kMaxReportHeaderBytes;
  const std::size_t capacity = used < max_bytes ? (max_bytes - used) * 8 / kPeerReportBits : 0;
  const std::size_t count = std::min({message.peer_reports.size(), capacity, kMaxPeers});
  AppendVarint(bytes, static_cast<std::uint64_t>(message.first_peer));
  AppendVarint(bytes, count);
  return bytes + PackReports(message.peer_reports, count) + payload;
}

std::optional<Message> DecodeMessage(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || bytes[0] != kMagic || bytes[1] != kVersion) return std::nullopt;
  if (kKinds.find(bytes[2]) == std::string_view::npos) return std::nullopt;
  Message message;
  message.kind = static_cast<MessageKind>(bytes[2]);
  bytes.remove_prefix(kHeaderBytes);
  if (!ReadSequences(bytes, message) || !ReadReports(bytes, message)) return std::nullopt;
  const auto length = ReadVarint(bytes);
  if (!length || bytes.size() != *length) return std::nullopt;
  message.zone_payload = std::string(bytes);
  return message;
}

}  // namespace opalroute::membership
