// The file `learned` in the state folder: the urgent route states of a relay, saved for its next process.
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
    std::string name;                     // of the relay that wrote it
    std::int64_t written_at = 0;          // Unix time in microseconds
    std::vector<NamedRouteState> routes;  // as they were then
    int out_of_range = 0;                 // values dropped by the decoder
    SnapshotResult result = SnapshotResult::kNoFile;
  };

  // Uses at most `max_bytes` of disk space, including the old file that exists until a new one replaces it.
  SnapshotFile(std::string folder, std::size_t max_bytes);

  Saved Load() const;
  // Saves the routes as of `now`, Unix time in microseconds; drops routes from the end if they exceed the
  // space. Returns false if the file could not be written; the old one is then kept.
  bool Save(const std::string& name, std::int64_t now, const std::vector<NamedRouteState>& routes) const;
  std::string path() const { return folder_ + "/learned"; }

 private:
  const std::string folder_;
  const std::size_t max_file_bytes_;
};

}  // namespace opalroute::state_transfer
