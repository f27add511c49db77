// The journal's file: frames are appended, all of them are replaced at once by a compaction, and a frame that
// was written in part is cut off before anything else is written.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "net/file_descriptor.h"

namespace opalroute {

class JournalFile {
 public:
  // Opens the file or creates it. `max_bytes` bounds it and the file of a compaction together. Throws
  // std::system_error, with the path, if it can't be opened for a second.
  JournalFile(std::string path, std::size_t max_bytes);

  // Hands every record to `apply`, up to the first frame that is torn or damaged or whose record `apply`
  // refuses; that frame and all bytes behind it are cut off. Returns how many bytes those are. Throws
  // std::system_error, with the path, if the file can't be read for a second; it then stays as it is.
  std::size_t Recover(const std::function<bool(std::string_view record)>& apply);

  // Each returns whether it is done; false leaves the content as it was, with errno set if a call failed.
  bool Append(const std::string& frames);
  bool Replace(const std::string& frames);  // atomically; only where that makes the file smaller
  bool Clear();

  std::size_t bytes() const { return bytes_; }

 private:
  bool CutTornFrame();

  const std::string path_;
  const std::size_t max_bytes_;
  net::FileDescriptor file_;
  std::size_t bytes_ = 0;
  bool torn_ = false;  // a frame that was written in part stands behind bytes_
};

}  // namespace opalroute
