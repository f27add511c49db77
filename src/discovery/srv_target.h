// A target of an SRV record, resolved to one address (RFC 2782).
#pragma once

#include <netinet/in.h>

#include <string>

namespace opalroute {

struct SrvTarget {
  std::string target;  // the host name that the record gives
  sockaddr_in address{};
  int priority = 0;  // the lowest is preferred
  int weight = 0;
};

}  // namespace opalroute
