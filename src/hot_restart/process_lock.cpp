#include "hot_restart/process_lock.h"

#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>

#include "journal/durable_file.h"
#include "log/log.h"

namespace opalroute::hot_restart {

ProcessLock::ProcessLock(const std::string& folder, bool others_may_run) {
  files_.fill(-1);
  for (int i = 0; i < kProcessSlots; ++i) {
    try {
      files_[i] = OpenOrCreate(folder + "/seat." + std::to_string(i));
    } catch (...) {
      CloseAll();
      throw;
    }
  }
  for (int i = 0; i < (others_may_run ? kProcessSlots : 1) && own_ < 0; ++i)
    if (TryLock(i)) own_ = i;
  if (own_ >= 0) return;
  CloseAll();
  throw std::runtime_error("other processes of this relay run on the state folder " + folder);
}

ProcessLock::~ProcessLock() { CloseAll(); }

void ProcessLock::CloseAll() {
  for (const int fd : files_)
    if (fd >= 0) close(fd);
}

bool ProcessLock::TryLock(int seat) const {
  if (flock(files_[seat], LOCK_EX | LOCK_NB) == 0) return true;
  if (errno == EWOULDBLOCK) return false;
  // Where locks are refused no two processes can be told apart, and none is expected.
  log::Warn("feature_off",
            {{"feature", "locks of the state folder"}, {"why", std::generic_category().message(errno)}});
  return seat == 0;
}

void ProcessLock::RunIfOtherIsFree(const std::function<void()>& take_over) {
  if (flock(files_[other()], LOCK_EX | LOCK_NB) != 0) return;
  take_over();
  flock(files_[other()], LOCK_UN);
}

}  // namespace opalroute::hot_restart
