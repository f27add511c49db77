// A clock for times that outlive the process: deadlines and attempts in the journal, Retry-After times, route
// states.
//
// The wall clock may be stepped forward or back while a process runs, or between two processes. This clock
// reads the wall clock once, when the first process that uses the state folder starts after the machine's
// boot, and from then on advances with the monotonic clock, which steps do not affect. The offset between the
// two is stored in the state folder with the boot id, so that all later processes of the same boot agree.
// After a reboot the monotonic clock restarts, and only the wall clock can tell how long the machine was
// down.
//
// The file `clock` holds one frame (net/framing.h) with a JSON object:
//   {"boot": boot id, "monotonic": monotonic time of the write, "offset": from monotonic time to this clock,
//   "version": 1}
// with times in microseconds. Later versions must be able to read it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/clock.h"

namespace opalroute {

// The kernel's id of the current boot (random(4)), or an empty string if it can't be read. A process without
// a boot id never resumes a stored offset.
std::string SystemBootId();

class PersistentClock {
 public:
  static constexpr std::size_t kMaxDiskBytes = 1024;  // the file and its replacement

  // Reads the offset stored by an earlier process of the same boot, or takes a new one. Writes nothing.
  // Throws std::system_error, with the path, if the file exists but can't be opened or read for a second.
  PersistentClock(const net::Clock& clock, const std::string& folder, std::string boot_id = SystemBootId());

  // Microseconds since the Unix epoch, according to the wall clock when the offset was taken. Monotonic
  // within a boot.
  std::int64_t Micros() const;

  // Whether the offset comes from an earlier process.
  bool resumed() const { return resumed_; }
  // How far the wall clock has been stepped since the offset was taken, in microseconds.
  std::int64_t WallStep() const { return clock_.WallMicros() - Micros(); }

  // Stores the offset for later processes unless it is already stored. Returns false, with errno set, if the
  // write fails; the caller may retry.
  bool Persist();

 private:
  bool Resume(std::string_view record);
  std::int64_t MonotonicMicros() const;
  std::string path() const { return folder_ + "/clock"; }

  const net::Clock& clock_;
  const std::string folder_;
  const std::string boot_id_;
  std::int64_t offset_ = 0;  // Micros() minus the monotonic time, in microseconds
  bool resumed_ = false;
  bool persisted_ = false;
};

}  // namespace opalroute
