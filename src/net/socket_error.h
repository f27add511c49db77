// Classifies the errors of socket calls (errno; accept(2), connect(2), recv(2), send(2), socket(2)).
#pragma once

#include <cerrno>

#include "net/clock.h"

namespace opalroute::net {

// The system is temporarily out of a resource. The same call may succeed soon, but epoll reports no event
// when it would: the caller has to retry on a timer.
inline bool IsResourceShortage(int error) {
  return error == ENOBUFS || error == ENOMEM || error == EMFILE || error == ENFILE;
}
constexpr Seconds kShortageRetryDelay = 0.005;  // before the call is retried

// connect(2) failed for a reason on this machine or in its routing, which says nothing about the remote side.
inline bool IsLocalConnectError(int error) {
  return IsResourceShortage(error) || error == EADDRNOTAVAIL || error == EADDRINUSE || error == EAGAIN ||
         error == ENETUNREACH || error == ENETDOWN || error == EACCES || error == EPERM;
}

}  // namespace opalroute::net
