// Outcomes of attempts that rest on the order of responses alone: the response came on a connection that had
// carried other calls, so it may be a repetition of an earlier response, or that of an earlier call. An
// outcome is confirmed once its connection has brought nothing unexpected for a while. No I/O; the caller
// passes the time.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "opalroute/events.h"
#include "upstream/possible_outcomes.h"

namespace opalroute {

struct UnconfirmedOutcome {
  RequestId request_id = 0;
  int attempt = 0;
  EndpointId endpoint = 0;
  int place = 0;  // of the response among those of its connection
  Outcome outcome{};
  bool request_ended = false;
  Seconds confirmed_at = 0;  // unless the connection is used again before
  Seconds deadline = 0;      // of the request; the outcome is confirmed by then in any case

  ResponseMeaning Meaning() const { return MeaningOf(outcome, request_ended); }
};

// An outcome that can't be confirmed any more, and what is certain of the request's attempt.
struct JudgedOutcome {
  UnconfirmedOutcome outcome;
  Verdict verdict{};

  // Whether the outcome as it was credited says no more than what is certain.
  bool IsConfirmed() const {
    if (verdict == Verdict::kMayHaveRun) return outcome.Meaning() == ResponseMeaning::kMayHaveRun;
    return verdict != Verdict::kMayBeOver;
  }
};

class UnconfirmedOutcomes {
 public:
  // A response was read. Called before Add for the same response, and also if its request has ended
  // otherwise: it may be the own response of an earlier request of its connection.
  void AddResponse(std::uint64_t connection, const ReadResponse& response);
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
  // Nothing more is read from the connection. Removes and returns the outcomes that rest on it, in the order
  // of their responses.
  std::vector<JudgedOutcome> TakeOf(std::uint64_t connection, const EndOfResponses& end);
  // When the next outcome is confirmed; infinity if there is none.
  Seconds NextDue() const;

 private:
  struct Connection {
    Seconds confirmed_at = 0;
    bool has_call_in_flight = false;
    std::vector<UnconfirmedOutcome> outcomes;
    std::vector<ReadResponse> responses;  // since the first of the outcomes
  };
  static Seconds DueOf(const Connection& connection, const UnconfirmedOutcome& outcome);

  std::map<std::uint64_t, Connection> connections_;
};

}  // namespace opalroute
