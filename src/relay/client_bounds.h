// The limits of the relay's two HTTP clients.
#pragma once

#include "config/config.h"
#include "net/http_client.h"

namespace opalroute {

// For the client that calls endpoints.
net::ClientBounds EndpointClientBounds(const Config& config);

// For the client that sends notifications to the platform.
net::ClientBounds PlatformClientBounds(const Limits& limits);

}  // namespace opalroute
