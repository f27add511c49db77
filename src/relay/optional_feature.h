// Startup of features that the relay can run without.
#pragma once

#include <functional>

namespace opalroute {

// Calls `start`. If the platform does not support or permit the feature, logs that `feature` stays off. Any
// other std::system_error, such as an address in use, is a configuration error for operators to fix and is
// rethrown.
void StartUnlessUnsupported(const char* feature, const std::function<void()>& start);

}  // namespace opalroute
