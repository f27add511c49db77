// The health of upstream routes as this relay last observed it, for its next process: a relay that is
// restarted in the course of an outage must not send an endpoint that comes back more than its part of the
// recovery budget.
//
// The file `health.N` of process slot N consists of records of 40 bytes without gaps:
//   destination (8 bytes, signed), since (8 bytes, signed), written (8 bytes, signed), name hash (4 bytes),
//   condition (1 byte), circuit open (1 byte), faults (1 byte), zero (1 byte), checksum (4 bytes), zero (4
//   bytes)
// in native byte order, since all processes of a relay run on one machine. A record that a kill has left half
// written does not match its checksum and is skipped. Later versions must be able to read the file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/file_descriptor.h"
#include "opalroute/types.h"

namespace opalroute::hot_restart {

struct SavedRouteHealth {
  std::int64_t destination = 0;
  std::uint32_t name_hash = 0;  // of the endpoint's id (HashName); 0: the destination as a whole
  RouteCondition condition{};
  bool circuit_open = false;
  int faults = 0;            // 0 to 255
  std::int64_t since = 0;    // PersistentClock::Micros: RouteHealthChanged::since
  std::int64_t written = 0;  // PersistentClock::Micros: when it was saved
};

class RouteHealthFile {
 public:
  static constexpr std::size_t kRecordBytes = 40;

  // Reads the files of both slots; the own one then holds what is newest in either. Holds at most
  // `max_entries` routes. Throws std::system_error, with the path, if the files can't be opened or read for a
  // second.
  RouteHealthFile(const std::string& folder, int own_slot, int other_slot, std::size_t max_entries);

  // Replaces the route's entry. A new route in a full file takes the place of a serving one, or else of the
  // one that was written first. Returns whether everything is written; if not, the next call tries again.
  bool Save(const SavedRouteHealth& health);

  // The routes that were not serving when they were saved last.
  std::vector<SavedRouteHealth> NotServing() const;

 private:
  using RouteKey = std::pair<std::int64_t, std::uint32_t>;  // destination and name hash
  struct Entry {
    std::size_t index = 0;  // in the file
    SavedRouteHealth health;
  };
  using Entries = std::map<RouteKey, Entry>;

  void Merge(const std::string& bytes);
  Entries::iterator FindOrAdd(const RouteKey& route);
  bool WritePending();

  const std::size_t max_entries_;
  const net::FileDescriptor file_;
  Entries entries_;
  std::set<RouteKey> pending_;  // routes whose records must still be written
};

}  // namespace opalroute::hot_restart
