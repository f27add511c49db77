#include "net/file_descriptor.h"

#include <unistd.h>

#include <cerrno>
#include <utility>

namespace opalroute::net {

FileDescriptor::~FileDescriptor() { Close(); }

FileDescriptor::FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  if (this != &other) {
    Close();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

void FileDescriptor::Close() {
  if (fd_ < 0) return;
  const int error = errno;
  close(fd_);
  errno = error;
  fd_ = -1;
}

}  // namespace opalroute::net
