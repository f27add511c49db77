#include "decision/request_timers.h"

#include <algorithm>

namespace opalroute::decision {

void RequestTimers::Delay(Request& request, Seconds until) {
  request.phase = RequestPhase::kDelayed;
  request.not_before = until;
  delayed_.insert({until, request.request_id});
}

void RequestTimers::CancelDelay(const Request& request) {
  if (request.phase == RequestPhase::kDelayed) delayed_.erase({request.not_before, request.request_id});
}

void RequestTimers::SetExpiry(Request& request, Seconds at) {
  ClearExpiry(request);
  request.expiry = at;
  expiries_.insert({at, request.request_id});
}

void RequestTimers::ClearExpiry(Request& request) {
  if (request.expiry < kNever) expiries_.erase({request.expiry, request.request_id});
  request.expiry = kNever;
}

std::optional<RequestId> RequestTimers::TakeEndedBackoff(Seconds now) {
  if (delayed_.empty() || delayed_.begin()->time > now) return std::nullopt;
  const RequestId id = delayed_.begin()->request_id;
  delayed_.erase(delayed_.begin());
  return id;
}

std::optional<RequestId> RequestTimers::FindExpired(Seconds now) const {
  if (expiries_.empty() || expiries_.begin()->time > now) return std::nullopt;
  return expiries_.begin()->request_id;
}

Seconds RequestTimers::NextDue() const {
  Seconds due = kNever;
  for (const RequestsByTime* queue : {&delayed_, &expiries_}) {
    if (!queue->empty()) due = std::min(due, queue->begin()->time);
  }
  return due;
}

}  // namespace opalroute::decision
