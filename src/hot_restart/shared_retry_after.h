// Retry-After times shared by the two processes of one relay, which endpoints see as a single relay. Each
// process writes its own file and reads the other's before it sends; while nothing changes, that costs a read
// of eight bytes.
//
// The file `waits.N` of slot N holds the number of changes made to it (8 bytes), then records of 24 bytes
// without gaps:
//   destination (8 bytes, signed), until (8 bytes, signed), name hash (4 bytes), checksum (4 bytes)
// in native byte order, since both processes run on one machine. The change count is written after the
// record. A record that is read during its write does not match its checksum and is skipped; the new count
// then causes another read. Later versions must be able to read the file, since they may run beside this one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/file_descriptor.h"

namespace opalroute::hot_restart {

struct SharedRetryAfter {
  std::int64_t destination = 0;
  std::uint32_t name_hash = 0;  // of the endpoint's id (HashName) if it has its own limits, else 0
  std::int64_t until = 0;       // PersistentClock::Micros, the same in both processes
};

class SharedRetryAfterTable {
 public:
  // Holds at most `max_entries` entries and keeps those that an earlier process of the own slot published.
  // Throws std::system_error, with the path, if the files can't be opened or the own one can't be read for a
  // second.
  SharedRetryAfterTable(const std::string& folder, int own_slot, int other_slot, std::size_t max_entries);

  // Has no effect unless the time is later than the published one of the same route. A new route in a full
  // table replaces the entry that ends first. A failed write is retried by later calls of Publish and
  // HasChanges.
  void Publish(const SharedRetryAfter& entry);

  // Whether the other process has published since the last call; true on the first call. Also retries failed
  // writes.
  bool HasChanges();

  // The entries of both files that end after `now` (PersistentClock::Micros). If a file can't be read, the
  // next HasChanges returns true.
  std::vector<SharedRetryAfter> Active(std::int64_t now);

 private:
  struct RouteKey {
    std::int64_t destination = 0;
    std::uint32_t name_hash = 0;
    bool operator<(const RouteKey& other) const;
  };
  struct OwnEntry {
    std::size_t record_index = 0;  // in the own file
    std::int64_t until = 0;
  };
  using OwnEntries = std::map<RouteKey, OwnEntry>;

  void Recover(const std::string& bytes);
  OwnEntries::iterator AddEntry(const RouteKey& route);
  bool Write(const RouteKey& route);
  void WritePending();

  const std::size_t max_entries_;
  const net::FileDescriptor own_file_;
  const net::FileDescriptor other_file_;
  std::uint64_t own_change_count_ = 0;               // as written to the own file
  std::optional<std::uint64_t> other_change_count_;  // as last read from the other file
  OwnEntries own_entries_;
  std::set<RouteKey> pending_;  // routes whose records must still be written
};

}  // namespace opalroute::hot_restart
