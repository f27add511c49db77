// The journal's file. Frames are appended; a compaction replaces all of them at once. A torn (partially
// written) frame is truncated before anything else is written.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "net/file_descriptor.h"

namespace opalroute {

class JournalFile {
 public:
  // Opens or creates the file. `max_bytes` bounds it and the file of a compaction together. Throws
  // std::system_error, with the path, if it can't be opened for a second.
  JournalFile(std::string path, std::size_t max_bytes);

  // Passes the records to `apply` in order. Stops at the first frame that is torn or damaged, or for whose
  // record `apply` returns false, truncates the file there and returns the number of bytes dropped. Throws
  // std::system_error, with the path, if the file can't be read for a second; it is left unchanged then.
  std::size_t Recover(const std::function<bool(std::string_view record)>& apply);

  // Each returns whether it succeeded. On failure the frames are unchanged, and errno is set if a system call
  // failed.
  bool Append(const std::string& frames);
  // Replaces all frames atomically. Fails unless the file gets smaller and both files fit into `max_bytes`.
  bool Replace(const std::string& frames);
  bool Clear();

  std::size_t bytes() const { return bytes_; }

 private:
  bool TruncateTornFrame();

  const std::string path_;
  const std::size_t max_bytes_;
  net::FileDescriptor file_;
  std::size_t bytes_ = 0;
  bool torn_ = false;  // the file may have bytes of a torn frame after the first bytes_
};

}  // namespace opalroute
