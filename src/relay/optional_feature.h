// Features that the relay can do without.
#pragma once

#include <functional>

namespace opalroute {

// Calls `start`. What the platform does not support or permit stays off, with a log line that names
// `feature`; any other std::system_error (an address in use, say) is the operators' to mend and is thrown on.
void StartUnlessUnsupported(const char* feature, const std::function<void()>& start);

}  // namespace opalroute
