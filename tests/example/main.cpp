// A courier with one destination of two endpoints takes one message and says where it goes.
#include <cstdio>
#include <variant>
#include <vector>

#include "opalroute/request_router.h"

int main() {
  opalroute::Settings settings;
  opalroute::MessageClass order;
  order.effect = opalroute::Effect::kSafe;
  order.aim = 1;
  order.deadline = 10;
  order.worth = 1;
  settings.classes = {order};
  settings.kinds = {{false, 1}};
  settings.couriers = 1;
  settings.slots = 4;
  settings.room = 100;
  settings.most_tries = 4;
  settings.tick = 0.005;
  settings.overload_for = 3;
  settings.overload_factor = 2;
  settings.cold_from = 0.2;
  settings.ramp_time = 10;
  settings.seed = 1;

  opalroute::Courier courier(settings);
  std::vector<opalroute::Action> actions;
  courier.Handle(
      0, opalroute::ListUpdate{opalroute::ListScope::kWhole, {{1, 0, 0, 7, {}, 0}, {2, 0, 0, 7, {}, 0}}},
      actions);
  courier.Handle(0, opalroute::NewMessage{1, 0, {}, "", 10, 7}, actions);
  courier.Handle(0, opalroute::TurnEnd{}, actions);
  for (const opalroute::Action& action : actions) {
    if (const auto* send = std::get_if<opalroute::Send>(&action)) {
      std::printf("message 1 goes to endpoint %u\n", static_cast<unsigned>(send->endpoint));
      return 0;
    }
  }
  return 1;
}
