// Endpoints that operators have suspended, in a file that outlives the process.
//
// The file `bans` holds one endpoint id a line, sorted, each line with its end; it is replaced as a whole.
// The empty file `bans.lock` is locked while one of two processes changes it. A later version must go on
// reading `bans`.
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

  // Suspends or resumes an endpoint. Returns true once that is stored, also if it was so before; false if it
  // can't be stored, and nothing has changed. Another process may change the file at the same time.
  bool SetSuspended(const std::string& id, bool suspended);

  // Reads what another process has written since; returns true if the ids differ from before.
  bool Refresh();

 private:
  // Reads the file if it has changed since it was read last. Returns false, with errno set, if it exists and
  // can't be read.
  bool Read(std::set<std::string>& ids);
  bool Save(const std::set<std::string>& ids);
  bool HasChanged(const struct stat& now) const;
  std::string Path(const char* name) const { return folder_ + "/" + name; }

  const std::string folder_;
  const std::size_t max_bytes_;
  std::set<std::string> ids_;
  struct stat last_read_ {};  // of the file when it was read or written last
};

}  // namespace opalroute::admin
