// Converts discovery's JSON endpoint list to EndpointListUpdate. The JSON field names are used nowhere else.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "discovery/endpoint_source.h"

namespace opalroute {

// Parses a complete list or a set of changes. Logs the reason and returns nullopt if a field is missing or
// invalid.
std::optional<EndpointListUpdate> ParseEndpointList(const nlohmann::json& list);

}  // namespace opalroute
