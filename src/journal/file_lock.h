// Advisory file locks between the processes of one relay.
#pragma once

#include <optional>

namespace opalroute {

// Holds an exclusive flock(2) on an open file until it is destroyed. The file must stay open until then.
class FileLock {
 public:
  // Waits until the lock is free. Returns nullopt, with errno set, on an error.
  static std::optional<FileLock> Acquire(int fd);
  // Does not wait. Returns nullopt, with errno set, on an error; EWOULDBLOCK means that the lock is held
  // through another open file description, in this process or another.
  static std::optional<FileLock> TryAcquire(int fd);

  ~FileLock();
  FileLock(FileLock&& other) noexcept;
  FileLock& operator=(FileLock&&) = delete;
  FileLock(const FileLock&) = delete;
  FileLock& operator=(const FileLock&) = delete;

 private:
  explicit FileLock(int fd) : fd_(fd) {}

  int fd_;  // not owned; -1 after a move
};

}  // namespace opalroute
