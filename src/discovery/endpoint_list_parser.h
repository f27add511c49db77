// Discovery's form of the endpoint list (protocol page, 'Discovery').
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "discovery/endpoint_source.h"

namespace opalroute {

// A whole list, or a line of changes. None: it can't be read; the reason is logged.
std::optional<EndpointListUpdate> ParseEndpointList(const nlohmann::json& list);

}  // namespace opalroute
