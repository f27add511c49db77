// What a relay keeps of its tier over restarts, in the state folder: the life of its process, so that notes
// of an earlier one are known as such whatever the clock says, and by name the stage of each zone and what
// operators have ordered of it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zone_failover/zone_failover.h"

namespace opalroute {

class MembershipFile {
 public:
  static constexpr std::size_t kMostBytes = 4096;  // on the disk, with the file that takes its place

  explicit MembershipFile(std::string folder) : path_(std::move(folder) + "/tier") {}

  struct Saved {
    std::uint64_t incarnation = 0;
    zone_failover::ZoneFailover::SavedState zones;  // by zone as `zones` has them; empty: nothing was kept
    std::string load_result =
        "none";  // whole; none: there is no file; broken, other version, other relay, too old
  };
  // `now`: Unix time in microseconds. Stages older than `oldest` seconds, or from a clock that was ahead, are
  // passed over; the life counts all the same, and so do orders, which have an end of their own.
  Saved Load(const std::string& relay, const std::vector<std::string>& zones, std::int64_t now,
             double oldest) const;
  // False: the folder took nothing, and the old file stands.
  bool Save(const std::string& relay, const std::vector<std::string>& zones, std::int64_t now,
            std::uint64_t life, const zone_failover::ZoneFailover::SavedState& kept) const;
  const std::string& path() const { return path_; }

 private:
  const std::string path_;
};

}  // namespace opalroute
