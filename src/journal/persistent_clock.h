// A clock for times that outlive the process: deadlines and attempts in the journal, Retry-After times, route
// states.
//
// The wall clock may be stepped, forward or back, while a process runs or between two of them. This clock
// takes the wall clock's time once, when the first process of a state folder starts after the machine has
// booted, and counts on from there with the monotonic clock, which no step moves. The offset between the two
// stands in the state folder, with the id of the boot, so that every later process of this boot counts alike.
// After the next boot the monotonic clock begins anew, and only the wall clock can say how long the machine
// was down.
//
// The file `clock` holds one frame (net/framing.h) with a JSON object:
//   {"boot": id of the boot, "monotonic": when it was written, "offset": from monotonic to this clock,
//   "version": 1}
// with times in microseconds. A later version must go on reading it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/clock.h"

namespace opalroute {

// The kernel's id of the current boot (random(4)); empty if it can't be read. Processes without an id are
// never taken to run under the same boot.
std::string SystemBootId();

class PersistentClock {
 public:
  static constexpr std::size_t kMostBytes = 1024;  // on disk: the file and the one that replaces it

  // Reads the offset that an earlier process has stored; writes nothing. Throws std::system_error, with the
  // path, if the file exists and can't be read for a second.
  PersistentClock(const net::Clock& clock, const std::string& folder, std::string boot_id = SystemBootId());

  // Microseconds since the Unix epoch by the wall clock as it stood when the offset was taken. Never goes
  // back within a boot.
  std::int64_t Micros() const;

  // Whether the offset is an earlier process's.
  bool resumed() const { return resumed_; }
  // By how much the wall clock has been stepped since the offset was taken, in microseconds.
  std::int64_t WallStep() const { return clock_.WallMicros() - Micros(); }

  // Stores the offset for later processes, unless it is stored. Returns false, with errno set, if the folder
  // can't be written now.
  bool Persist();

 private:
  bool Resume(std::string_view record);
  std::int64_t MonotonicMicros() const;
  std::string path() const { return folder_ + "/clock"; }

  const net::Clock& clock_;
  const std::string folder_;
  const std::string boot_id_;
  std::int64_t offset_ = 0;  // microseconds from the monotonic clock's time to this clock's
  bool resumed_ = false;
  bool persisted_ = false;
};

}  // namespace opalroute
