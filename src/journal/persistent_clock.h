// A clock for times that outlive the process: deadlines and attempts in the journal, waits, learned state.
//
// The wall clock may be stepped, forward or back, while a process runs or between two of them. This clock
// takes the wall clock's time once, when the first process of a state folder starts after the machine has
// booted, and counts on from there with the monotonic clock, which no step moves. The offset between the two
// stands in the state folder beside the id of the boot, so that every later process of this boot counts
// alike. After the next boot the monotonic clock begins anew, and only the wall clock can say how long the
// machine was down.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "net/clock.h"

namespace opalroute {

// The kernel's id of the current boot (random(4)); empty if it can't be read. Then no two processes are taken
// to run under the same boot.
std::string SystemBootId();

class PersistentClock {
 public:
  static constexpr std::size_t kMostBytes = 1024;  // on disk, the file and the one that replaces it

  // Reads the offset that an earlier process has kept; writes nothing. Throws std::system_error if the file
  // is there and can't be read for a second.
  PersistentClock(const net::Clock& clock, const std::string& folder, std::string boot_id = SystemBootId());

  // Microseconds since the Unix epoch by the wall clock as it stood when the offset was taken. Never goes
  // back within a boot.
  std::int64_t Micros() const;

  // Whether the offset is an earlier process's.
  bool resumed() const { return resumed_; }
  // By how much the wall clock has been stepped since the offset was taken, in microseconds.
  std::int64_t WallStep() const { return clock_.WallMicros() - Micros(); }

  // Writes the offset for later processes, unless it stands there. False: the folder can't be written now.
  bool Persist();

 private:
  bool Resume(const std::string& record);
  std::int64_t MonotonicMicros() const;
  std::string path() const { return folder_ + "/clock"; }

  const net::Clock& clock_;
  const std::string folder_, boot_id_;
  std::int64_t offset_ = 0;  // microseconds from the monotonic clock's time to this clock's
  bool resumed_ = false, persisted_ = false;
};

}  // namespace opalroute
