#include "discovery/endpoint_list_parser.h"

#include "config/fields.h"
#include "log/log.h"
#include "net/address.h"

namespace opalroute {

using nlohmann::json;

namespace {

const config::Words<EndpointRecord::Status> kStates = {{"ready", EndpointRecord::Status::kInService},
                                                       {"draining", EndpointRecord::Status::kDraining},
                                                       {"gone", EndpointRecord::Status::kRemoved}};

EndpointRecord ReadMember(const json& row) {
  EndpointRecord member;
  member.id = config::Get<std::string>(row, "instanceId");
  member.status = config::Word(kStates, row, "lifecycle");
  const auto address = net::ParseAddress(config::Get<std::string>(row, "hostPort"));
  if (!address) throw config::FieldError("field 'hostPort' holds no address");
  member.address = *address;
  member.zone = config::Get<std::string>(row, "zone");
  member.kind = config::Get<std::string>(row, "machineType");
  member.destination = config::Get<long long>(row, "cell");
  member.weight = config::GetOr(row, "weight", 0.0);
  return member;
}

}  // namespace

std::optional<EndpointListUpdate> ParseEndpointList(const json& list) {
  EndpointListUpdate news;
  try {
    news.generation = config::Get<long long>(list, "generation");
    news.complete = config::GetOr(list, "reset", false);
    const json& rows = config::Need(list, "instances");
    if (!rows.is_array()) throw config::FieldError("field 'instances' is no array");
    for (const json& row : rows) news.endpoints.push_back(ReadMember(row));
  } catch (const config::FieldError& error) {
    log::Warn("pool_list_unreadable", {{"why", error.what()}});
    return std::nullopt;
  }
  return news;
}

}  // namespace opalroute
