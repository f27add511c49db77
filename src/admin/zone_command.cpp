#include "admin/zone_command.h"

#include <nlohmann/json.hpp>

#include "config/fields.h"

namespace opalroute {

ZoneCommand ParseZoneCommand(const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_discarded()) throw config::FieldError("the body is no JSON");
  ZoneCommand order;
  order.zone = config::Get<std::string>(json, "zone");
  const auto what = zone_failover::OverrideKindOf(config::Get<std::string>(json, "order"));
  if (!what) throw config::FieldError("field 'order' is none of leave, keep, none");
  order.override_kind = *what;
  for (const auto& [key, value] : json.items())
    if (key != "zone" && key != "order" && key != "for_s")
      throw config::FieldError("unknown field '" + key + "'");
  if (order.override_kind == zone_failover::OverrideKind::kNone) return order;
  order.duration = config::Get<double>(json, "for_s");
  if (!(order.duration > 0 && order.duration <= zone_failover::OperatorOverrides::kMaxDuration))
    throw config::FieldError("field 'for_s' is not above 0 and 86400 at most");
  return order;
}

net::HttpAnswer HandleZoneCommand(const std::string& body,
                                  const std::function<bool(const ZoneCommand&)>& give) {
  try {
    const ZoneCommand order = ParseZoneCommand(body);
    if (!give(order)) return net::PlainAnswer(404, "there is no zone '" + order.zone + "'");
  } catch (const config::FieldError& error) {
    return net::PlainAnswer(400, error.what());
  }
  return net::PlainAnswer(200, "done");
}

}  // namespace opalroute
