// Operators' commands for zones, received as POST /zones on --admin-listen:
//   {"zone": "first", "order": "leave", "for_s": 600}
// `order` is leave, keep, or none, which revokes the override in force and needs no `for_s`.
#pragma once

#include <functional>
#include <string>

#include "net/http_server.h"
#include "zone_failover/operator_override.h"

namespace opalroute {

struct ZoneCommand {
  std::string zone;
  zone_failover::OverrideKind override_kind{};
  Seconds duration = 0;  // above 0, at most a day; unused with OverrideKind::kNone
};

// Throws config::FieldError, which names the invalid key.
ZoneCommand ParseZoneCommand(const std::string& body);

// Parses `body` and hands the command to `apply`, which returns whether the zone exists. Answers 200, 400
// with what is wrong with the body, or 404 for an unknown zone.
net::HttpResponse HandleZoneCommand(const std::string& body,
                                    const std::function<bool(const ZoneCommand&)>& apply);

}  // namespace opalroute
