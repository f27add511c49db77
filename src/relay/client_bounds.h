// The limits of the relay's two HTTP clients.
#pragma once

#include "config/config.h"
#include "net/http_client.h"

namespace opalroute {

// The shares of the memory budget, by owner.
net::MemoryBudget::Shares MemorySharesOf(const MemoryLimits& limits);

// For the client that calls endpoints.
net::ClientBounds EndpointClientBounds(const Config& config, net::MemoryBudget* memory);

// For the client that sends notifications to the platform.
net::ClientBounds PlatformClientBounds(const Limits& limits, net::MemoryBudget* memory);

}  // namespace opalroute
