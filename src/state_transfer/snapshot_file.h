// The file `learned` of the state folder: the urgent route states of a relay, for the process that comes
// after it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "state_transfer/codec.h"
#include "state_transfer/snapshot_result.h"

namespace opalroute::state_transfer {

class SnapshotFile {
 public:
  struct Saved {
    std::string name;                     // of the relay that has written it
    std::int64_t written_at = 0;          // Unix time in microseconds
    std::vector<NamedRouteState> routes;  // as they were then
    int out_of_range = 0;                 // values left out
    SnapshotResult result = SnapshotResult::kNoFile;
  };

  // Occupies at most `max_bytes` of the disk, where a new file and the one that it replaces count together.
  SnapshotFile(std::string folder, std::size_t max_bytes);

  Saved Load() const;
  // Saves as many routes from the front as there is space for, as of `now`, Unix time in microseconds. False:
  // the folder took no file, and the old one stays.
  bool Save(const std::string& name, std::int64_t now, const std::vector<NamedRouteState>& routes) const;
  std::string path() const { return folder_ + "/learned"; }

 private:
  const std::string folder_;
  const std::size_t max_file_bytes_;
};

}  // namespace opalroute::state_transfer
