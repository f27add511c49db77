#include "zone_failover/zone_gossip.h"

#include <algorithm>
#include <cmath>

#include "membership/varint.h"

namespace opalroute::zone_failover {

namespace {

using membership::AppendVarint;
using membership::ReadVarint;

constexpr std::uint64_t kMostZones = 64, kMostPeers = 4096;
constexpr double kTenths = 10;
constexpr std::uint64_t kMostAge = 1'000'000;  // tenths
constexpr int kMostRelapses = 31;
constexpr std::uint64_t kHasReport = 1, kHasOrders = 2;
// Parts by their bits: a report, orders, and those of later builds, which are told with their length.
constexpr int kKnownParts = 2, kMostParts = 7;

void PutAge(std::string& bytes, Seconds age, Seconds most) {
  // Rounded down, so that nothing seems older than it is, however often it is passed on.
  AppendVarint(bytes, static_cast<std::uint64_t>(std::clamp(age, 0.0, most) * kTenths));
}
void PutBits(std::string& bytes, std::uint32_t bits) {
  for (int i = 0; i < 4; ++i) bytes += static_cast<char>(bits >> (8 * i));
}
std::uint32_t TakeBits(std::string_view& bytes) {
  std::uint32_t bits = 0;
  for (std::size_t i = 0; i < 4; ++i)
    bits |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  bytes.remove_prefix(4);
  return bits;
}
std::optional<OperatorOverride> TakeOrder(std::string_view& bytes) {
  OperatorOverride order;
  const auto number = ReadVarint(bytes);
  if (!number || *number > OperatorOverrides::kMaxSequence) return std::nullopt;
  order.sequence = *number;
  if (order.sequence == 0) return order;
  const auto by = ReadVarint(bytes), what = ReadVarint(bytes), left = ReadVarint(bytes);
  if (!by || !what || !left || *by > kMostPeers ||
      *what > static_cast<std::uint64_t>(OverrideKind::kKeepInService))
    return std::nullopt;
  order.issued_by = static_cast<membership::Peer>(*by);
  order.kind = static_cast<OverrideKind>(*what);
  order.expires_at = static_cast<double>(*left) / kTenths;
  return order.expires_at <= OperatorOverrides::kMaxDuration ? std::optional(order) : std::nullopt;
}

}  // namespace

std::string EncodeZoneGossip(const ZoneGossip& said) {
  std::string bytes;
  AppendVarint(bytes, said.stages.size());
  for (const EvacuationState& s : said.stages) {
    AppendVarint(bytes, s.round);
    AppendVarint(bytes, static_cast<std::uint64_t>(s.phase) |
                            static_cast<std::uint64_t>(std::min(s.relapses, kMostRelapses)) << 2);
    PutAge(bytes, s.since, kMostAge / kTenths);
  }
  AppendVarint(bytes, (said.report ? kHasReport : 0) | (said.overrides.empty() ? 0 : kHasOrders));
  for (const ZoneReport& r : said.report.value_or(Report())) {
    PutBits(bytes, r.succeeded);
    PutBits(bytes, r.failed);
    PutBits(bytes, r.observed);
    PutAge(bytes, r.success_age, ZoneReport::kMaxAge);
    PutAge(bytes, r.failure_age, ZoneReport::kMaxAge);
    AppendVarint(bytes, static_cast<std::uint64_t>(r.fault));
  }
  for (const OperatorOverride& order : said.overrides) {
    AppendVarint(bytes, order.sequence);
    if (order.sequence == 0) continue;
    AppendVarint(bytes, static_cast<std::uint64_t>(order.issued_by));
    AppendVarint(bytes, static_cast<std::uint64_t>(order.kind));
    // Rounded up: nothing ends before its time, however often it is passed on.
    AppendVarint(bytes, static_cast<std::uint64_t>(std::ceil(
                            std::clamp(order.expires_at, 0.0, OperatorOverrides::kMaxDuration) * kTenths)));
  }
  return bytes;
}

std::optional<ZoneGossip> DecodeZoneGossip(std::string_view bytes) {
  ZoneGossip said;
  const auto zones = ReadVarint(bytes);
  if (!zones || *zones > kMostZones) return std::nullopt;
  for (std::uint64_t i = 0; i < *zones; ++i) {
    const auto round = ReadVarint(bytes), step = ReadVarint(bytes), age = ReadVarint(bytes);
    if (!round || !step || !age || *age > kMostAge || *step >> 2 > kMostRelapses) return std::nullopt;
    said.stages.push_back({*round, static_cast<EvacuationPhase>(*step & 3), static_cast<int>(*step >> 2),
                           static_cast<double>(*age) / kTenths});
  }
  const auto has = ReadVarint(bytes);
  if (!has || *has >> kMostParts != 0) return std::nullopt;
  if ((*has & kHasReport) != 0) said.report.emplace();
  for (std::uint64_t i = 0; said.report && i < *zones; ++i) {
    if (bytes.size() < 12) return std::nullopt;
    ZoneReport r;
    r.succeeded = TakeBits(bytes);
    r.failed = TakeBits(bytes);
    r.observed = TakeBits(bytes);
    const auto good = ReadVarint(bytes), bad = ReadVarint(bytes), wrong = ReadVarint(bytes);
    const auto most = static_cast<std::uint64_t>(ZoneReport::kMaxAge * kTenths);
    if (!good || !bad || !wrong || *good > most || *bad > most || *wrong > 5) return std::nullopt;
    r.success_age = static_cast<double>(*good) / kTenths;
    r.failure_age = static_cast<double>(*bad) / kTenths;
    r.fault = static_cast<FaultKind>(*wrong);
    said.report->push_back(r);
  }
  for (std::uint64_t i = 0; (*has & kHasOrders) != 0 && i < *zones; ++i) {
    const auto order = TakeOrder(bytes);
    if (!order) return std::nullopt;
    said.overrides.push_back(*order);
  }
  for (int part = kKnownParts; part < kMostParts; ++part) {
    if ((*has >> part & 1) == 0) continue;
    const auto length = ReadVarint(bytes);
    if (!length || *length > bytes.size()) return std::nullopt;
    bytes.remove_prefix(*length);
  }
  return bytes.empty() ? std::optional(said) : std::nullopt;
}

}  // namespace opalroute::zone_failover
