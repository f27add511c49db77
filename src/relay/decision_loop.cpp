#include "relay/decision_loop.h"

#include <cmath>
#include <memory>
#include <utility>

namespace opalroute {

DecisionLoop::DecisionLoop(net::EventLoop& loop, const Settings& settings, Owner& owner)
    : loop_(loop), tick_(settings.tick), owner_(owner), router_(settings) {}

DecisionLoop::~DecisionLoop() {
  loop_.Cancel(batch_timer_);
  for (net::EventLoop::TimerId wake : timers_) loop_.Cancel(wake);
}

void DecisionLoop::Post(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(pumping_, true)) return;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    std::vector<Action> actions;
    owner_.OnEvent(next);
    router_.Handle(loop_.Now(), next, actions);
    if (!std::holds_alternative<BatchEnd>(next)) ArmBatchTimer();
    owner_.Apply(actions);
  }
  pumping_ = false;
}

// What comes within one tick leaves together.
void DecisionLoop::ArmBatchTimer() {
  if (batch_timer_ != 0) return;
  batch_timer_ = loop_.At((std::floor(loop_.Now() / tick_) + 1) * tick_, [this] {
    batch_timer_ = 0;
    owner_.BeforeBatchEnds();
    Post(BatchEnd{});
    owner_.AfterBatchEnded();
  });
}

void DecisionLoop::ArmTimer(const SetTimer& wake) {
  const auto timer = std::make_shared<net::EventLoop::TimerId>(0);
  *timer = loop_.At(wake.due, [this, timer, label = wake.timer_id] {
    timers_.erase(*timer);
    Post(TimerFired{label});
  });
  timers_.insert(*timer);
}

}  // namespace opalroute
