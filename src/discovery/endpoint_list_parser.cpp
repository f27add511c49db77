#include "discovery/endpoint_list_parser.h"

#include "config/fields.h"
#include "log/log.h"
#include "net/address.h"

namespace opalroute {

using nlohmann::json;

namespace {

const config::EnumNames<EndpointRecord::Status> kLifecycles = {
    {"ready", EndpointRecord::Status::kInService},
    {"draining", EndpointRecord::Status::kDraining},
    {"gone", EndpointRecord::Status::kRemoved}};

EndpointRecord ParseRecord(const json& row) {
  EndpointRecord record;
  record.id = config::Get<std::string>(row, "instanceId");
  record.status = config::GetEnum(kLifecycles, row, "lifecycle");
  const auto address = net::ParseAddress(config::Get<std::string>(row, "hostPort"));
  if (!address) throw config::FieldError("field 'hostPort' is not an address");
  record.address = *address;
  record.zone = config::Get<std::string>(row, "zone");
  record.kind = config::Get<std::string>(row, "machineType");
  record.destination = config::Get<long long>(row, "cell");
  record.weight = config::GetOr(row, "weight", 0.0);
  record.started_at_ms = static_cast<std::int64_t>(config::GetOr(row, "startedAtMs", 0.0));
  return record;
}

}  // namespace

std::optional<EndpointListUpdate> ParseEndpointList(const json& list) {
  EndpointListUpdate update;
  try {
    update.generation = config::Get<long long>(list, "generation");
    update.complete = config::GetOr(list, "reset", false);
    const json& rows = config::Require(list, "instances");
    if (!rows.is_array()) throw config::FieldError("field 'instances' is not an array");
    for (const json& row : rows) update.endpoints.push_back(ParseRecord(row));
  } catch (const config::FieldError& error) {
    log::Warn("endpoint_list_unreadable", {{"why", error.what()}});
    return std::nullopt;
  }
  return update;
}

}  // namespace opalroute
