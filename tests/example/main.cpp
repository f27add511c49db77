// Passes one request to a request router with one destination of two endpoints, and prints the endpoint that
// the router sends it to.
#include <cstdio>
#include <variant>
#include <vector>

#include "opalroute/request_router.h"

int main() {
  opalroute::Settings settings;
  opalroute::RequestClass order;
  order.idempotency = opalroute::Idempotency::kIdempotent;
  order.latency_objective = 1;
  order.deadline = 10;
  order.priority_weight = 1;
  settings.classes = {order};
  settings.kinds = {{false, 1}};
  settings.relay_count = 1;
  settings.concurrency_limit = 4;
  settings.request_capacity = 100;
  settings.max_attempts = 4;
  settings.tick = 0.005;
  settings.overload_window = 3;
  settings.overload_factor = 2;
  settings.slow_start_initial_share = 0.2;
  settings.slow_start_duration = 10;
  settings.seed = 1;

  opalroute::RequestRouter router(settings);
  std::vector<opalroute::Action> actions;
  router.Handle(0,
                opalroute::ListUpdate{opalroute::ListScope::kComplete,
                                      {{1, opalroute::ZoneId{0}, opalroute::KindId{0}, 7, {}, 0},
                                       {2, opalroute::ZoneId{0}, opalroute::KindId{0}, 7, {}, 0}}},
                actions);
  router.Handle(0, opalroute::NewRequest{1, 0, {}, "", 10, 7}, actions);
  router.Handle(0, opalroute::BatchEnd{}, actions);
  for (const opalroute::Action& action : actions) {
    if (const auto* send = std::get_if<opalroute::Send>(&action)) {
      std::printf("request 1 goes to endpoint %u\n", static_cast<unsigned>(send->endpoint));
      return 0;
    }
  }
  return 1;
}
