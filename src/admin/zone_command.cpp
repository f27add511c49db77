#include "admin/zone_command.h"

#include <nlohmann/json.hpp>

#include "config/fields.h"

namespace opalroute {

namespace {

void RejectUnknownKeys(const nlohmann::json& json) {
  for (const auto& [key, value] : json.items()) {
    if (key != "zone" && key != "order" && key != "for_s")
      throw config::FieldError("unknown field '" + key + "'");
  }
}

}  // namespace

ZoneCommand ParseZoneCommand(const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_discarded()) throw config::FieldError("the body is not valid JSON");
  ZoneCommand command;
  command.zone = config::Get<std::string>(json, "zone");
  const auto kind = zone_failover::OverrideKindOf(config::Get<std::string>(json, "order"));
  if (!kind) throw config::FieldError("field 'order' must be leave, keep or none");
  command.override_kind = *kind;
  RejectUnknownKeys(json);
  if (command.override_kind == zone_failover::OverrideKind::kNone) return command;
  command.duration = config::Get<double>(json, "for_s");
  if (!(command.duration > 0 && command.duration <= zone_failover::OperatorOverrides::kMaxDuration))
    throw config::FieldError("field 'for_s' must be above 0 and at most 86400");
  return command;
}

net::HttpResponse HandleZoneCommand(const std::string& body,
                                    const std::function<bool(const ZoneCommand&)>& apply) {
  try {
    const ZoneCommand command = ParseZoneCommand(body);
    if (!apply(command)) return net::PlainTextResponse(404, "there is no zone '" + command.zone + "'");
  } catch (const config::FieldError& error) {
    return net::PlainTextResponse(400, error.what());
  }
  return net::PlainTextResponse(200, "done");
}

}  // namespace opalroute
