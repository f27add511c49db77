// Maps discovery's JSON form of the endpoint list to EndpointListUpdate. Its field names are used nowhere
// else.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "discovery/endpoint_source.h"

namespace opalroute {

// Reads a whole list or one line of changes. Returns nullopt, and logs the reason, if it has another form.
std::optional<EndpointListUpdate> ParseEndpointList(const nlohmann::json& list);

}  // namespace opalroute
