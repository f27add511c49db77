// The requests that have ended and may have run, by id: one that comes again must not run again, whether in
// this process or in a later one.
//
// The file `ended.N` of process slot N consists of records of 32 bytes without gaps:
//   hash of the id (8 bytes), hash of the content (8 bytes), until (8 bytes, signed), checksum (4 bytes),
//   zero (4 bytes)
// in native byte order, since all processes of a relay run on one machine. A record that a kill has left half
// written does not match its checksum and is skipped. Later versions must be able to read the file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/file_descriptor.h"

namespace opalroute {

// FNV-1a over what makes two requests the same besides their id.
std::uint64_t HashRequestContent(const std::string& key, const std::string& body, std::int64_t destination);

class EndedRequests {
 public:
  static constexpr std::size_t kRecordBytes = 32;

  // Reads the files of both slots. Holds at most `max_entries` of each; the one that was added first makes
  // room for a new one. Throws std::system_error, with the path, if the files can't be opened or read for a
  // second.
  EndedRequests(const std::string& folder, int own_slot, int other_slot, std::size_t max_entries);

  // Remembers the request until that time (PersistentClock::Micros). Returns whether it is written as well.
  bool Add(const std::string& id, std::uint64_t content, std::int64_t until);
  // The hash of its content, if it is remembered at that time.
  std::optional<std::uint64_t> Find(const std::string& id, std::int64_t now) const;
  // Reads what the process of the other slot has written.
  void ReadOtherSlot();

 private:
  struct Entry {
    std::uint64_t content = 0;
    std::int64_t until = 0;
  };
  struct Record {
    std::uint64_t id;
    std::uint64_t content;
    std::int64_t until;
    std::uint32_t checksum;
    std::uint32_t padding;
  };
  static_assert(sizeof(Record) == kRecordBytes, "records must have no other padding");
  static std::uint32_t ChecksumOf(const Record& record);
  static std::vector<Record> ReadRecords(const std::string& bytes);
  void Remember(const Record& record);

  const std::size_t max_entries_;
  const std::string other_path_;
  net::FileDescriptor file_;
  std::vector<std::uint64_t> ids_;  // by their place in the own file
  std::size_t next_ = 0;            // place of the next record
  std::unordered_map<std::uint64_t, Entry> entries_;
};

}  // namespace opalroute
