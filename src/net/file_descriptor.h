// Unique ownership of a file descriptor.
#pragma once

namespace opalroute::net {

// Closes its descriptor on destruction. Closing preserves errno, so that the cause of an earlier failure can
// still be reported.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd_(fd) {}
  ~FileDescriptor();
  FileDescriptor(FileDescriptor&& other) noexcept;
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  int get() const { return fd_; }  // -1: none
  bool valid() const { return fd_ >= 0; }
  void Close();

 private:
  int fd_ = -1;
};

}  // namespace opalroute::net
