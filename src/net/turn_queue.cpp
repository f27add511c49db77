#include "net/turn_queue.h"

namespace opalroute::net {

void TurnQueue::Add(Member& member) {
  waiting_.push_back(&member);
  Schedule();
}

// A timer that is due runs after the events of the iteration.
void TurnQueue::Schedule() {
  if (timer_ != 0 || waiting_.empty()) return;
  timer_ = loop_.At(loop_.Now(), [this] {
    timer_ = 0;
    RunTurns();
    Schedule();
  });
}

void TurnQueue::RunTurns() {
  for (std::size_t turn = 0; turn < turns_ && !waiting_.empty(); ++turn) {
    Member& member = *waiting_.front();
    waiting_.pop_front();
    member.TakeTurn();
  }
}

}  // namespace opalroute::net
