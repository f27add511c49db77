#include "discovery/srv_target.h"

#include "net/address.h"

namespace opalroute {

namespace {

constexpr char kSrvIdPrefix[] = "srv/";

}  // namespace

std::string SrvEndpointId(const SrvTarget& target) {
  return kSrvIdPrefix + target.target + "/" + net::FormatAddress(target.address);
}

bool IsSrvEndpointId(const std::string& id) { return id.rfind(kSrvIdPrefix, 0) == 0; }

}  // namespace opalroute
