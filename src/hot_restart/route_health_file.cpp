#include "hot_restart/route_health_file.h"

#include <algorithm>
#include <cstring>
#include <optional>
#include <tuple>

#include "journal/durable_file.h"

namespace opalroute::hot_restart {

namespace {

struct Record {
  std::int64_t destination;
  std::int64_t since;
  std::int64_t written;
  std::uint32_t name_hash;
  std::uint8_t condition;
  std::uint8_t circuit_open;
  std::uint8_t faults;
  std::uint8_t reserved;
  std::uint32_t checksum;
  std::uint32_t padding;
};
static_assert(sizeof(Record) == RouteHealthFile::kRecordBytes, "records must have no other padding");

constexpr int kMaxFaults = 255;

// FNV-1a over all bytes before the checksum.
std::uint32_t ComputeChecksum(const Record& record) {
  constexpr std::uint32_t kOffsetBasis = 2166136261U;
  constexpr std::uint32_t kPrime = 16777619U;
  unsigned char bytes[offsetof(Record, checksum)];
  std::memcpy(bytes, &record, sizeof(bytes));
  std::uint32_t hash = kOffsetBasis;
  for (const unsigned char byte : bytes) hash = (hash ^ byte) * kPrime;
  return hash;
}

std::string Encode(const SavedRouteHealth& health) {
  Record record{};
  record.destination = health.destination;
  record.since = health.since;
  record.written = health.written;
  record.name_hash = health.name_hash;
  record.condition = static_cast<std::uint8_t>(health.condition);
  record.circuit_open = health.circuit_open ? 1 : 0;
  record.faults = static_cast<std::uint8_t>(std::clamp(health.faults, 0, kMaxFaults));
  record.checksum = ComputeChecksum(record);
  return {reinterpret_cast<const char*>(&record), sizeof(record)};
}

std::optional<SavedRouteHealth> Decode(const std::string& bytes, std::size_t offset) {
  Record record{};
  std::memcpy(&record, bytes.data() + offset, sizeof(record));
  if (record.checksum != ComputeChecksum(record)) return std::nullopt;
  if (record.condition > static_cast<std::uint8_t>(RouteCondition::kSlowStart)) return std::nullopt;
  SavedRouteHealth health;
  health.destination = record.destination;
  health.name_hash = record.name_hash;
  health.condition = static_cast<RouteCondition>(record.condition);
  health.circuit_open = record.circuit_open != 0;
  health.faults = record.faults;
  health.since = record.since;
  health.written = record.written;
  return health;
}

bool IsServing(const SavedRouteHealth& health) {
  return health.condition == RouteCondition::kServing && !health.circuit_open;
}

std::string PathOf(const std::string& folder, int slot) { return folder + "/health." + std::to_string(slot); }

}  // namespace

RouteHealthFile::RouteHealthFile(const std::string& folder, int own_slot, int other_slot,
                                 std::size_t max_entries)
    : max_entries_(max_entries), file_(OpenOrCreate(PathOf(folder, own_slot))) {
  Merge(ReadWholeFile(file_.get(), PathOf(folder, own_slot)));
  const std::string other = PathOf(folder, other_slot);
  if (const auto bytes = ReadFileIfExists(other)) Merge(*bytes);
  for (const auto& [route, entry] : entries_) pending_.insert(route);
  WritePending();
}

void RouteHealthFile::Merge(const std::string& bytes) {
  for (std::size_t offset = 0; offset + kRecordBytes <= bytes.size(); offset += kRecordBytes) {
    const auto health = Decode(bytes, offset);
    if (!health) continue;
    Entry& entry = FindOrAdd({health->destination, health->name_hash})->second;
    if (entry.health.written <= health->written) entry.health = *health;
  }
}

RouteHealthFile::Entries::iterator RouteHealthFile::FindOrAdd(const RouteKey& route) {
  const auto existing = entries_.find(route);
  if (existing != entries_.end()) return existing;
  std::size_t index = entries_.size();
  if (index >= max_entries_) {
    const auto least_needed =
        std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          return std::make_tuple(!IsServing(a.second.health), a.second.health.written) <
                 std::make_tuple(!IsServing(b.second.health), b.second.health.written);
        });
    index = least_needed->second.index;
    pending_.erase(least_needed->first);
    entries_.erase(least_needed);
  }
  return entries_.emplace(route, Entry{index, {}}).first;
}

bool RouteHealthFile::Save(const SavedRouteHealth& health) {
  const RouteKey route{health.destination, health.name_hash};
  FindOrAdd(route)->second.health = health;
  pending_.insert(route);
  return WritePending();
}

bool RouteHealthFile::WritePending() {
  while (!pending_.empty()) {
    const Entry& entry = entries_.at(*pending_.begin());
    if (!WriteAllAt(file_.get(), Encode(entry.health), entry.index * kRecordBytes)) return false;
    pending_.erase(pending_.begin());
  }
  return true;
}

std::vector<SavedRouteHealth> RouteHealthFile::NotServing() const {
  std::vector<SavedRouteHealth> not_serving;
  for (const auto& [route, entry] : entries_)
    if (!IsServing(entry.health)) not_serving.push_back(entry.health);
  return not_serving;
}

}  // namespace opalroute::hot_restart
