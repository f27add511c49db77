#include "net/timer.h"

#include <utility>

namespace opalroute::net {

void Timer::Start(Seconds when, std::function<void()> callback) {
  Cancel();
  id_ = loop_.At(when, [this, callback = std::move(callback)] {
    id_ = 0;
    callback();
  });
}

}  // namespace opalroute::net
