#include "lab/sockets/hostile_crowd.h"

#include <utility>

#include "net/clock.h"
#include "net/event_loop.h"

namespace opalroute::lab {
namespace {

constexpr net::Seconds kMaxWait = 0.02;  // until Leave takes effect

}  // namespace

HostileCrowd::HostileCrowd(const sockaddr_in& relay, const ClientRequestFields& fields,
                           std::vector<HostileKind> kinds, int clients)
    : thread_(
          [this, relay, fields, kinds = std::move(kinds), clients] { Run(relay, fields, kinds, clients); }) {}

void HostileCrowd::Leave() {
  leaving_ = true;
  if (thread_.joinable()) thread_.join();
}

void HostileCrowd::Run(const sockaddr_in& relay, const ClientRequestFields& fields,
                       const std::vector<HostileKind>& kinds, int clients) {
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  HostileClients hostile(loop, relay, fields);
  for (const HostileKind kind : kinds) hostile.Connect(kind, clients / static_cast<int>(kinds.size()));
  while (!leaving_) loop.RunOnce(kMaxWait);
}

}  // namespace opalroute::lab
