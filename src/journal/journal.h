// What the relay has taken on, in a folder that outlives the process.
//
// Append-only records, each with its length and a checksum. What a write call has taken survives the end of
// the process, so nothing is synced; it does not survive the loss of power, nor of the machine. When the file
// has grown, the records that still matter go to a new file that takes its place; both count for the disk
// while that is done, so the budget leaves room for both.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace opalroute {

struct JournalAttempt {
  std::string endpoint, zone;
  std::int64_t sent_at = 0;  // PersistentClock::Micros
  bool may_have_run = true;  // until its outcome says otherwise
};

struct JournalEntry {
  std::string id, request_class, tenant, key, body;
  std::int64_t destination = 0;
  std::int64_t deadline = 0;  // PersistentClock::Micros
  std::vector<JournalAttempt> attempts;
  std::string notification;  // not empty: ended, and this is still to be told to the platform
};

class Journal {
 public:
  // Reads what an earlier process left. Records after a torn or damaged one are given up and cut off.
  // Throws std::system_error if the folder can't be used, or the file can't be read for a second: what is
  // owed there is not given up for an error that may pass, and the file stays as it is.
  // `file` is its name there; disk_bytes bounds it and its compaction together.
  Journal(const std::string& folder, std::size_t disk_bytes, std::string file = "journal");
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  const std::map<std::uint64_t, JournalEntry>& entries() const { return entries_; }  // in the order taken
  std::size_t lost_bytes() const { return lost_bytes_; }

  // Each returns whether it is written. An end always finds room, whatever else does not. An end or a notice
  // that can't be written is kept, and written before the next record.
  bool RecordAccepted(const JournalEntry& entry);
  bool RecordAttempt(const std::string& id, const JournalAttempt& attempt);
  bool RecordNotExecuted(const std::string& id, std::size_t attempt);
  bool RecordEnd(const std::string& id);  // nothing more is owed
  bool RecordEndWithNotification(const std::string& id,
                                 const std::string& notice);  // once the notice has arrived: End

  // Takes over what another journal holds, whose process has ended: each entry is written here whole before
  // it ends there, so that one of the two has it at every moment. Returns the numbers of the new ones. What
  // finds no room stays there; without that the other's file is empty.
  std::vector<std::uint64_t> AdoptEntriesOf(Journal& other);

 private:
  static std::size_t CostOf(const JournalEntry& entry);
  static std::size_t AttemptCost(const JournalEntry& entry, std::size_t attempt);
  bool HasRoom(std::size_t bytes, double part) const;
  JournalEntry* Find(const std::string& id);
  void Recover();
  void Insert(JournalEntry&& entry);
  void AddAttempt(JournalEntry& entry, JournalAttempt&& attempt);
  void Erase(const JournalEntry& entry);
  bool Apply(const std::string& record);
  bool Write(const std::string& record);
  bool WritePendingEnds();
  bool CutTornRecord();
  bool Compact();
  void Clear();
  static std::string RecordsOf(const JournalEntry& entry);
  bool WriteFrames(const std::string& bytes);
  std::string path() const { return folder_ + "/" + file_; }

  std::string folder_, file_;
  std::size_t disk_bytes_;
  int fd_ = -1;
  std::size_t file_bytes_ = 0, kept_bytes_ = 0, lost_bytes_ = 0;
  bool torn_ = false;  // bytes of a record that was not written whole stand behind file_bytes_
  std::vector<std::string> pending_ends_;  // records of ends that could not be written
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, JournalEntry> entries_;
  std::unordered_map<std::string, std::uint64_t> numbers_;
};

}  // namespace opalroute
