#include "decision/circuit_breaker.h"

namespace opalroute::decision {
namespace {

constexpr int kFailuresToOpen = 3;  // in a row

}  // namespace

void CircuitBreaker::Open(Seconds now) {
  opened_at_ = now;
  state_ = State::kOpen;
}

void CircuitBreaker::HalfOpenIfOpen() {
  if (state_ == State::kOpen) state_ = State::kHalfOpen;
}

void CircuitBreaker::CloseIfHalfOpen() {
  if (state_ == State::kHalfOpen) state_ = State::kClosed;
}

// Hundreds of relays find an outage by failed calls, so one failure opens a circuit that is not closed or
// whose endpoint has served nothing lately; else each relay would lose several calls to it.
bool CircuitBreaker::CountFailure(bool never_ran, bool served_lately) {
  latest_never_ran_ = never_ran;
  return !(++failures_in_row_ < kFailuresToOpen && state_ == State::kClosed && served_lately);
}

}  // namespace opalroute::decision
