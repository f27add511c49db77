// Retry-After times shared by the two processes of one relay, which count as one relay for the endpoints.
// Each process writes a file of its own and reads the other's before it sends; while nothing changes that
// costs a read of eight bytes.
//
// The file is `waits.N` of slot N: the number of its changes (8 bytes), then records of 24 bytes without
// gaps:
//   destination (8 bytes, signed), until (8 bytes, signed), name hash (4 bytes), check (4 bytes, CheckOf)
// in the machine's own byte order, since both processes run on one machine. The count is written after the
// record; a record that is read while it is written does not match its check, is skipped, and the new count
// has it read again. A later version must go on reading it, since it may run beside this one.
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
  std::uint32_t name_hash = 0;  // of the endpoint's id (HashName) if it has limits of its own, else 0
  std::int64_t until = 0;       // PersistentClock::Micros, the same in both processes
};

class SharedRetryAfterTable {
 public:
  // Holds at most `max_entries`; what the former process of the own slot has published still holds. Throws
  // std::system_error if the files can't be opened or read for a second.
  SharedRetryAfterTable(const std::string& folder, int own_slot, int other_slot, std::size_t max_entries);

  // Has no effect if a later time of the same route is published. In a full table the entry that ends first
  // gives way. What can't be written now is written by a later call of Publish or HasChanges.
  void Publish(const SharedRetryAfter& entry);

  // Whether the other process has published since the last call; true at the first one.
  bool HasChanges();

  // The entries of both files that end after `now` (PersistentClock::Micros). If one can't be read,
  // HasChanges returns true again.
  std::vector<SharedRetryAfter> Active(std::int64_t now);

 private:
  struct RouteKey {
    std::int64_t destination = 0;
    std::uint32_t name_hash = 0;
    bool operator<(const RouteKey& other) const;
  };
  struct Slot {
    std::size_t position = 0;  // of its record in the own file
    std::int64_t until = 0;
  };
  using Slots = std::map<RouteKey, Slot>;

  void Recover(const std::string& bytes);
  Slots::iterator AddSlot(const RouteKey& route);
  bool Write(const RouteKey& route);
  void WritePending();

  const std::size_t max_entries_;
  const net::FileDescriptor own_file_;
  const net::FileDescriptor other_file_;
  std::uint64_t written_changes_ = 0;              // the count in the own file
  std::optional<std::uint64_t> last_seen_change_;  // the count in the other file as read last
  Slots slots_;
  std::set<RouteKey> pending_;  // not written yet
};

}  // namespace opalroute::hot_restart
