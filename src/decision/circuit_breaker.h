// The circuit breaker of one endpoint.
#pragma once

#include "decision/never.h"

namespace opalroute::decision {

// Owns the circuit's state and the count of consecutive failures.
class CircuitBreaker {
 public:
  enum class State {
    kClosed,
    kOpen,      // only recovery trials are sent
    kHalfOpen,  // calls are sent at the rate of slow start
  };

  State state() const { return state_; }
  bool IsOpen() const { return state_ == State::kOpen; }
  bool IsClosed() const { return state_ == State::kClosed; }
  Seconds opened_at() const { return opened_at_; }
  bool has_failures() const { return consecutive_failures_ > 0; }
  // Whether the last failure proves that the endpoint did not run the call.
  bool last_failure_never_ran() const { return last_failure_never_ran_; }

  void Open(Seconds now);
  // Opens the circuit, which an earlier process of this relay had open.
  void RecoverOpen(Seconds now);
  void HalfOpenIfOpen();
  // Moves an open circuit to half-open or closed.
  void RecoverTo(State state) { state_ = state; }
  void CloseIfHalfOpen();
  void OnServed() { consecutive_failures_ = 0; }
  // Counts a failed call; returns whether the circuit has to open. `never_ran`: the endpoint did not run the
  // call; `served_recently`: the endpoint has served a call a short time ago.
  bool CountFailure(bool never_ran, bool served_recently);

 private:
  State state_ = State::kClosed;
  Seconds opened_at_ = 0;
  int consecutive_failures_ = 0;
  bool last_failure_never_ran_ = false;
};

}  // namespace opalroute::decision
