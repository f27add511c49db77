// Write-ahead journal of the accepted requests, in a folder that outlives the process.
//
// The file is append-only, and a record is written before the action that it announces: `accepted` before the
// 202 response, `attempt` before the first byte of the call. When the file has grown too large it is
// compacted: the records of unfinished requests are written to a new file that replaces the old one. Both
// files exist meanwhile, so the disk limit leaves space for both. journal_record.h describes the records.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "journal/journal_file.h"
#include "journal/journal_record.h"

namespace opalroute {

class Journal {
 public:
  // Recovers the entries that an earlier process left. The file is truncated at the first torn or damaged
  // record. Throws std::system_error, with the path, if the file can't be opened or read for a second: it is
  // left unchanged then, since a transient error must not lose requests. `file` is the file's name in the
  // folder; `disk_bytes` bounds the file and the one of a compaction together.
  Journal(const std::string& folder, std::size_t disk_bytes, const std::string& file = "journal");

  // The unfinished requests by entry number, in the order in which they were added to this journal.
  const std::map<std::uint64_t, JournalEntry>& entries() const { return entries_; }
  // The entry of an unfinished request; null if there is none.
  const JournalEntry* FindEntry(const std::string& id) const;
  std::size_t lost_bytes() const { return lost_bytes_; }  // truncated when the file was read

  // Each returns whether its record was written. RecordAccepted and RecordAttempt also fail if the disk
  // limit is reached, RecordAccepted also if the id is in use. Space for the end of each request is
  // reserved. An end whose write fails still takes effect in memory at once, and is written before the next
  // record.
  bool RecordAccepted(const JournalEntry& entry);
  bool RecordAttempt(const std::string& id, const JournalAttempt& attempt);
  // `attempt` is the index among the request's recorded attempts.
  bool RecordNotExecuted(const std::string& id, std::size_t attempt);
  bool RecordEnd(const std::string& id);
  // The request has ended, but its entry stays until RecordEnd is called after the notification's delivery.
  bool RecordEndWithNotification(const std::string& id, const std::string& notification);

  // Moves the entries of a journal whose process has ended to this one. An entry is written here completely
  // before its end is recorded there, so that at any time at least one of the two files has it. Returns the
  // numbers of the new entries. An entry that can't be written here stays in the other journal; the other
  // file is emptied once it has no entry and no unwritten end.
  std::vector<std::uint64_t> AdoptEntriesOf(Journal& other);

 private:
  static std::size_t BytesToReserve(const JournalEntry& entry);
  bool HasSpace(std::size_t bytes, double share_of_disk) const;

  JournalEntry* Find(const std::string& id);
  void Insert(JournalEntry&& entry);
  void AddAttempt(JournalEntry& entry, JournalAttempt&& attempt);
  void Erase(const JournalEntry& entry);

  // Apply a record of the file. Return false if it can't be decoded or contradicts an earlier record.
  bool Apply(journal_record::Accepted&& record);
  bool Apply(journal_record::Attempt&& record);
  bool Apply(journal_record::NotExecuted&& record);
  bool Apply(journal_record::End&& record);
  bool Apply(journal_record::EndWithNotification&& record);
  bool ApplyBytes(std::string_view bytes);

  bool WriteRecord(const std::string& record);
  bool WriteEnd(std::string&& record);
  bool WritePendingEnds();
  bool WriteFrames(const std::string& frames);
  void Compact();

  const std::size_t disk_bytes_;
  JournalFile file_;
  std::size_t lost_bytes_ = 0;
  std::size_t reserved_bytes_ = 0;         // for the records of all entries, written and still to come
  std::vector<std::string> pending_ends_;  // end records whose write failed, in their order
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, JournalEntry> entries_;
  std::unordered_map<std::string, std::uint64_t> numbers_;  // by request id
};

}  // namespace opalroute
