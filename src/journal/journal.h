// Write-ahead journal of the accepted requests, in a folder that outlives the process.
//
// The file is append-only, and each record is written before what it stands for happens: `accepted` before
// the 202, `attempt` before the first byte of the call. Once the file has grown, the records that still
// matter are written to a new file that replaces it; both count for the disk meanwhile, so the budget leaves
// room for both. The records and their format: journal_record.h.
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
  // Reads what an earlier process left. Records after a torn or damaged one are dropped and cut off. Throws
  // std::system_error, with the path, if the file can't be opened or read for a second: requests are not
  // given up for an error that may pass, and the file stays as it is. `file` is its name in the folder;
  // `disk_bytes` bounds it and its compaction together.
  Journal(const std::string& folder, std::size_t disk_bytes, const std::string& file = "journal");

  // The unfinished requests by their number, in the order accepted.
  const std::map<std::uint64_t, JournalEntry>& entries() const { return entries_; }
  std::size_t lost_bytes() const { return lost_bytes_; }  // dropped when the file was read

  // Each returns whether its record is written. RecordAccepted and RecordAttempt are also refused where the
  // disk is too full; RecordAccepted also for an id that is in use. An end always finds space: one that can't
  // be written now takes effect at once all the same, and is written before the next record.
  bool RecordAccepted(const JournalEntry& entry);
  bool RecordAttempt(const std::string& id, const JournalAttempt& attempt);
  bool RecordNotExecuted(const std::string& id,
                         std::size_t attempt);  // its index among the recorded attempts
  bool RecordEnd(const std::string& id);
  // The request has ended; its entry stays until RecordEnd says that the notification has been delivered.
  bool RecordEndWithNotification(const std::string& id, const std::string& notification);

  // Moves the entries of another journal, whose process has ended, to this one. Each is written here
  // completely before it ends there, so that at least one of the two has it at every moment. Returns the
  // numbers of the new entries. An entry that finds no space here stays there; without such the other file is
  // emptied.
  std::vector<std::uint64_t> AdoptEntriesOf(Journal& other);

 private:
  static std::size_t BytesToReserve(const JournalEntry& entry);
  bool HasSpace(std::size_t bytes, double share_of_disk) const;

  JournalEntry* Find(const std::string& id);
  void Insert(JournalEntry&& entry);
  void AddAttempt(JournalEntry& entry, JournalAttempt&& attempt);
  void Erase(const JournalEntry& entry);

  // A record that was read; false: it contradicts the records before it.
  bool Apply(journal_record::Accepted&& record);
  bool Apply(journal_record::Attempt&& record);
  bool Apply(journal_record::NotExecuted&& record);
  bool Apply(journal_record::End&& record);
  bool Apply(journal_record::EndWithNotification&& record);
  bool ApplyBytes(std::string_view bytes);

  bool Write(const std::string& record);
  bool WriteEnd(std::string&& record);
  bool WritePendingEnds();
  bool WriteFrames(const std::string& frames);
  void Compact();

  const std::size_t disk_bytes_;
  JournalFile file_;
  std::size_t lost_bytes_ = 0;
  std::size_t reserved_bytes_ = 0;         // that the records of all entries take, now and until their ends
  std::vector<std::string> pending_ends_;  // records of ends that could not be written
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, JournalEntry> entries_;
  std::unordered_map<std::string, std::uint64_t> numbers_;  // by request id
};

}  // namespace opalroute
