#include "journal/ended_requests.h"

#include <algorithm>
#include <cstring>
#include <string_view>

#include "journal/durable_file.h"

namespace opalroute {
namespace {

constexpr std::uint64_t kOffsetBasis = 14695981039346656037U;
constexpr std::uint64_t kPrime = 1099511628211U;

std::uint64_t Hash(std::string_view bytes, std::uint64_t hash = kOffsetBasis) {
  for (const char byte : bytes) hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
  return hash;
}

std::string PathOf(const std::string& folder, int slot) { return folder + "/ended." + std::to_string(slot); }

}  // namespace

std::uint64_t HashRequestContent(const std::string& key, const std::string& body, std::int64_t destination) {
  const std::string head = std::to_string(key.size()) + ":" + std::to_string(destination) + ":";
  return Hash(body, Hash(key, Hash(head)));
}

std::uint32_t EndedRequests::ChecksumOf(const Record& record) {
  char bytes[offsetof(Record, checksum)];
  std::memcpy(bytes, &record, sizeof(bytes));
  return static_cast<std::uint32_t>(Hash({bytes, sizeof(bytes)}));
}

// In the order of the file; half-written records have the id 0.
std::vector<EndedRequests::Record> EndedRequests::ReadRecords(const std::string& bytes) {
  std::vector<Record> records(bytes.size() / kRecordBytes);
  for (std::size_t i = 0; i < records.size(); ++i) {
    std::memcpy(&records[i], bytes.data() + i * kRecordBytes, kRecordBytes);
    if (records[i].checksum != ChecksumOf(records[i])) records[i] = {};
  }
  return records;
}

EndedRequests::EndedRequests(const std::string& folder, int own_slot, int other_slot, std::size_t max_entries)
    : max_entries_(std::max<std::size_t>(1, max_entries)),
      other_path_(PathOf(folder, other_slot)),
      file_(OpenOrCreate(PathOf(folder, own_slot))) {
  ReadOtherSlot();
  std::vector<Record> records = ReadRecords(ReadWholeFile(file_.get(), PathOf(folder, own_slot)));
  records.resize(std::min(records.size(), max_entries_));
  for (const Record& record : records) {
    Remember(record);
    ids_.push_back(record.id);
  }
  const auto latest = std::max_element(records.begin(), records.end(),
                                       [](const Record& a, const Record& b) { return a.until < b.until; });
  next_ = records.empty() ? 0 : static_cast<std::size_t>(latest - records.begin() + 1) % max_entries_;
  if (ids_.size() < max_entries_) next_ = ids_.size();
}

void EndedRequests::ReadOtherSlot() {
  const std::optional<std::string> bytes = ReadFileIfExists(other_path_);
  if (!bytes) return;
  for (const Record& record : ReadRecords(*bytes)) Remember(record);
}

void EndedRequests::Remember(const Record& record) {
  if (record.until == 0) return;  // half written
  Entry& entry = entries_[record.id];
  if (record.until >= entry.until) entry = {record.content, record.until};
}

bool EndedRequests::Add(const std::string& id, std::uint64_t content, std::int64_t until) {
  Record record{Hash(id), content, until, 0, 0};
  record.checksum = ChecksumOf(record);
  if (next_ < ids_.size()) {
    entries_.erase(ids_[next_]);
    ids_[next_] = record.id;
  } else {
    ids_.push_back(record.id);
  }
  Remember(record);
  const std::string bytes(reinterpret_cast<const char*>(&record), sizeof(record));
  const bool written = WriteAllAt(file_.get(), bytes, next_ * kRecordBytes);
  next_ = (next_ + 1) % max_entries_;
  return written;
}

std::optional<std::uint64_t> EndedRequests::Find(const std::string& id, std::int64_t now) const {
  const auto it = entries_.find(Hash(id));
  if (it == entries_.end() || it->second.until <= now) return std::nullopt;
  return it->second.content;
}

}  // namespace opalroute
