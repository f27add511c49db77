// The process slots of a relay. During a hot restart two processes of one relay run at once. Each holds the
// lock of its own slot, which the system releases when the process ends for any reason. A file of the state
// folder whose name ends in a slot number, such as `waits.1`, belongs to the process that holds that slot.
//
// The lock files are `seat.0` and `seat.1`; they stay empty.
#pragma once

#include <array>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

#include "journal/file_lock.h"
#include "net/file_descriptor.h"

namespace opalroute::hot_restart {

constexpr int kProcessSlots = 2;

// Thrown if other processes of the relay hold every slot that this one may use.
class NoFreeSlotError : public std::runtime_error {
 public:
  explicit NoFreeSlotError(const std::string& folder);
};

class ProcessLock {
 public:
  // Locks a free slot: either of the two if `allow_two_processes` (for hot restart), else only the first.
  // Throws NoFreeSlotError if none is free, and std::system_error, with the path, if a lock file can't be
  // opened for a second.
  ProcessLock(const std::string& folder, bool allow_two_processes);

  int own_slot() const { return own_slot_; }
  int other_slot() const { return kProcessSlots - 1 - own_slot_; }

  // Locks the other slot and runs `action` under that lock. Does nothing if the slot can't be locked.
  void TryRunWithOtherSlotLocked(const std::function<void()>& action);

 private:
  bool TryLock(int slot);

  std::array<net::FileDescriptor, kProcessSlots> files_;
  std::optional<FileLock> own_lock_;  // empty if locks are not available
  int own_slot_ = -1;
};

}  // namespace opalroute::hot_restart
