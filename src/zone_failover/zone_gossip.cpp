#include "zone_failover/zone_gossip.h"

#include <algorithm>
#include <cmath>

#include "membership/varint.h"

namespace opalroute::zone_failover {

namespace {

using membership::AppendVarint;
using membership::ReadVarint;

constexpr std::uint64_t kMaxZones = 64;
constexpr std::uint64_t kMaxPeer = 4096;
constexpr double kTenthsPerSecond = 10;
constexpr std::uint64_t kMaxPhaseAgeTenths = 1'000'000;
constexpr int kMaxRelapses = 31;
constexpr int kPhaseBits = 2;
constexpr std::uint64_t kPhaseMask = 3;
constexpr std::size_t kDestinationSetBytes = 4;

// Bits that name the sections after the states.
constexpr std::uint64_t kHasReport = 1;
constexpr std::uint64_t kHasOverrides = 2;
constexpr int kKnownSections = 2;
constexpr int kMaxSections = 7;

// Rounds down, so that no age grows as relays pass it on.
void AppendAge(std::string& bytes, Seconds age, Seconds max) {
  AppendVarint(bytes, static_cast<std::uint64_t>(std::clamp(age, 0.0, max) * kTenthsPerSecond));
}

void AppendDestinationSet(std::string& bytes, std::uint32_t set) {
  for (std::size_t i = 0; i < kDestinationSetBytes; ++i) bytes += static_cast<char>(set >> (8 * i));
}

// `bytes` must contain at least kDestinationSetBytes.
std::uint32_t ReadDestinationSet(std::string_view& bytes) {
  std::uint32_t set = 0;
  for (std::size_t i = 0; i < kDestinationSetBytes; ++i) {
    set |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  }
  bytes.remove_prefix(kDestinationSetBytes);
  return set;
}

void AppendState(std::string& bytes, const EvacuationState& state) {
  const int relapses = std::min(state.relapses, kMaxRelapses);
  AppendVarint(bytes, state.round);
  AppendVarint(bytes, static_cast<std::uint64_t>(state.phase) | static_cast<std::uint64_t>(relapses)
                                                                    << kPhaseBits);
  AppendAge(bytes, state.since, kMaxPhaseAgeTenths / kTenthsPerSecond);
}

std::optional<EvacuationState> ReadState(std::string_view& bytes) {
  const auto round = ReadVarint(bytes);
  const auto phase_and_relapses = ReadVarint(bytes);
  const auto age = ReadVarint(bytes);
  if (!round || !phase_and_relapses || !age || *age > kMaxPhaseAgeTenths) return std::nullopt;
  const std::uint64_t relapses = *phase_and_relapses >> kPhaseBits;
  if (relapses > kMaxRelapses) return std::nullopt;
  return EvacuationState{*round, static_cast<EvacuationPhase>(*phase_and_relapses & kPhaseMask),
                         static_cast<int>(relapses), static_cast<double>(*age) / kTenthsPerSecond};
}

void AppendZoneReport(std::string& bytes, const ZoneReport& report) {
  AppendDestinationSet(bytes, report.succeeded);
  AppendDestinationSet(bytes, report.failed);
  AppendDestinationSet(bytes, report.observed);
  AppendAge(bytes, report.success_age, ZoneReport::kMaxAge);
  AppendAge(bytes, report.failure_age, ZoneReport::kMaxAge);
  AppendVarint(bytes, static_cast<std::uint64_t>(report.fault));
}

std::optional<ZoneReport> ReadZoneReport(std::string_view& bytes) {
  if (bytes.size() < 3 * kDestinationSetBytes) return std::nullopt;
  ZoneReport report;
  report.succeeded = ReadDestinationSet(bytes);
  report.failed = ReadDestinationSet(bytes);
  report.observed = ReadDestinationSet(bytes);
  const auto success_age = ReadVarint(bytes);
  const auto failure_age = ReadVarint(bytes);
  const auto fault = ReadVarint(bytes);
  const auto max_age = static_cast<std::uint64_t>(ZoneReport::kMaxAge * kTenthsPerSecond);
  if (!success_age || !failure_age || !fault) return std::nullopt;
  if (*success_age > max_age || *failure_age > max_age || *fault >= kFaultKinds) return std::nullopt;
  report.success_age = static_cast<double>(*success_age) / kTenthsPerSecond;
  report.failure_age = static_cast<double>(*failure_age) / kTenthsPerSecond;
  report.fault = static_cast<FaultKind>(*fault);
  return report;
}

void AppendOverride(std::string& bytes, const OperatorOverride& entry) {
  AppendVarint(bytes, entry.sequence);
  if (entry.sequence == 0) return;
  AppendVarint(bytes, static_cast<std::uint64_t>(entry.issued_by));
  AppendVarint(bytes, static_cast<std::uint64_t>(entry.kind));
  // Rounded up, so that no override expires early as relays pass it on.
  const double remaining = std::clamp(entry.expires_at, 0.0, OperatorOverrides::kMaxDuration);
  AppendVarint(bytes, static_cast<std::uint64_t>(std::ceil(remaining * kTenthsPerSecond)));
}

std::optional<OperatorOverride> ReadOverride(std::string_view& bytes) {
  OperatorOverride entry;
  const auto sequence = ReadVarint(bytes);
  if (!sequence || *sequence > OperatorOverrides::kMaxSequence) return std::nullopt;
  entry.sequence = *sequence;
  if (entry.sequence == 0) return entry;
  const auto issued_by = ReadVarint(bytes);
  const auto kind = ReadVarint(bytes);
  const auto remaining = ReadVarint(bytes);
  if (!issued_by || !kind || !remaining || *issued_by > kMaxPeer) return std::nullopt;
  if (*kind > static_cast<std::uint64_t>(OverrideKind::kKeepInService)) return std::nullopt;
  entry.issued_by = static_cast<membership::Peer>(*issued_by);
  entry.kind = static_cast<OverrideKind>(*kind);
  entry.expires_at = static_cast<double>(*remaining) / kTenthsPerSecond;
  if (entry.expires_at > OperatorOverrides::kMaxDuration) return std::nullopt;
  return entry;
}

// Removes `count` elements from the front of `bytes` and appends them to `elements`. Returns false if one is
// invalid.
template <typename T>
bool ReadElements(std::string_view& bytes, std::uint64_t count,
                  std::optional<T> (*read)(std::string_view& bytes), std::vector<T>& elements) {
  for (std::uint64_t i = 0; i < count; ++i) {
    const std::optional<T> element = read(bytes);
    if (!element) return false;
    elements.push_back(*element);
  }
  return true;
}

bool SkipUnknownSections(std::string_view& bytes, std::uint64_t sections) {
  for (int section = kKnownSections; section < kMaxSections; ++section) {
    if ((sections >> section & 1) == 0) continue;
    const auto length = ReadVarint(bytes);
    if (!length || *length > bytes.size()) return false;
    bytes.remove_prefix(*length);
  }
  return true;
}

}  // namespace

std::string EncodeZoneGossip(const ZoneGossip& gossip) {
  std::string bytes;
  AppendVarint(bytes, gossip.states.size());
  for (const EvacuationState& state : gossip.states) AppendState(bytes, state);
  AppendVarint(bytes, (gossip.report ? kHasReport : 0) | (gossip.overrides.empty() ? 0 : kHasOverrides));
  for (const ZoneReport& report : gossip.report.value_or(Report())) AppendZoneReport(bytes, report);
  for (const OperatorOverride& entry : gossip.overrides) AppendOverride(bytes, entry);
  return bytes;
}

std::optional<ZoneGossip> DecodeZoneGossip(std::string_view bytes) {
  ZoneGossip gossip;
  const auto zones = ReadVarint(bytes);
  if (!zones || *zones > kMaxZones) return std::nullopt;
  if (!ReadElements(bytes, *zones, ReadState, gossip.states)) return std::nullopt;
  const auto sections = ReadVarint(bytes);
  if (!sections || *sections >> kMaxSections != 0) return std::nullopt;
  if ((*sections & kHasReport) != 0 &&
      !ReadElements(bytes, *zones, ReadZoneReport, gossip.report.emplace())) {
    return std::nullopt;
  }
  if ((*sections & kHasOverrides) != 0 && !ReadElements(bytes, *zones, ReadOverride, gossip.overrides)) {
    return std::nullopt;
  }
  if (!SkipUnknownSections(bytes, *sections) || !bytes.empty()) return std::nullopt;
  return gossip;
}

}  // namespace opalroute::zone_failover
