// Returns whether a TCP connection to an address can be established.
#pragma once

#include <unistd.h>

#include <exception>
#include <string>

#include "lab/capacity/minimal_http.h"
#include "net/address.h"

namespace opalroute::lab {

inline bool AcceptsConnections(const std::string& address) {
  try {
    close(raw::Connect(*net::ParseAddress(address)));
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace opalroute::lab
