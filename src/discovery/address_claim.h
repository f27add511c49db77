// Which of two endpoints that one address was given to has it. Does no I/O.
#pragma once

#include <cstdint>

namespace opalroute {

// The list's statement that an address belongs to an endpoint.
struct AddressClaim {
  // Number of the update that first gave this process of the endpoint the address; later updates have greater
  // ones.
  std::uint64_t update = 0;
  std::int64_t started_at_ms = 0;  // Unix time of its start, as in EndpointRecord
  bool draining = false;
};

// Whether `than` is certainly the newer of two claims to one address. Neither may be: one update can give an
// address to two endpoints without telling which of them is new.
inline bool IsOlder(const AddressClaim& claim, const AddressClaim& than) {
  if (claim.update != than.update) return claim.update < than.update;
  if (claim.started_at_ms != than.started_at_ms) return claim.started_at_ms < than.started_at_ms;
  return claim.draining && !than.draining;
}

}  // namespace opalroute
