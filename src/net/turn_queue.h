// Shares the only thread among connections that have more work than fits into one turn. What has just arrived
// on other connections is served between their turns.
#pragma once

#include <cstddef>
#include <list>

#include "net/event_loop.h"

namespace opalroute::net {

class TurnQueue {
 public:
  class Member {
   public:
    virtual ~Member() = default;
    virtual void TakeTurn() = 0;
  };

  // `loop` must outlive the queue. In each iteration of the loop at most `turns` members have a turn.
  TurnQueue(EventLoop& loop, std::size_t turns) : loop_(loop), turns_(turns) {}
  ~TurnQueue() { loop_.Cancel(timer_); }
  TurnQueue(const TurnQueue&) = delete;
  TurnQueue& operator=(const TurnQueue&) = delete;

  // The member has one turn, after those that wait already. It must not wait twice.
  void Add(Member& member);
  void Remove(Member& member) { waiting_.remove(&member); }
  bool empty() const { return waiting_.empty(); }

 private:
  void Schedule();
  void RunTurns();

  EventLoop& loop_;
  const std::size_t turns_;
  std::list<Member*> waiting_;
  EventLoop::TimerId timer_ = 0;
};

}  // namespace opalroute::net
