#include "relay/optional_feature.h"

#include <cerrno>
#include <system_error>

#include "log/log.h"

namespace opalroute {
namespace {

bool IsUnsupported(const std::error_code& error) {
  switch (error.value()) {
    case ENOSYS:
    case EPERM:
    case EAFNOSUPPORT:
    case ESOCKTNOSUPPORT:
    case EPROTONOSUPPORT:
      return true;
    default:
      return false;
  }
}

}  // namespace

void StartUnlessUnsupported(const char* feature, const std::function<void()>& start) {
  try {
    start();
  } catch (const std::system_error& error) {
    if (!IsUnsupported(error.code())) throw;
    log::Warn("feature_off", {{"feature", feature}, {"why", error.what()}});
  }
}

}  // namespace opalroute
