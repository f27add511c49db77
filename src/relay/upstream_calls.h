// What is out at endpoints: server-side flows and probes, and their outcomes on the way to the module.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/config.h"
#include "journal/persistent_clock.h"
#include "metrics/counters.h"
#include "net/http_client.h"
#include "relay/decision_loop.h"
#include "relay/endpoint_table.h"
#include "relay/request_table.h"
#include "upstream/upstream_call.h"

namespace opalroute {

class UpstreamCalls : private UpstreamCall::Owner {
 public:
  // `on_flow_over` is called when one flow fewer is out, `on_wait` when an endpoint has told one.
  UpstreamCalls(net::EventLoop& loop, const PersistentClock& clock, net::HttpClient& client,
                const Config& config, Counters& counters, EndpointTable& endpoints,
                RequestTable& transactions, DecisionLoop& driver, std::function<void()> on_flow_over,
                std::function<void(EndpointId, Seconds)> on_wait);

  // Sends of one turn to one endpoint share calls, as far as its kind allows: Start sends what was gathered.
  void Enqueue(const Send& send);
  void Start();
  void Cancel(const opalroute::CancelAttempt& cancel);
  void StartHealthCheck(EndpointId endpoint);
  // Ends it without an outcome of its own: delivered by a call that had been given up, or withdrawn.
  void EndWithoutOutcome(RequestId message);
  std::size_t out() const { return calls_.size(); }

 private:
  using Batch = std::vector<UpstreamCall::Member>;

  bool MaySend(const UpstreamCall& flow, const UpstreamCall::Member& member) override;
  bool RecordAttempt(const UpstreamCall& flow, const UpstreamCall::Member& member) override;
  void OnOutcome(const UpstreamCall& flow, const UpstreamCall::Member& member,
                 const AttemptOutcome& outcome) override;
  void OnWritten(int messages) override { counters_.upstream_tries += messages; }
  void OnServedLate(RequestId message) override;
  void OnCallEnded(UpstreamCall& flow) override;
  void StartCall(EndpointId endpoint, Batch members);
  const char* WhyNotSend(const UpstreamCall& flow, const UpstreamCall::Member& member,
                         const AcceptedRequest& t) const;
  void Count(Outcome outcome);
  void LogChoice(const char* event, const UpstreamCall& flow, const UpstreamCall::Member& member,
                 const char* why) const;

  net::EventLoop& loop_;
  const PersistentClock& clock_;
  net::HttpClient& client_;
  const Config& config_;
  Counters& counters_;
  EndpointTable& endpoints_;
  RequestTable& transactions_;
  DecisionLoop& driver_;
  std::function<void()> on_call_ended_;
  std::function<void(EndpointId, Seconds)> on_retry_after_;
  std::map<EndpointId, std::vector<Batch>> queued_;
  std::unordered_map<UpstreamCall*, std::unique_ptr<UpstreamCall>> calls_;
  std::map<std::pair<RequestId, int>, UpstreamCall*> attempts_;
  std::unordered_map<HealthCheckCall*, std::unique_ptr<HealthCheckCall>> health_checks_;
};

}  // namespace opalroute
