// What the error of a socket call says (errno; accept(2), connect(2), recv(2), send(2), socket(2)).
#pragma once

#include <cerrno>

#include "net/clock.h"

namespace opalroute::net {

// The system is short of something for a moment: the same call may succeed soon, and raises no event then.
inline bool IsShortage(int error) {
  return error == ENOBUFS || error == ENOMEM || error == EMFILE || error == ENFILE;
}
constexpr Seconds kShortagePause = 0.005;  // before such a call is made again

// A connection could not be begun for a reason on this side: it says nothing of the other one.
inline bool IsLocalConnectError(int error) {
  return IsShortage(error) || error == EADDRNOTAVAIL || error == EADDRINUSE || error == EAGAIN ||
         error == ENETUNREACH || error == ENETDOWN || error == EACCES || error == EPERM;
}

}  // namespace opalroute::net
