// Outcomes of attempts that rest on the order of responses alone: the response came on a connection that had
// carried other calls, so it may be a repetition of an earlier response, or that of an earlier call. An
// outcome is confirmed once its connection has brought nothing unexpected for a while. No I/O; the caller
// passes the time.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "opalroute/events.h"

namespace opalroute {

struct UnconfirmedOutcome {
  RequestId request_id = 0;
  int attempt = 0;
  EndpointId endpoint = 0;
  Outcome outcome{};
  bool request_ended = false;
  Seconds confirmed_at = 0;  // unless the connection is used again before
  Seconds deadline = 0;      // of the request; the outcome is confirmed by then in any case
};

class UnconfirmedOutcomes {
 public:
  // An outcome that rests on a response on this connection. The earlier ones of the connection now wait as
  // long as this one: if one of them took a repeated response, this one may have taken the response that
  // belonged to it.
  void Add(std::uint64_t connection, const UnconfirmedOutcome& outcome);
  // The outcomes of request `from` become those of `to`, of its attempts with the numbers `attempts[i]`,
  // where i is the number of the attempt of `from`.
  void Reassign(RequestId from, RequestId to, const std::vector<int>& attempts);
  // A call on the connection has been written, or has ended. Meanwhile none of its outcomes is confirmed
  // before the request's deadline.
  void OnCallWritten(std::uint64_t connection);
  void OnCallEnded(std::uint64_t connection);
  // Removes and returns the outcomes that are confirmed by now, in no particular order.
  std::vector<UnconfirmedOutcome> TakeConfirmed(Seconds now);
  // Removes and returns the outcomes that rest on the connection, in the order of their responses.
  std::vector<UnconfirmedOutcome> TakeOf(std::uint64_t connection);
  // When the next outcome is confirmed; infinity if there is none.
  Seconds NextDue() const;

 private:
  struct Connection {
    Seconds confirmed_at = 0;
    bool has_call_in_flight = false;
    std::vector<UnconfirmedOutcome> outcomes;
  };
  static Seconds DueOf(const Connection& connection, const UnconfirmedOutcome& outcome);

  std::map<std::uint64_t, Connection> connections_;
};

// Whether a further response with this outcome leaves no doubt: all responses say the same, so each call's
// own response says it, whichever of them it is.
bool AllAgree(const std::vector<UnconfirmedOutcome>& outcomes, Outcome further);

}  // namespace opalroute
