#include "journal/file_lock.h"

#include <sys/file.h>

#include <utility>

namespace opalroute {

std::optional<FileLock> FileLock::Acquire(int fd) {
  if (flock(fd, LOCK_EX) != 0) return std::nullopt;
  return FileLock(fd);
}

std::optional<FileLock> FileLock::TryAcquire(int fd) {
  if (flock(fd, LOCK_EX | LOCK_NB) != 0) return std::nullopt;
  return FileLock(fd);
}

FileLock::FileLock(FileLock&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

FileLock::~FileLock() {
  if (fd_ >= 0) flock(fd_, LOCK_UN);
}

}  // namespace opalroute
