// What a relay believed, in its own state folder, for the process that comes after it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "state_transfer/codec.h"

namespace opalroute::state_transfer {

class SnapshotFile {
 public:
  // Holds at most `most_bytes` on the disk, the file that takes the place of another counted too.
  SnapshotFile(std::string folder, std::size_t most_bytes);

  struct Saved {
    std::string name;
    std::int64_t written_at = 0;          // Unix time in microseconds
    std::vector<NamedRouteState> routes;  // as they were then
    int out_of_range = 0;
    std::string result = "none";  // whole; none: there is no file; cut, garbled, newer, older
  };
  Saved Load() const;

  // From the front as many as there is room for; false: the folder took nothing, and the old file stands.
  bool Save(const std::string& name, std::int64_t now, const std::vector<NamedRouteState>& lanes) const;
  std::string path() const { return folder_ + "/learned"; }

 private:
  std::string folder_;
  std::size_t most_;
};

}  // namespace opalroute::state_transfer
