// Operators' orders of zones, as POST /zones on --admin-listen brings them:
//   {"zone": "first", "order": "leave", "for_s": 600}     leave, keep, or none to revoke what stands
#pragma once

#include <functional>
#include <string>

#include "net/http_server.h"
#include "zone_failover/operator_override.h"

namespace opalroute {

struct ZoneCommand {
  std::string zone;
  zone_failover::OverrideKind override_kind{};
  Seconds duration = 0;  // above 0 and a day at most; of kNone it says nothing
};
// Throws config::FieldError, which names the key that is wrong.
ZoneCommand ParseZoneCommand(const std::string& body);

// 200, or 400 with what is wrong; 404 where `give` says that there is no such zone.
net::HttpAnswer HandleZoneCommand(const std::string& body,
                                  const std::function<bool(const ZoneCommand&)>& give);

}  // namespace opalroute
