// The calls and health checks in flight: carries out Send actions and posts the outcomes to the decision
// module.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/config.h"
#include "journal/persistent_clock.h"
#include "log/line_limiter.h"
#include "metrics/counters.h"
#include "net/http_client.h"
#include "relay/decision_loop.h"
#include "relay/endpoint_table.h"
#include "relay/outcome_correction.h"
#include "relay/request_table.h"
#include "upstream/health_check_call.h"
#include "upstream/upstream_call.h"

namespace opalroute {

class UpstreamCalls : private UpstreamCall::Owner {
 public:
  using Callbacks = OutcomeCorrection::Callbacks;

  UpstreamCalls(net::EventLoop& loop, const PersistentClock& clock, net::HttpClient& client,
                const Config& config, Counters& counters, EndpointTable& endpoints, RequestTable& requests,
                DecisionLoop& decisions, Callbacks callbacks);

  // Queues an attempt until Start. Attempts to one endpoint share calls of up to EndpointKind::max_batch
  // requests.
  void Enqueue(const Send& send);
  // Starts calls for all queued attempts.
  void Start();
  void Cancel(const opalroute::CancelAttempt& cancel);
  void StartHealthCheck(EndpointId endpoint);
  // Ends a request without an outcome of its current attempts: an endpoint has served it after the attempt's
  // outcome was decided, or the client has disconnected.
  void EndWithoutOutcome(RequestId request);
  std::size_t in_flight() const { return calls_.size(); }

 private:
  using Batch = std::vector<UpstreamCall::Attempt>;

  bool MaySend(const UpstreamCall& call, const UpstreamCall::Attempt& attempt) override;
  bool RecordAttempt(const UpstreamCall& call, const UpstreamCall::Attempt& attempt) override;
  void OnOutcome(const UpstreamCall& call, const UpstreamCall::Attempt& attempt,
                 const AttemptOutcome& outcome, ResponsePairing pairing) override;
  void OnUnanswered(const UpstreamCall& call) override;
  void OnWritten(const UpstreamCall& call, int requests) override;
  void OnEndedLate(const UpstreamCall& call, const UpstreamCall::Attempt& attempt, Outcome outcome) override;
  void EndReopened(const UpstreamCall::Attempt& attempt, const AttemptOutcome& outcome,
                   ResponsePairing pairing);
  void EndByName(const std::string& client_id, Outcome outcome);
  void OnCallEnded(UpstreamCall& call) override;
  void RecordOutcome(AcceptedRequest& request, const AttemptOutcome& outcome);
  void StartCall(EndpointId endpoint, Batch batch);
  const char* ReasonNotToSend(const UpstreamCall& call, const UpstreamCall::Attempt& attempt,
                              const AcceptedRequest& request) const;
  long& CounterOf(Outcome outcome);
  void LogHeldBack(const UpstreamCall& call, const UpstreamCall::Attempt& attempt);
  void LogOver(const UpstreamCall& call, const AcceptedRequest& request, const AttemptOutcome& outcome,
               ResponsePairing pairing);
  void LogOutcome(const UpstreamCall& call, const AcceptedRequest& request,
                  const AttemptOutcome& outcome) const;
  void LogSendDecision(const char* event, const UpstreamCall& call, const UpstreamCall::Attempt& attempt,
                       const char* why) const;

  net::EventLoop& loop_;
  const PersistentClock& clock_;
  net::HttpClient& client_;
  const Config& config_;
  Counters& counters_;
  EndpointTable& endpoints_;
  RequestTable& requests_;
  DecisionLoop& decisions_;
  const Callbacks callbacks_;
  OutcomeCorrection correction_;
  log::LineLimiter held_back_lines_;
  log::LineLimiter over_lines_;
  std::map<EndpointId, std::vector<Batch>> queued_;
  std::unordered_map<UpstreamCall*, std::unique_ptr<UpstreamCall>> calls_;
  std::map<std::pair<RequestId, int>, UpstreamCall*> attempts_;
  std::unordered_map<HealthCheckCall*, std::unique_ptr<HealthCheckCall>> health_checks_;
};

}  // namespace opalroute
