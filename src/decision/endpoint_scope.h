// Where endpoints are, and to which of them an attempt may go.
#pragma once

#include <optional>
#include <tuple>

#include "opalroute/types.h"

namespace opalroute::decision {

struct EndpointLocation {
  EndpointId endpoint = 0;
  std::optional<ZoneId> zone;  // empty: unknown
};

// Whether the locations are certainly in one zone. An unknown zone matches that of the same endpoint only.
inline bool AreInOneZone(const EndpointLocation& a, const EndpointLocation& b) {
  return a.zone && b.zone ? *a.zone == *b.zone : a.endpoint == b.endpoint;
}

// Whether the locations are certainly in different zones.
inline bool AreInDifferentZones(const EndpointLocation& a, const EndpointLocation& b) {
  return a.zone && b.zone && *a.zone != *b.zone;
}

// A set of endpoints: all, those of one zone, or a single one whose zone is unknown.
class EndpointScope {
 public:
  EndpointScope() = default;  // all endpoints

  // The endpoints that are certainly in the zone of `location`.
  static EndpointScope ZoneOf(const EndpointLocation& location) {
    EndpointScope scope;
    if (location.zone) {
      scope.zone_ = location.zone;
    } else {
      scope.endpoint_ = location.endpoint;
    }
    return scope;
  }

  bool IncludesAll() const { return !zone_ && !endpoint_; }
  bool Includes(const EndpointLocation& location) const {
    if (zone_) return location.zone == zone_;
    return !endpoint_ || location.endpoint == *endpoint_;
  }

  bool operator<(const EndpointScope& other) const {
    return std::tie(zone_, endpoint_) < std::tie(other.zone_, other.endpoint_);
  }

 private:
  std::optional<ZoneId> zone_;
  std::optional<EndpointId> endpoint_;
};

}  // namespace opalroute::decision
