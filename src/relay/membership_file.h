// The membership state that a relay stores for its next process: its incarnation, by which peers recognize
// messages of an earlier process even if the clock was set back, and for each zone the evacuation state and
// the operators' override.
//
// The file `tier` holds one frame (net/framing.h) with a JSON object:
//   version  1
//   relay    the relay's name
//   life     incarnation
//   at       time of writing, Unix time in microseconds
//   zones    an object by zone name. "round": number of the evacuation; "step": its phase (0 evacuating,
//            1 evacuated, 2 recovering, 3 in service); "relapses": consecutive relapses; "age": seconds since
//            the phase began; "order", only if there is an operators' override: {"number": its sequence,
//            "by": index of the peer that issued it, "what": leave, keep or none, "left": seconds until it
//            expires}
// Early versions wrote no "order". Later versions must be able to read the file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "zone_failover/zone_failover.h"

namespace opalroute {

class MembershipFile {
 public:
  // Disk space for the file and its replacement while it is written.
  static constexpr std::size_t kMaxDiskBytes = 4096;

  struct Saved {
    std::uint64_t incarnation = 0;  // 0: unknown
    // In the order of Load's `zones`; empty if nothing was read.
    zone_failover::ZoneFailover::SavedState zones;
    // "whole"; "none" if there is no file; "broken", "other version" or "other relay" if it can't be used;
    // "too old" if the evacuation states were dropped.
    std::string load_result = "none";
  };

  explicit MembershipFile(std::string folder) : path_(std::move(folder) + "/tier") {}

  // `now` is Unix time in microseconds. Evacuation states older than `max_age` seconds or dated in the future
  // are dropped. The incarnation and the overrides, which have an expiry of their own, are kept in any case.
  Saved Load(const std::string& relay, const std::vector<std::string>& zones, std::int64_t now,
             double max_age) const;

  // Returns false if the file can't be written or would be too large; the old file then stays in place.
  bool Save(const std::string& relay, const std::vector<std::string>& zones, std::int64_t now,
            std::uint64_t incarnation, const zone_failover::ZoneFailover::SavedState& state) const;

  const std::string& path() const { return path_; }

 private:
  const std::string path_;
};

}  // namespace opalroute
