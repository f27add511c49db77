#include "relay/module_driver.h"

#include <cmath>
#include <memory>
#include <utility>

namespace opalroute {

ModuleDriver::ModuleDriver(net::EventLoop& loop, const Settings& settings, Owner& owner)
    : loop_(loop), tick_(settings.tick), owner_(owner), courier_(settings) {}

ModuleDriver::~ModuleDriver() {
  loop_.Cancel(turn_);
  for (net::EventLoop::TimerId wake : wakes_) loop_.Cancel(wake);
}

void ModuleDriver::Post(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(pumping_, true)) return;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    std::vector<Action> actions;
    owner_.OnEvent(next);
    courier_.Handle(loop_.Now(), next, actions);
    if (!std::holds_alternative<TurnEnd>(next)) ArmTurn();
    owner_.Apply(actions);
  }
  pumping_ = false;
}

// What comes within one tick leaves together.
void ModuleDriver::ArmTurn() {
  if (turn_ != 0) return;
  turn_ = loop_.At((std::floor(loop_.Now() / tick_) + 1) * tick_, [this] {
    turn_ = 0;
    owner_.BeforeTurnEnds();
    Post(TurnEnd{});
    owner_.AfterTurnEnded();
  });
}

void ModuleDriver::WakeAt(const SetWake& wake) {
  const auto timer = std::make_shared<net::EventLoop::TimerId>(0);
  *timer = loop_.At(wake.at, [this, timer, label = wake.label] {
    wakes_.erase(*timer);
    Post(Wake{label});
  });
  wakes_.insert(*timer);
}

}  // namespace opalroute
