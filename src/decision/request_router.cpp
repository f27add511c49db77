// Connects the parts of the decision library and passes each event to the parts that handle it.
#include "opalroute/request_router.h"

#include <algorithm>

#include "decision/attempt_outcome_handler.h"
#include "decision/call_pacer.h"
#include "decision/call_sender.h"
#include "decision/call_table.h"
#include "decision/context.h"
#include "decision/dispatcher.h"
#include "decision/endpoint_health.h"
#include "decision/endpoint_list_lease.h"
#include "decision/endpoint_table.h"
#include "decision/gossip_receiver.h"
#include "decision/gossip_sender.h"
#include "decision/health_check.h"
#include "decision/idle_connections.h"
#include "decision/latency_estimator.h"
#include "decision/recovery_budget.h"
#include "decision/request_lifecycle.h"
#include "decision/request_queue.h"
#include "decision/request_table.h"
#include "decision/retry_policy.h"
#include "decision/route_health_recovery.h"
#include "decision/route_health_reporter.h"
#include "decision/state_transfer.h"
#include "decision/wake_timer.h"
#include "decision/zone_traffic.h"

namespace opalroute {
namespace decision {
namespace {

// Owns all parts of the decision library and passes events to them.
class RouterImpl {
 public:
  explicit RouterImpl(const Settings& settings) : context_(settings), list_lease_(settings) {}

  void Handle(Seconds now, const Event& event, std::vector<Action>& actions) {
    context_.now = now;
    context_.actions = &actions;
    std::visit([this](const auto& concrete) { Handle(concrete); }, event);
  }

  bool MaySend(Seconds now, EndpointId id) const {
    const Endpoint* endpoint = table_.FindEndpoint(id);
    return endpoint != nullptr && endpoint->IsInService() &&
           endpoint->route->rate_limiter.retry_after_until() <= now;
  }

  bool MaySendAttempt(Seconds now, RequestId id, int attempt) const {
    const Request* request = requests_.Find(id);
    if (request == nullptr || attempt < 0) return false;
    const auto index = static_cast<std::size_t>(attempt);
    return index < request->attempts.size() && MaySend(now, request->attempts[index].location.endpoint) &&
           retry_policy_.MayStillSend(*request, index, now);
  }

  const EndpointTable& table() const { return table_; }

 private:
  // ---- the endpoint list ---------------------------------------------------------------------------

  void Handle(const ListUpdate& update) {
    if (update.from_discovery) list_lease_.OnListUpdate(update.scope, context_.now);
    if (update.scope == ListScope::kCached) CheckListLease();
    table_.Apply(update);
  }

  void Handle(const ListConfirmed&) { list_lease_.Confirm(context_.now); }

  void Handle(const DiscoveryMoved&) {
    list_lease_.OnDiscoveryMoved(context_.now);
    CheckListLease();
  }

  void CheckListLease() {
    if (list_lease_.TakeDueRenewal(context_.now)) context_.Emit(WatchEndpointList{true});
    const auto expired = list_lease_.TakeExpiryChange(context_.now);
    if (!expired) return;
    context_.Emit(Log{*expired ? "endpoint list not confirmed in time; continuing with the last known list"
                               : "endpoint list is current again"});
  }

  // ---- requests and attempts -----------------------------------------------------------------------

  void Handle(const NewRequest& request) { lifecycle_.Receive(request); }
  void Handle(const RecoveredRouteHealth& recovered) { route_health_recovery_.Apply(recovered); }
  void Handle(const RecoveredRequest& request) { lifecycle_.Recover(request); }
  void Handle(const RequestAborted& aborted) { lifecycle_.Abort(aborted.request_id); }
  void Handle(const ResponseStarted& started) { lifecycle_.OnResponseStarted(started.request_id); }
  void Handle(const AttemptOutcome& outcome) { outcomes_.Handle(outcome); }
  void Handle(const AttemptClosed& closed) { lifecycle_.OnAttemptClosed(closed); }
  void Handle(const AttemptMayHaveRun& doubt) { lifecycle_.OnAttemptMayHaveRun(doubt); }
  void Handle(const HealthCheckOutcome& outcome) { health_checker_.OnOutcome(outcome); }

  // ---- other relays --------------------------------------------------------------------------------

  void Handle(const GossipReceived& received) { gossip_receiver_.Handle(received); }
  void Handle(const TransferredState& transferred) { state_merger_.Merge(transferred); }
  void Handle(const FleetSize& size) { context_.share_count = std::max(1.0, size.share_count); }

