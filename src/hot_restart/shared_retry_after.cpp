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
  std::uint32_t checksum;
};
static_assert(sizeof(Record) == 24, "records must have no padding");

constexpr std::size_t kHeaderBytes = sizeof(std::uint64_t);

std::uint32_t ComputeChecksum(const Record& record) {
  const std::uint64_t mixed = (static_cast<std::uint64_t>(record.destination) * 0x9e3779b97f4a7c15U) ^
                              (static_cast<std::uint64_t>(record.until) * 0xc2b2ae3d27d4eb4fU) ^
                              record.name_hash;
  return static_cast<std::uint32_t>(mixed >> 32U) ^ static_cast<std::uint32_t>(mixed) ^ 0x5a17U;
}

std::vector<Record> DecodeRecords(const std::string& bytes) {
  std::vector<Record> records;
  for (std::size_t offset = kHeaderBytes; offset + sizeof(Record) <= bytes.size(); offset += sizeof(Record)) {
    Record record{};
    std::memcpy(&record, bytes.data() + offset, sizeof(record));
    if (record.checksum == ComputeChecksum(record)) records.push_back(record);
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

// Rewrites the valid records from the start of the file, without gaps, and then truncates the rest. Truncates
// only if all of them could be written.
void SharedRetryAfterTable::Recover(const std::string& bytes) {
  if (bytes.size() >= kHeaderBytes) std::memcpy(&own_change_count_, bytes.data(), kHeaderBytes);
  for (const Record& record : DecodeRecords(bytes))
    Publish({record.destination, record.name_hash, record.until});
  if (!pending_.empty()) return;
  const std::size_t size = kHeaderBytes + own_entries_.size() * sizeof(Record);
  // If this fails, the records after `size` stay in effect until their times have passed.
  (void)!ftruncate(own_file_.get(), static_cast<off_t>(size));
}

void SharedRetryAfterTable::Publish(const SharedRetryAfter& entry) {
  const RouteKey route{entry.destination, entry.name_hash};
  auto own_entry = own_entries_.find(route);
  if (own_entry == own_entries_.end()) own_entry = AddEntry(route);
  if (entry.until <= own_entry->second.until) return;
  own_entry->second.until = entry.until;
  pending_.insert(route);
  WritePending();
}

SharedRetryAfterTable::OwnEntries::iterator SharedRetryAfterTable::AddEntry(const RouteKey& route) {
  std::size_t record_index = own_entries_.size();
  if (record_index >= max_entries_) {
    const auto earliest =
        std::min_element(own_entries_.begin(), own_entries_.end(),
                         [](const auto& a, const auto& b) { return a.second.until < b.second.until; });
    record_index = earliest->second.record_index;
    pending_.erase(earliest->first);
    own_entries_.erase(earliest);
  }
  return own_entries_.emplace(route, OwnEntry{record_index, 0}).first;
}

bool SharedRetryAfterTable::Write(const RouteKey& route) {
  const OwnEntry& own_entry = own_entries_.at(route);
  Record record{route.destination, own_entry.until, route.name_hash, 0};
  record.checksum = ComputeChecksum(record);
  const std::uint64_t change_count = own_change_count_ + 1;
  const auto offset = static_cast<off_t>(kHeaderBytes + own_entry.record_index * sizeof(record));
  if (pwrite(own_file_.get(), &record, sizeof(record), offset) != sizeof(record)) return false;
  if (pwrite(own_file_.get(), &change_count, sizeof(change_count), 0) != sizeof(change_count)) return false;
  own_change_count_ = change_count;
  return true;
}

void SharedRetryAfterTable::WritePending() {
  while (!pending_.empty() && Write(*pending_.begin())) pending_.erase(pending_.begin());
}

bool SharedRetryAfterTable::HasChanges() {
  WritePending();
  std::uint64_t change_count = 0;
  if (pread(other_file_.get(), &change_count, sizeof(change_count), 0) != sizeof(change_count))
    change_count = 0;
  return std::exchange(other_change_count_, change_count) != change_count;
}

std::vector<SharedRetryAfter> SharedRetryAfterTable::Active(std::int64_t now) {
  std::vector<SharedRetryAfter> active;
  std::string buffer(kHeaderBytes + max_entries_ * sizeof(Record), '\0');
  for (const int fd : {own_file_.get(), other_file_.get()}) {
    const ssize_t count = pread(fd, buffer.data(), buffer.size(), 0);
    if (count < 0) other_change_count_.reset();
    const std::string bytes = buffer.substr(0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    for (const Record& record : DecodeRecords(bytes))
      if (record.until > now) active.push_back({record.destination, record.name_hash, record.until});
  }
  return active;
}

}  // namespace opalroute::hot_restart
