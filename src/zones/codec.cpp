#include "zones/codec.h"

#include <algorithm>
#include <cmath>

namespace opalroute::zones {

namespace {

using tier::PutNumber;
using tier::TakeNumber;

constexpr std::uint64_t kMostZones = 64, kMostPeers = 4096;
constexpr double kTenths = 10;
constexpr std::uint64_t kMostAge = 1'000'000;  // tenths
constexpr int kMostRelapses = 31;
constexpr std::uint64_t kHasReport = 1, kHasOrders = 2;
// Parts by their bits: a report, orders, and those of later builds, which are told with their length.
constexpr int kKnownParts = 2, kMostParts = 7;

void PutAge(std::string& bytes, Seconds age, Seconds most) {
  // Rounded down, so that nothing seems older than it is, however often it is passed on.
  PutNumber(bytes, static_cast<std::uint64_t>(std::clamp(age, 0.0, most) * kTenths));
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
std::optional<HandOrder> TakeOrder(std::string_view& bytes) {
  HandOrder order;
  const auto number = TakeNumber(bytes);
  if (!number || *number > Orders::kMostNumber) return std::nullopt;
  order.number = *number;
  if (order.number == 0) return order;
  const auto by = TakeNumber(bytes), what = TakeNumber(bytes), left = TakeNumber(bytes);
  if (!by || !what || !left || *by > kMostPeers || *what > static_cast<std::uint64_t>(ByHand::kKeep))
    return std::nullopt;
  order.by = static_cast<tier::Peer>(*by);
  order.what = static_cast<ByHand>(*what);
  order.until = static_cast<double>(*left) / kTenths;
  return order.until <= Orders::kMostLasts ? std::optional(order) : std::nullopt;
}

}  // namespace

std::string WriteSaid(const Said& said) {
  std::string bytes;
  PutNumber(bytes, said.stages.size());
  for (const Stage& s : said.stages) {
    PutNumber(bytes, s.round);
    PutNumber(bytes, static_cast<std::uint64_t>(s.step) |
                         static_cast<std::uint64_t>(std::min(s.relapses, kMostRelapses)) << 2);
    PutAge(bytes, s.since, kMostAge / kTenths);
  }
  PutNumber(bytes, (said.report ? kHasReport : 0) | (said.orders.empty() ? 0 : kHasOrders));
  for (const ZoneReport& r : said.report.value_or(Report())) {
    PutBits(bytes, r.good);
    PutBits(bytes, r.bad);
    PutBits(bytes, r.seen);
    PutAge(bytes, r.good_age, ZoneReport::kLongestReported);
    PutAge(bytes, r.bad_age, ZoneReport::kLongestReported);
    PutNumber(bytes, static_cast<std::uint64_t>(r.wrong));
  }
  for (const HandOrder& order : said.orders) {
    PutNumber(bytes, order.number);
    if (order.number == 0) continue;
    PutNumber(bytes, static_cast<std::uint64_t>(order.by));
    PutNumber(bytes, static_cast<std::uint64_t>(order.what));
    // Rounded up: nothing ends before its time, however often it is passed on.
    PutNumber(bytes, static_cast<std::uint64_t>(
                         std::ceil(std::clamp(order.until, 0.0, Orders::kMostLasts) * kTenths)));
  }
  return bytes;
}

std::optional<Said> ReadSaid(std::string_view bytes) {
  Said said;
  const auto zones = TakeNumber(bytes);
  if (!zones || *zones > kMostZones) return std::nullopt;
  for (std::uint64_t i = 0; i < *zones; ++i) {
    const auto round = TakeNumber(bytes), step = TakeNumber(bytes), age = TakeNumber(bytes);
    if (!round || !step || !age || *age > kMostAge || *step >> 2 > kMostRelapses) return std::nullopt;
    said.stages.push_back({*round, static_cast<Step>(*step & 3), static_cast<int>(*step >> 2),
                           static_cast<double>(*age) / kTenths});
  }
  const auto has = TakeNumber(bytes);
  if (!has || *has >> kMostParts != 0) return std::nullopt;
  if ((*has & kHasReport) != 0) said.report.emplace();
  for (std::uint64_t i = 0; said.report && i < *zones; ++i) {
    if (bytes.size() < 12) return std::nullopt;
    ZoneReport r;
    r.good = TakeBits(bytes);
    r.bad = TakeBits(bytes);
    r.seen = TakeBits(bytes);
    const auto good = TakeNumber(bytes), bad = TakeNumber(bytes), wrong = TakeNumber(bytes);
    const auto most = static_cast<std::uint64_t>(ZoneReport::kLongestReported * kTenths);
    if (!good || !bad || !wrong || *good > most || *bad > most || *wrong > 5) return std::nullopt;
    r.good_age = static_cast<double>(*good) / kTenths;
    r.bad_age = static_cast<double>(*bad) / kTenths;
    r.wrong = static_cast<Wrong>(*wrong);
    said.report->push_back(r);
  }
  for (std::uint64_t i = 0; (*has & kHasOrders) != 0 && i < *zones; ++i) {
    const auto order = TakeOrder(bytes);
    if (!order) return std::nullopt;
    said.orders.push_back(*order);
  }
  for (int part = kKnownParts; part < kMostParts; ++part) {
    if ((*has >> part & 1) == 0) continue;
    const auto length = TakeNumber(bytes);
    if (!length || *length > bytes.size()) return std::nullopt;
    bytes.remove_prefix(*length);
  }
  return bytes.empty() ? std::optional(said) : std::nullopt;
}

}  // namespace opalroute::zones
