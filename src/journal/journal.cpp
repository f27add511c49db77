#include "journal/journal.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "journal/durable_file.h"
#include "net/framing.h"

namespace opalroute {

namespace {

using net::EncodeFrame;

constexpr std::size_t kOtherFilesBytes = 4 * kDiskBlockBytes;  // for small files beside the journal
// Reserved per request for records still to come: the next attempt, the end, a notification.
constexpr std::size_t kFutureBytesPerRequest = 512;
// Shares of the disk limit. A compaction holds the old and the new file at once, so the records that it
// keeps must fit twice, with space for end records.
constexpr double kMaxShareToAccept = 0.4;    // limit on reserved bytes for accepting a request
constexpr double kMaxShareToAttempt = 0.43;  // limit on reserved bytes for recording an attempt
constexpr double kCompactionShare = 0.55;    // file size above which it is compacted

std::size_t AttemptBytes(const std::string& id, const JournalAttempt& attempt) {
  return journal_record::FrameBytesOfAttempt(id, attempt) + journal_record::FrameBytesOfNotExecuted(id);
}

}  // namespace

Journal::Journal(const std::string& folder, std::size_t disk_bytes, const std::string& file)
    : disk_bytes_(disk_bytes - std::min(disk_bytes, kOtherFilesBytes)),
      file_(folder + "/" + file, disk_bytes_) {
  lost_bytes_ = file_.Recover([this](std::string_view record) { return ApplyBytes(record); });
}

// ---- disk limit ----------------------------------------------------------------------------------------

// The size of the entry's records in a compacted file, plus the reserve for those still to come. Computed
// without encoding the records, since it runs for every request.
std::size_t Journal::BytesToReserve(const JournalEntry& entry) {
  std::size_t bytes = kFutureBytesPerRequest + journal_record::FrameBytesOfAccepted(entry);
  for (const JournalAttempt& attempt : entry.attempts) bytes += AttemptBytes(entry.id, attempt);
  return bytes;
}

bool Journal::HasSpace(std::size_t bytes, double share_of_disk) const {
  return static_cast<double>(reserved_bytes_ + bytes) <= share_of_disk * static_cast<double>(disk_bytes_);
}

// ---- entries -------------------------------------------------------------------------------------------

const JournalEntry* Journal::FindEntry(const std::string& id) const {
  const auto it = numbers_.find(id);
  return it == numbers_.end() ? nullptr : &entries_.at(it->second);
}

JournalEntry* Journal::Find(const std::string& id) {
  const auto it = numbers_.find(id);
  return it == numbers_.end() ? nullptr : &entries_.at(it->second);
}

void Journal::Insert(JournalEntry&& entry) {
  reserved_bytes_ += BytesToReserve(entry);
  numbers_[entry.id] = ++last_number_;
  entries_.emplace(last_number_, std::move(entry));
}

void Journal::AddAttempt(JournalEntry& entry, JournalAttempt&& attempt) {
  reserved_bytes_ += AttemptBytes(entry.id, attempt);
  entry.attempts.push_back(std::move(attempt));
}

void Journal::Erase(const JournalEntry& entry) {
  reserved_bytes_ -= BytesToReserve(entry);
  const auto number = numbers_.find(entry.id);
  entries_.erase(number->second);
  numbers_.erase(number);
}

// ---- recovery ------------------------------------------------------------------------------------------

bool Journal::ApplyBytes(std::string_view bytes) {
  std::optional<journal_record::Record> record = journal_record::Decode(bytes);
  if (!record) return false;
  return std::visit([this](auto& decoded) { return Apply(std::move(decoded)); }, *record);
}

bool Journal::Apply(journal_record::Accepted&& record) {
  if (numbers_.count(record.entry.id) > 0) return false;
  Insert(std::move(record.entry));
  return true;
}

// Records of an unknown request are skipped, since it has already ended.
bool Journal::Apply(journal_record::Attempt&& record) {
  JournalEntry* entry = Find(record.id);
  if (entry != nullptr) AddAttempt(*entry, std::move(record.attempt));
  return true;
}

bool Journal::Apply(journal_record::NotExecuted&& record) {
  JournalEntry* entry = Find(record.id);
  if (entry != nullptr && record.attempt < entry->attempts.size())
    entry->attempts[record.attempt].may_have_run = false;
  return true;
}

bool Journal::Apply(journal_record::End&& record) {
  const JournalEntry* entry = Find(record.id);
  if (entry != nullptr) Erase(*entry);
  return true;
}

bool Journal::Apply(journal_record::EndWithNotification&& record) {
  JournalEntry* entry = Find(record.id);
  if (entry != nullptr) entry->notification = std::move(record.notification);
  return true;
}

// ---- records -------------------------------------------------------------------------------------------

bool Journal::RecordAccepted(const JournalEntry& entry) {
  if (numbers_.count(entry.id) > 0 || !HasSpace(BytesToReserve(entry), kMaxShareToAccept)) return false;
  if (!WriteRecord(journal_record::EncodeAccepted(entry))) return false;
  JournalEntry accepted = entry;
  accepted.attempts.clear();  // attempts and notifications have their own records
  accepted.notification.clear();
  Insert(std::move(accepted));
  return true;
}

bool Journal::RecordAttempt(const std::string& id, const JournalAttempt& attempt) {
  JournalEntry* entry = Find(id);
  if (entry == nullptr || !HasSpace(kFutureBytesPerRequest, kMaxShareToAttempt)) return false;
  if (!WriteRecord(journal_record::EncodeAttempt(id, attempt))) return false;
  JournalAttempt recorded = attempt;
  recorded.may_have_run = true;
  AddAttempt(*entry, std::move(recorded));
  return true;
}

bool Journal::RecordNotExecuted(const std::string& id, std::size_t attempt) {
  JournalEntry* entry = Find(id);
  if (entry == nullptr || !WriteRecord(journal_record::EncodeNotExecuted(id, attempt))) return false;
  if (attempt < entry->attempts.size()) entry->attempts[attempt].may_have_run = false;
  return true;
}

bool Journal::RecordEnd(const std::string& id) {
  const JournalEntry* entry = Find(id);
  if (entry == nullptr) return false;
  const bool written = WriteEnd(journal_record::EncodeEnd(id));
  Erase(*entry);
  return written;
}

bool Journal::RecordEndWithNotification(const std::string& id, const std::string& notification) {
  JournalEntry* entry = Find(id);
  if (entry == nullptr) return false;
  const bool written = WriteEnd(journal_record::EncodeEndWithNotification(id, notification));
  entry->notification = notification;
  return written;
}

bool Journal::WriteEnd(std::string&& record) {
  if (WriteRecord(record)) return true;
  pending_ends_.push_back(std::move(record));
  return false;
}

bool Journal::WriteRecord(const std::string& record) {
  return record.size() <= journal_record::kMaxBytes && WritePendingEnds() && WriteFrames(EncodeFrame(record));
}

// Invariant: pending ends are written in order and before any other record. Otherwise a request id could be
// accepted again before the end of its previous use is written, and that late record would end the new
// request on recovery.
bool Journal::WritePendingEnds() {
  while (!pending_ends_.empty()) {
    const std::string record = pending_ends_.front();
    if (!WriteFrames(EncodeFrame(record))) return false;
    const bool compacted = pending_ends_.empty();
    if (!compacted) pending_ends_.erase(pending_ends_.begin());
  }
  return true;
}

bool Journal::WriteFrames(const std::string& frames) {
  const auto compaction_bytes = static_cast<std::size_t>(kCompactionShare * static_cast<double>(disk_bytes_));
  if (file_.bytes() + frames.size() > compaction_bytes) Compact();
  return file_.Append(frames);
}

void Journal::Compact() {
  std::string frames;
  for (const auto& [number, entry] : entries_) frames += journal_record::EncodeFramesOf(entry);
  if (!file_.Replace(frames)) return;
  // The new file omits ended entries and contains the undelivered notifications.
  pending_ends_.clear();
}

std::vector<std::uint64_t> Journal::AdoptEntriesOf(Journal& other) {
  std::vector<std::uint64_t> adopted;
  const auto entries = other.entries_;  // a copy, since RecordEnd erases entries
  for (const auto& [number, entry] : entries) {
    if (numbers_.count(entry.id) == 0) {
      if (!WriteFrames(journal_record::EncodeFramesOf(entry))) continue;
      Insert(JournalEntry(entry));
      adopted.push_back(last_number_);
    }
    other.RecordEnd(entry.id);
  }
  if (other.entries_.empty() && other.pending_ends_.empty()) other.file_.Clear();
  return adopted;
}

}  // namespace opalroute
