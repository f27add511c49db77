// Advisory locks between the processes of one relay.
#pragma once

#include <optional>

namespace opalroute {

// An exclusive flock(2) on an open file, released at the end of its scope. The file must stay open meanwhile.
class FileLock {
 public:
  // Waits until no other process holds the lock. Nothing, with errno set: it can't be had.
  static std::optional<FileLock> Acquire(int fd);
  // Does not wait. Nothing, with errno set: EWOULDBLOCK where another open file holds the lock.
  static std::optional<FileLock> TryAcquire(int fd);

  ~FileLock();
  FileLock(FileLock&& other) noexcept;
  FileLock& operator=(FileLock&&) = delete;
  FileLock(const FileLock&) = delete;
  FileLock& operator=(const FileLock&) = delete;

 private:
  explicit FileLock(int fd) : fd_(fd) {}

  int fd_;  // not owned; -1 once moved from
};

}  // namespace opalroute