  void Handle(const ZoneTrafficShare& share) {
    const bool was_evacuated = zones_.SetShare(share) <= 0;
    const bool is_evacuated = share.traffic_share <= 0;
    for (auto& [id, endpoint] : table_.endpoints()) {
      if (endpoint.zone != share.zone) continue;
      if (share.is_health_check_relay) health_.OpenCircuit(endpoint, false);
      if (is_evacuated) idle_connections_.CloseAtBatchEnd(id);
      if (was_evacuated && !is_evacuated && endpoint.HasOwnRoute()) RestoreTraffic(endpoint);
    }
  }

  // All relays return to the zone at the same time, so a route that was not called in the meantime starts
  // slowly.
  void RestoreTraffic(Endpoint& endpoint) {
    health_.StartSlowStart(endpoint, true, RouteHealthCause::kZone);
    endpoint.circuit.HalfOpenIfOpen();
  }

  // ---- time ----------------------------------------------------------------------------------------

  void Handle(const TimerFired& fired) { timer_.OnFired(fired); }
  void Handle(const ShutdownStarted& shutdown) { dispatcher_.ShutDownAt(context_.now + shutdown.time_left); }

  void Handle(const BatchEnd&) {
    CheckListLease();
    lifecycle_.OnBatchEnd();
    Seconds next_due = dispatcher_.Dispatch();
    next_due = std::min(next_due, health_checker_.OnBatchEnd());
    idle_connections_.OnBatchEnd();
    next_due = std::min({next_due, list_lease_.next_renewal(), lifecycle_.NextDue()});
    timer_.Arm(next_due, context_);
  }

  DecisionContext context_;
  RecoveryBudget budget_{context_};
  EndpointTable table_{context_, budget_};
  LatencyEstimator latency_{context_, table_};
  ZoneTraffic zones_{context_};
  GossipSender gossip_sender_{context_, table_};
  RouteHealthReporter reporter_{context_, budget_};
  EndpointHealth health_{context_, table_, budget_, latency_, gossip_sender_, reporter_};
  CallPacer pacer_{context_, health_, budget_, zones_};
  HealthChecker health_checker_{context_, table_, health_, pacer_, zones_};
  IdleConnections idle_connections_{context_, table_, zones_};
  GossipReceiver gossip_receiver_{context_, table_, health_, idle_connections_};
  StateMerger state_merger_{context_, table_, health_, budget_, latency_, reporter_};
  RouteHealthRecovery route_health_recovery_{context_, table_, pacer_, budget_, reporter_};
  RequestTable requests_;
  RequestQueue queue_{context_, table_, latency_};
  RetryPolicy retry_policy_{context_, table_, latency_};
  RequestLifecycle lifecycle_{context_, table_, requests_, queue_, retry_policy_};
  CallTable calls_{context_, table_, requests_, latency_};
  CallSender call_sender_{context_, requests_, queue_, lifecycle_, calls_, pacer_, health_};
  Dispatcher dispatcher_{context_, queue_, latency_, zones_, health_, pacer_, calls_, call_sender_};
  AttemptOutcomeHandler outcomes_{context_, table_,         requests_,         calls_,    latency_,
                                  health_,  gossip_sender_, idle_connections_, lifecycle_};
  EndpointListLease list_lease_;
  WakeTimer timer_;
};

}  // namespace
}  // namespace decision

class RequestRouter::Impl : public decision::RouterImpl {
 public:
  using RouterImpl::RouterImpl;
};

RequestRouter::RequestRouter(const Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
RequestRouter::~RequestRouter() = default;
RequestRouter::RequestRouter(RequestRouter&&) noexcept = default;
RequestRouter& RequestRouter::operator=(RequestRouter&&) noexcept = default;

void RequestRouter::Handle(Seconds now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

bool RequestRouter::MaySend(Seconds now, EndpointId endpoint) const { return impl_->MaySend(now, endpoint); }

bool RequestRouter::MaySendAttempt(Seconds now, RequestId request, int attempt) const {
  return impl_->MaySendAttempt(now, request, attempt);
}

std::vector<RouteState> RequestRouter::ExportRouteStates(Seconds now, std::optional<DestinationId>& from,
                                                         int max_destinations) const {
  return decision::ExportRouteStates(impl_->table(), now, from, max_destinations);
}

}  // namespace opalroute
