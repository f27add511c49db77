// Drives the decision module: its events wait in a line, its turns end on a grid of ticks, its wakes are
// timers.
#pragma once

#include <deque>
#include <set>
#include <vector>

#include "net/event_loop.h"
#include "opalroute/request_router.h"

namespace opalroute {

class DecisionLoop {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void Apply(const std::vector<Action>& actions) = 0;
    virtual void BeforeBatchEnds() = 0;
    virtual void AfterBatchEnded() = 0;
    virtual void OnEvent(const Event& event) = 0;  // before the module takes it
  };

  DecisionLoop(net::EventLoop& loop, const Settings& settings, Owner& owner);
  ~DecisionLoop();

  // An action may bring about the next event before it is done: that one waits until then.
  void Post(Event event);
  void ArmTimer(const SetTimer& wake);
  const RequestRouter& router() const { return router_; }

 private:
  void ArmBatchTimer();

  net::EventLoop& loop_;
  const Seconds tick_;
  Owner& owner_;
  RequestRouter router_;
  std::deque<Event> events_;
  bool pumping_ = false;
  net::EventLoop::TimerId batch_timer_ = 0;
  std::set<net::EventLoop::TimerId> timers_;
};

}  // namespace opalroute
