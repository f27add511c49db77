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

constexpr int kMaxRetries = 100;
constexpr std::chrono::milliseconds kRetryInterval(10);
constexpr std::size_t kReadChunkBytes = 65536;
constexpr mode_t kOwnerReadWrite = 0600;
constexpr mode_t kOwnerWriteAllRead = 0644;

}  // namespace

void RetryTransientErrors(const std::string& what, const std::function<bool()>& attempt) {
  int failures = 0;
  while (!attempt()) {
    if (errno == EINTR) continue;
    if (++failures > kMaxRetries) throw std::system_error(errno, std::generic_category(), what);
    std::this_thread::sleep_for(kRetryInterval);
  }
}

net::FileDescriptor OpenOrCreate(const std::string& path) {
  int fd = -1;
  RetryTransientErrors(path, [&] {
    fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerReadWrite);
    return fd >= 0;
  });
  return net::FileDescriptor(fd);
}

std::string ReadWholeFile(int fd, const std::string& path) {
  std::string bytes;
  char chunk[kReadChunkBytes];
  ssize_t count = 0;
  do {
    RetryTransientErrors(path, [&] {
      count = pread(fd, chunk, sizeof(chunk), static_cast<off_t>(bytes.size()));
      return count >= 0;
    });
    bytes.append(chunk, static_cast<std::size_t>(count));
  } while (count > 0);
  return bytes;
}

std::optional<std::string> ReadFileIfExists(const std::string& path) {
  int fd = -1;
  RetryTransientErrors(path, [&] {
    fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
    return fd >= 0 || errno == ENOENT;
  });
  const net::FileDescriptor file(fd);
  if (!file.valid()) return std::nullopt;
  return ReadWholeFile(file.get(), path);
}

bool WriteAllAt(int fd, const std::string& bytes, std::size_t offset) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count =
        pwrite(fd, bytes.data() + done, bytes.size() - done, static_cast<off_t>(offset + done));
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    done += static_cast<std::size_t>(count);
  }
  return true;
}

bool ReplaceFile(const std::string& path, const std::string& bytes) {
  const std::string new_path = path + ".new";
  net::FileDescriptor file(
      open(new_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kOwnerWriteAllRead));
  if (!file.valid()) return false;
  const bool written = WriteAllAt(file.get(), bytes, 0);
  file.Close();
  if (written && std::rename(new_path.c_str(), path.c_str()) == 0) return true;
  const int error = errno;
  std::remove(new_path.c_str());
  errno = error;
  return false;
}

}  // namespace opalroute
