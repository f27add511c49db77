// The decision library: one RequestRouter decides for one relay process which endpoint gets a request, and
// when.
//
// Events go in, actions come out. The router is pure: it does no I/O, has no clock but the times that it is
// handed, and draws random numbers from the settings' seed. It is not thread-safe. Nothing throws on the
// content of an event.
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

  // Handles one event at the time `now` and appends the actions that follow, in order.
  void Handle(Seconds now, const Event& event, std::vector<Action>& actions);

  // Whether a Send that has waited for its connection may still leave: the endpoint is in service, and no
  // Retry-After of its route is in force.
  bool MaySend(Seconds now, EndpointId endpoint) const;

  // The state of the routes of up to `most` destinations, from the number `from` on; `from` is then where to
  // go on, or nothing after the last.
  std::vector<RouteState> ExportRouteStates(Seconds now, std::optional<DestinationId>& from, int most) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace opalroute
