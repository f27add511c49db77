// Endpoints that operators have suspended, in a file that outlives the process.
//
// The file `bans` holds sorted endpoint ids, each followed by a newline; it is replaced
// atomically. The empty file `bans.lock` is locked while one of the relay's two processes changes `bans`.
// Later versions must be able to read `bans`.
#pragma once

#include <sys/stat.h>

#include <cstddef>
#include <set>
#include <string>

namespace opalroute::admin {

class SuspendedEndpoints {
 public:
  // Reads the file. `max_bytes` bounds it. Throws std::system_error, with the path, if it can't be read for a
  // second.
  SuspendedEndpoints(std::string folder, std::size_t max_bytes);

  const std::set<std::string>& ids() const { return ids_; }
  bool Has(const std::string& id) const { return ids_.count(id) > 0; }

  // Suspends or resumes an endpoint. Returns true once that is stored, also if nothing had to change; false
  // if it can't be stored, and then nothing has changed. Another process may change the file at the same
  // time.
  bool SetSuspended(const std::string& id, bool suspended);

  // Reads what another process has written. Returns true if the ids have changed.
  bool Refresh();

 private:
  // Reads the file into `ids` if it has changed since it was last read or written. Returns false, with errno
  // set, if it exists but can't be read.
  bool Read(std::set<std::string>& ids);
  bool Save(const std::set<std::string>& ids);
  bool HasChanged(const struct stat& now) const;
  std::string Path(const char* name) const { return folder_ + "/" + name; }

  const std::string folder_;
  const std::size_t max_bytes_;
  std::set<std::string> ids_;
  struct stat last_read_ {};  // of the file when it was last read or written
};

}  // namespace opalroute::admin
