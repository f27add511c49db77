#include "journal/durable_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <system_error>
#include <thread>

namespace opalroute {

namespace {

constexpr int kRetries = 100;                    // of a call that fails ...
constexpr std::chrono::milliseconds kPause(10);  // ... with so long in between

}  // namespace

void RetryForASecond(const std::string& what, const std::function<bool()>& attempt) {
  for (int failures = 0; !attempt();) {
    if (errno == EINTR) continue;
    if (++failures > kRetries) throw std::system_error(errno, std::generic_category(), what);
    std::this_thread::sleep_for(kPause);
  }
}

int OpenOrCreate(const std::string& path) {
  int fd = -1;
  RetryForASecond(path, [&] {
    fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    return fd >= 0;
  });
  return fd;
}

std::string ReadWholeFile(int fd, const std::string& name) {
  std::string bytes;
  char piece[65536];
  ssize_t count = 0;
  do {
    RetryForASecond(name, [&] {
      count = pread(fd, piece, sizeof(piece), static_cast<off_t>(bytes.size()));
      return count >= 0;
    });
    bytes.append(piece, static_cast<std::size_t>(count));
  } while (count > 0);
  return bytes;
}

std::optional<std::string> ReadFileIfThere(const std::string& path) {
  int fd = -1;
  RetryForASecond(path, [&] {
    fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
    return fd >= 0 || errno == ENOENT;
  });
  if (fd < 0) return std::nullopt;
  try {
    std::string bytes = ReadWholeFile(fd, path);
    close(fd);
    return bytes;
  } catch (...) {
    close(fd);
    throw;
  }
}

bool WriteAllAt(int fd, const std::string& bytes, std::size_t at) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count = pwrite(fd, bytes.data() + done, bytes.size() - done, static_cast<off_t>(at + done));
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    done += static_cast<std::size_t>(count);
  }
  return true;
}

bool ReplaceFile(const std::string& path, const std::string& bytes) {
  const std::string fresh = path + ".new";
  const int fd = open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd < 0) return false;
  const bool written = WriteAllAt(fd, bytes, 0);
  const int error = errno;
  close(fd);
  if (written && std::rename(fresh.c_str(), path.c_str()) == 0) return true;
  const int failed = written ? errno : error;
  std::remove(fresh.c_str());
  errno = failed;
  return false;
}

}  // namespace opalroute
