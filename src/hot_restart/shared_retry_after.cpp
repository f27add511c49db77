#include "hot_restart/shared_retry_after.h"

#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <tuple>
#include <utility>

#include "journal/durable_file.h"

namespace opalroute::hot_restart {

namespace {

struct Record {
  std::int64_t destination;
  std::int64_t until;
  std::uint32_t name_hash;
  std::uint32_t check;
};
static_assert(sizeof(Record) == 24, "records follow one another without gaps");

constexpr std::size_t kHeaderBytes = sizeof(std::uint64_t);

std::uint32_t CheckOf(const Record& record) {
  const std::uint64_t mixed = (static_cast<std::uint64_t>(record.destination) * 0x9e3779b97f4a7c15U) ^
                              (static_cast<std::uint64_t>(record.until) * 0xc2b2ae3d27d4eb4fU) ^
                              record.name_hash;
  return static_cast<std::uint32_t>(mixed >> 32U) ^ static_cast<std::uint32_t>(mixed) ^ 0x5a17U;
}

std::vector<Record> DecodeRecords(const std::string& bytes) {
  std::vector<Record> records;
  for (std::size_t at = kHeaderBytes; at + sizeof(Record) <= bytes.size(); at += sizeof(Record)) {
    Record record{};
    std::memcpy(&record, bytes.data() + at, sizeof(record));
    if (record.check == CheckOf(record)) records.push_back(record);
  }
  return records;
}

std::string PathOf(const std::string& folder, int slot) { return folder + "/waits." + std::to_string(slot); }

}  // namespace

bool SharedRetryAfterTable::RouteKey::operator<(const RouteKey& other) const {
  return std::tie(destination, name_hash) < std::tie(other.destination, other.name_hash);
}

SharedRetryAfterTable::SharedRetryAfterTable(const std::string& folder, int own_slot, int other_slot,
                                             std::size_t max_entries)
    : max_entries_(max_entries),
      own_file_(OpenOrCreate(PathOf(folder, own_slot))),
      other_file_(OpenOrCreate(PathOf(folder, other_slot))) {
  Recover(ReadWholeFile(own_file_.get(), PathOf(folder, own_slot)));
}

// Writes the records anew from the front, without gaps; what stood behind them is cut off once all are
// written.
void SharedRetryAfterTable::Recover(const std::string& bytes) {
  if (bytes.size() >= kHeaderBytes) std::memcpy(&written_changes_, bytes.data(), kHeaderBytes);
  for (const Record& record : DecodeRecords(bytes))
    Publish({record.destination, record.name_hash, record.until});
  if (!pending_.empty()) return;
  const std::size_t size = kHeaderBytes + slots_.size() * sizeof(Record);
  // Should it fail, the records behind the end are read on, and hold until their time.
  (void)!ftruncate(own_file_.get(), static_cast<off_t>(size));
}

void SharedRetryAfterTable::Publish(const SharedRetryAfter& entry) {
  const RouteKey route{entry.destination, entry.name_hash};
  auto slot = slots_.find(route);
  if (slot == slots_.end()) slot = AddSlot(route);
  if (entry.until <= slot->second.until) return;
  slot->second.until = entry.until;
  pending_.insert(route);
  WritePending();
}

SharedRetryAfterTable::Slots::iterator SharedRetryAfterTable::AddSlot(const RouteKey& route) {
  std::size_t position = slots_.size();
  if (position >= max_entries_) {
    const auto ends_first = std::min_element(slots_.begin(), slots_.end(), [](const auto& a, const auto& b) {
      return a.second.until < b.second.until;
    });
    position = ends_first->second.position;
    pending_.erase(ends_first->first);
    slots_.erase(ends_first);
  }
  return slots_.emplace(route, Slot{position, 0}).first;
}

bool SharedRetryAfterTable::Write(const RouteKey& route) {
  const Slot& slot = slots_.at(route);
  Record record{route.destination, slot.until, route.name_hash, 0};
  record.check = CheckOf(record);
  const std::uint64_t changes = written_changes_ + 1;
  const auto offset = static_cast<off_t>(kHeaderBytes + slot.position * sizeof(record));
  if (pwrite(own_file_.get(), &record, sizeof(record), offset) != sizeof(record)) return false;
  if (pwrite(own_file_.get(), &changes, sizeof(changes), 0) != sizeof(changes)) return false;
  written_changes_ = changes;
  return true;
}

void SharedRetryAfterTable::WritePending() {
  while (!pending_.empty() && Write(*pending_.begin())) pending_.erase(pending_.begin());
}

bool SharedRetryAfterTable::HasChanges() {
  WritePending();
  std::uint64_t changes = 0;
  if (pread(other_file_.get(), &changes, sizeof(changes), 0) != sizeof(changes)) changes = 0;
  return std::exchange(last_seen_change_, changes) != changes;
}

std::vector<SharedRetryAfter> SharedRetryAfterTable::Active(std::int64_t now) {
  std::vector<SharedRetryAfter> active;
  std::string buffer(kHeaderBytes + max_entries_ * sizeof(Record), '\0');
  for (const int fd : {own_file_.get(), other_file_.get()}) {
    const ssize_t count = pread(fd, buffer.data(), buffer.size(), 0);
    if (count < 0) last_seen_change_.reset();
    const std::string bytes = buffer.substr(0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    for (const Record& record : DecodeRecords(bytes))
      if (record.until > now) active.push_back({record.destination, record.name_hash, record.until});
  }
  return active;
}

}  // namespace opalroute::hot_restart
