#include "decision/circuit_breaker.h"

#include <algorithm>

namespace opalroute::decision {
namespace {

constexpr int kFailuresToOpen = 3;  // consecutive

}  // namespace

void CircuitBreaker::Open(Seconds now) {
  opened_at_ = now;
  state_ = State::kOpen;
}

void CircuitBreaker::RecoverOpen(Seconds now) {
  consecutive_failures_ = std::max(consecutive_failures_, 1);
  Open(now);
}

void CircuitBreaker::HalfOpenIfOpen() {
  if (state_ == State::kOpen) state_ = State::kHalfOpen;
}

void CircuitBreaker::CloseIfHalfOpen() {
  if (state_ == State::kHalfOpen) state_ = State::kClosed;
}

// A single failure opens a circuit that is not closed or whose endpoint has not served a call recently. With
// hundreds of relays detecting the same outage, each of them would otherwise lose several calls to the
// endpoint.
bool CircuitBreaker::CountFailure(bool never_ran, bool served_recently) {
  last_failure_never_ran_ = never_ran;
  return !(++consecutive_failures_ < kFailuresToOpen && state_ == State::kClosed && served_recently);
}

}  // namespace opalroute::decision
