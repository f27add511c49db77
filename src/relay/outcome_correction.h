// Carries out what follows for a request when an outcome that rested on the order of responses is confirmed,
// or is withdrawn: its record in the journal, its state in the request table, and the decision module.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "config/config.h"
#include "log/line_limiter.h"
#include "metrics/counters.h"
#include "net/event_loop.h"
#include "relay/decision_loop.h"
#include "relay/endpoint_table.h"
#include "relay/outcome_confirmation.h"
#include "relay/request_table.h"
#include "upstream/upstream_call.h"

namespace opalroute {

class OutcomeCorrection : private OutcomeConfirmation::Owner {
 public:
  struct Callbacks {
    std::function<void()> on_call_ended;                      // or an outcome was confirmed
    std::function<void(EndpointId, Seconds)> on_retry_after;  // an endpoint has sent one (in seconds)
    // A request that had probably ended has to be taken up again; by the client's id. Returns its new id, or
    // 0.
    std::function<RequestId(const std::string&)> on_reopened;
    std::function<void(RequestId)> on_may_be_over;  // the request must not be sent again
    std::function<void(RequestId)> on_failed;       // the request ends with a notification
  };
  OutcomeCorrection(net::EventLoop& loop, net::HttpClient& client, const Config& config, Counters& counters,
                    EndpointTable& endpoints, RequestTable& requests, DecisionLoop& decisions,
                    Callbacks callbacks);

  // A response was read, of a call that may not have been the first of its connection. Called before Hold.
  void OnResponse(const UpstreamCall& call, const AttemptOutcome& outcome);
  // Holds an outcome that rests on the order of responses until it is confirmed. The record of the request
  // stays as it is: a process that starts before that has to take the attempt for one that may have run.
  void Hold(const UpstreamCall& call, AcceptedRequest& request, const AttemptOutcome& outcome);
  // The request may be over, so it is not sent again, and may not be over, so that its end is owed.
  void EndUnsent(RequestId request_id);
  // A call has been written, has ended, or has ended without a response.
  void OnCallWritten(const UpstreamCall& call);
  void OnCallEnded(const UpstreamCall& call);
  void OnCallUnanswered(const UpstreamCall& call);

 private:
  void OnConfirmed(const UnconfirmedOutcome& outcome) override;
  void OnDoubted(const JudgedOutcome& judged, DoubtCause cause) override;
  void OnUnmatchedRetryAfter(EndpointId endpoint, Seconds retry_after) override;
  void DoubtRejection(RequestId request_id, int attempt);
  void Reopen(RequestId request_id, AcceptedRequest& request);
  void LogDoubt(const AcceptedRequest& request, const JudgedOutcome& judged, DoubtCause cause);

  net::EventLoop& loop_;
  const Config& config_;
  Counters& counters_;
  EndpointTable& endpoints_;
  RequestTable& requests_;
  DecisionLoop& decisions_;
  const Callbacks callbacks_;
  OutcomeConfirmation confirmation_;
  log::LineLimiter doubt_lines_;
};

}  // namespace opalroute
