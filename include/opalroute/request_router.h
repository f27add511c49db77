// The decision library: one RequestRouter decides for one relay process which endpoint gets a request, and
// when.
//
// Events go in, actions come out. The router is deterministic: it does no I/O, reads the time only from its
// arguments, and seeds its random numbers from the settings. It is not thread-safe. The content of an event
// never makes it throw.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "opalroute/actions.h"
#include "opalroute/events.h"
#include "opalroute/settings.h"
#include "opalroute/types.h"

namespace opalroute {

class RequestRouter {
 public:
  explicit RequestRouter(const Settings& settings);
  ~RequestRouter();
  RequestRouter(RequestRouter&&) noexcept;
  RequestRouter& operator=(RequestRouter&&) noexcept;
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  // Handles one event at the time `now` and appends the resulting actions, in order.
  void Handle(Seconds now, const Event& event, std::vector<Action>& actions);

  // Whether a Send that has waited for a connection may still be sent: the endpoint is in service, and its
  // route has no Retry-After in effect.
  bool MaySend(Seconds now, EndpointId endpoint) const;
  // Whether the Send of an attempt (an index into the request's attempts) that has waited for a connection
  // may still be sent: MaySend of its endpoint holds, and what has become known of the request's other
  // attempts in the meantime does not forbid it. False for an unknown request or attempt.
  bool MaySendAttempt(Seconds now, RequestId request, int attempt) const;

  // Returns the route states of up to `max_destinations` destinations, in the order of their ids, starting at
  // `from`. Sets `from` to the id to continue at, or to nothing after the last destination.
  std::vector<RouteState> ExportRouteStates(Seconds now, std::optional<DestinationId>& from,
                                            int max_destinations) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace opalroute
