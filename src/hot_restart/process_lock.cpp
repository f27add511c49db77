#include "hot_restart/process_lock.h"

#include <cerrno>
#include <system_error>
#include <utility>

#include "journal/durable_file.h"
#include "log/log.h"

namespace opalroute::hot_restart {

NoFreeSlotError::NoFreeSlotError(const std::string& folder)
    : std::runtime_error("other processes of this relay run on the state folder " + folder) {}

ProcessLock::ProcessLock(const std::string& folder, bool others_may_run) {
  for (int slot = 0; slot < kProcessSlots; ++slot)
    files_[slot] = OpenOrCreate(folder + "/seat." + std::to_string(slot));
  const int slots = others_may_run ? kProcessSlots : 1;
  for (int slot = 0; slot < slots && own_ < 0; ++slot)
    if (TryLock(slot)) own_ = slot;
  if (own_ < 0) throw NoFreeSlotError(folder);
}

bool ProcessLock::TryLock(int slot) {
  std::optional<FileLock> lock = FileLock::TryAcquire(files_[slot].get());
  if (lock) {
    own_lock_.emplace(std::move(*lock));
    return true;
  }
  if (errno == EWOULDBLOCK) return false;
  // Where locks are refused, two processes can't be told apart and none is expected: the first slot is the
  // only one.
  log::Warn("feature_off",
            {{"feature", "locks of the state folder"}, {"why", std::generic_category().message(errno)}});
  return slot == 0;
}

void ProcessLock::TryRunWithOtherSlot(const std::function<void()>& action) {
  const std::optional<FileLock> lock = FileLock::TryAcquire(files_[other()].get());
  if (lock) action();
}

}  // namespace opalroute::hot_restart
