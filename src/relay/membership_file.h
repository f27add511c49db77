// What a relay stores of the fleet for its next process: its incarnation, so that peers can tell messages of
// an earlier process whatever the clock says, and for each zone its evacuation state and the operators'
// override.
//
// The file `tier` holds one frame (net/framing.h) with a JSON object:
//   version  1
//   relay    the relay's name
//   life     incarnation
//   at       when it was written, Unix time in microseconds
//   zones    by name: {"round", "step", "relapses", "age"}, the evacuation's number, its phase (0 evacuating,
//            1 evacuated, 2 recovering, 3 in service), relapses in a row, seconds since the phase began;
//            and "order", the operators' override, if there is one: {"number", "by", "what", "left"}, its
//            sequence, the peer that issued it, leave, keep or none, seconds until it expires
// Early versions wrote no "order". A later version must go on reading the file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "zone_failover/zone_failover.h"

namespace opalroute {

class MembershipFile {
 public:
  static constexpr std::size_t kMostBytes = 4096;  // on disk: the file and the one that replaces it

  struct Saved {
    std::uint64_t incarnation = 0;                  // 0: unknown
    zone_failover::ZoneFailover::SavedState zones;  // in the order of Load's `zones`; empty: nothing was read
    // whole; none: there is no file; broken, other version, other relay; too old: without the evacuation
    // states
    std::string load_result = "none";
  };

  explicit MembershipFile(std::string folder) : path_(std::move(folder) + "/tier") {}

  // `now`: Unix time in microseconds. Evacuation states older than `max_age` seconds, or from a time still to
  // come, are dropped. The incarnation counts all the same, and so do overrides, which have an end of their
  // own.
  Saved Load(const std::string& relay, const std::vector<std::string>& zones, std::int64_t now,
             double max_age) const;

  // Returns false if the file can't be written or would be too large; the old one then stays.
  bool Save(const std::string& relay, const std::vector<std::string>& zones, std::int64_t now,
            std::uint64_t incarnation, const zone_failover::ZoneFailover::SavedState& state) const;

  const std::string& path() const { return path_; }

 private:
  const std::string path_;
};

}  // namespace opalroute
