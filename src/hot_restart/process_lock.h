// The slots of a relay's processes. Two processes of one relay may run at once, while one takes over from the
// other. Each holds the lock on a slot of its own, which the end of the process releases, however it ends. A
// file of the state folder whose name ends in a slot's number belongs to the process that holds that slot.
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

// Other processes of the relay hold every slot that this one may have.
class NoFreeSlotError : public std::runtime_error {
 public:
  explicit NoFreeSlotError(const std::string& folder);
};

class ProcessLock {
 public:
  // Locks a free slot: one of two if `others_may_run`, else the first alone. Throws std::system_error, with
  // the path, if a lock file can't be opened for a second, NoFreeSlotError if no slot is free.
  ProcessLock(const std::string& folder, bool others_may_run);

  int own() const { return own_; }
  int other() const { return kProcessSlots - 1 - own_; }

  // Runs `action` while no process holds the other slot, and none can lock it; does nothing if one holds it.
  void TryRunWithOtherSlot(const std::function<void()>& action);

 private:
  bool TryLock(int slot);

  std::array<net::FileDescriptor, kProcessSlots> files_;
  std::optional<FileLock> own_lock_;  // none where the system refuses locks
  int own_ = -1;
};

}  // namespace opalroute::hot_restart
