#include "relay/decision_loop.h"

#include <cmath>
#include <memory>
#include <utility>

namespace opalroute {

DecisionLoop::DecisionLoop(net::EventLoop& loop, const Settings& settings, Owner& owner)
    : loop_(loop), tick_(settings.tick), owner_(owner), router_(settings), batch_timer_(loop) {}

DecisionLoop::~DecisionLoop() {
  for (net::EventLoop::TimerId timer : timers_) loop_.Cancel(timer);
}

void DecisionLoop::Post(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(handling_, true)) return;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    std::vector<Action> actions;
    owner_.OnEvent(next);
    router_.Handle(loop_.Now(), next, actions);
    if (!std::holds_alternative<BatchEnd>(next)) ArmBatchTimer();
    owner_.Apply(actions);
  }
  handling_ = false;
}

// The events between two multiples of the tick interval form a batch.
void DecisionLoop::ArmBatchTimer() {
  if (batch_timer_.pending()) return;
  const Seconds batch_end = (std::floor(loop_.Now() / tick_) + 1) * tick_;
  batch_timer_.Start(batch_end, [this] {
    owner_.BeforeBatchEnds();
    Post(BatchEnd{});
    owner_.AfterBatchEnded();
  });
}

void DecisionLoop::ArmTimer(const SetTimer& timer) {
  const auto loop_timer = std::make_shared<net::EventLoop::TimerId>(0);
  *loop_timer = loop_.At(timer.due, [this, loop_timer, id = timer.timer_id] {
    timers_.erase(*loop_timer);
    Post(TimerFired{id});
  });
  timers_.insert(*loop_timer);
}

}  // namespace opalroute
