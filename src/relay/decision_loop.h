// Drives the request router on the event loop: queues events, ends each batch of events at the next multiple
// of the tick interval, and arms the router's timers.
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
    // Carries out the router's actions. May post further events, which are handled after this returns.
    virtual void Apply(const std::vector<Action>& actions) = 0;
    virtual void BeforeBatchEnds() = 0;
    virtual void AfterBatchEnded() = 0;
  };

  DecisionLoop(net::EventLoop& loop, const Settings& settings, Owner& owner);
  ~DecisionLoop();

  // Handles the event and everything that it causes before it returns. A nested call only queues its event.
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
