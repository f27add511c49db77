// Drives the decision module: its events wait in a line, its turns end on a grid of ticks, its wakes are
// timers.
#pragma once

#include <deque>
#include <set>
#include <vector>

#include "net/event_loop.h"
#include "opalroute/rules.h"

namespace opalroute {

class ModuleDriver {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void Apply(const std::vector<Action>& actions) = 0;
    virtual void BeforeTurnEnds() = 0;
    virtual void AfterTurnEnded() = 0;
    virtual void OnEvent(const Event& event) = 0;  // before the module takes it
  };

  ModuleDriver(net::EventLoop& loop, const Settings& settings, Owner& owner);
  ~ModuleDriver();

  // An action may bring about the next event before it is done: that one waits until then.
  void Post(Event event);
  void WakeAt(const SetWake& wake);
  const Courier& module() const { return courier_; }

 private:
  void ArmTurn();

  net::EventLoop& loop_;
  const Seconds tick_;
  Owner& owner_;
  Courier courier_;
  std::deque<Event> events_;
  bool pumping_ = false;
  net::EventLoop::TimerId turn_ = 0;
  std::set<net::EventLoop::TimerId> wakes_;
};

}  // namespace opalroute
