#include "hot_restart/process_lock.h"

#include <cerrno>
#include <system_error>
#include <utility>

#include "journal/durable_file.h"
#include "log/log.h"

namespace opalroute::hot_restart {

NoFreeSlotError::NoFreeSlotError(const std::string& folder)
    : std::runtime_error("other processes of this relay run on the state folder " + folder) {}

ProcessLock::ProcessLock(const std::string& folder, bool allow_two_processes) {
  for (int slot = 0; slot < kProcessSlots; ++slot)
    files_[slot] = OpenOrCreate(folder + "/seat." + std::to_string(slot));
  const int slots = allow_two_processes ? kProcessSlots : 1;
  for (int slot = 0; slot < slots && own_slot_ < 0; ++slot)
    if (TryLock(slot)) own_slot_ = slot;
  if (own_slot_ < 0) throw NoFreeSlotError(folder);
}

bool ProcessLock::TryLock(int slot) {
  std::optional<FileLock> lock = FileLock::TryAcquire(files_[slot].get());
  if (lock) {
    own_lock_.emplace(std::move(*lock));
    return true;
  }
  if (errno == EWOULDBLOCK) return false;
  // Locks are not available, so other processes can't be detected. Assumes that there are none and uses the
  // first slot.
  log::Warn("feature_off",
            {{"feature", "locks of the state folder"}, {"why", std::generic_category().message(errno)}});
  return slot == 0;
}

void ProcessLock::TryRunWithOtherSlotLocked(const std::function<void()>& action) {
  const std::optional<FileLock> lock = FileLock::TryAcquire(files_[other_slot()].get());
  if (lock) action();
}

}  // namespace opalroute::hot_restart
