// A target of an SRV record (RFC 2782), resolved to one address.
#pragma once

#include <netinet/in.h>

#include <string>

namespace opalroute {

struct SrvTarget {
  std::string target;  // the host name in the record
  sockaddr_in address{};
  int priority = 0;  // the lowest value is preferred
  int weight = 0;
};

// The id of an endpoint that SRV names before the list does: "srv/TARGET/ADDRESS". It includes the host name,
// as another name at the same address is a different endpoint.
std::string SrvEndpointId(const SrvTarget& target);
bool IsSrvEndpointId(const std::string& id);

}  // namespace opalroute
