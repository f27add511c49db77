// Endpoints that operators have taken out by hand, in a file that outlives the process.
#pragma once

#include <sys/stat.h>

#include <cstddef>
#include <set>
#include <string>

namespace opalroute::admin {

class SuspendedEndpoints {
 public:
  // Reads what was kept; a file that can't be read for a second is a fault: std::system_error. `most_bytes`
  // bounds the file.
  SuspendedEndpoints(std::string folder, std::size_t most_bytes);

  const std::set<std::string>& ids() const { return ids_; }
  bool Has(const std::string& id) const { return ids_.count(id) > 0; }

  // True once it is kept; false: it could not be, and nothing has changed. Repeating one changes nothing.
  // Under a lock: two processes may be told at once.
  bool SetSuspended(const std::string& id, bool banned);

  // Takes over what another process has written since; true if anything differs.
  bool Refresh();

 private:
  // False: there is a file, and it can't be read.
  bool Read(std::set<std::string>& ids);
  bool Save(const std::set<std::string>& ids);
  std::string Path(const char* name) const { return folder_ + "/" + name; }

  const std::string folder_;
  const std::size_t most_bytes_;
  std::set<std::string> ids_;
  struct stat read_ {};  // of the file as it was read
};

}  // namespace opalroute::admin
