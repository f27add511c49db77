// Drives the router on the event loop: queues events, ends batches on a grid of ticks, and arms the router's
// timers.
#pragma once

#include <deque>
#include <set>
#include <vector>

#include "net/event_loop.h"
#include "net/timer.h"
#include "opalroute/request_router.h"

namespace opalroute {

class DecisionLoop {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // Called before the router handles the event.
    virtual void OnEvent(const Event& event) = 0;
    // Carries out what the router asks for. May post further events; they wait until this returns.
    virtual void Apply(const std::vector<Action>& actions) = 0;
    virtual void BeforeBatchEnds() = 0;
    virtual void AfterBatchEnded() = 0;
  };

  DecisionLoop(net::EventLoop& loop, const Settings& settings, Owner& owner);
  ~DecisionLoop();

  void Post(Event event);
  void ArmTimer(const SetTimer& timer);
  const RequestRouter& router() const { return router_; }

 private:
  void ArmBatchTimer();

  net::EventLoop& loop_;
  const Seconds tick_;
  Owner& owner_;
  RequestRouter router_;
  std::deque<Event> events_;
  bool handling_ = false;
  net::Timer batch_timer_;
  std::set<net::EventLoop::TimerId> timers_;
};

}  // namespace opalroute
