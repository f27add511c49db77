// The circuit breaker of one endpoint.
#pragma once

#include "decision/never.h"

namespace opalroute::decision {

// Owns the circuit's state and the failures that open it.
class CircuitBreaker {
 public:
  enum class State {
    kClosed,
    kOpen,      // recovery trials only
    kHalfOpen,  // calls at the rate of slow start
  };

  State state() const { return state_; }
  bool IsOpen() const { return state_ == State::kOpen; }
  bool IsClosed() const { return state_ == State::kClosed; }
  Seconds opened_at() const { return opened_at_; }
  bool has_failures() const { return failures_in_row_ > 0; }
  // Whether the latest failure proved that the endpoint had not run the call.
  bool latest_never_ran() const { return latest_never_ran_; }

  void Open(Seconds now);
  // An open circuit lets calls through again, slowly or at once; any other stays as it is.
  void HalfOpenIfOpen();
  // From open to half-open or closed.
  void SetRecovered(State state) { state_ = state; }
  void CloseIfHalfOpen();
  void OnServed() { failures_in_row_ = 0; }
  // Whether the circuit has to open now; `served_lately`: the endpoint has served a call a short time ago.
  bool CountFailure(bool never_ran, bool served_lately);

 private:
  State state_ = State::kClosed;
  Seconds opened_at_ = 0;
  int failures_in_row_ = 0;
  bool latest_never_ran_ = false;
};

}  // namespace opalroute::decision
