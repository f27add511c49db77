// Owns the components of the relay and connects them: events from the sockets go to the decision module, and
// its actions go back to the sockets (docs/architecture.md).
//
//   request listener -> request intake -> decision loop -> upstream calls -> endpoints
//   discovery        -> endpoint table ->
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/admin_server.h"
#include "admin/operations_server.h"
#include "config/config.h"
#include "config/operator_settings.h"
#include "discovery/discovery_client.h"
#include "discovery/merged_endpoint_source.h"
#include "hot_restart/process_lock.h"
#include "ingress/request_listener.h"
#include "journal/ended_requests.h"
#include "journal/journal.h"
#include "journal/persistent_clock.h"
#include "metrics/counters.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/memory_budget.h"
#include "net/timer.h"
#include "notification/failure_notifier.h"
#include "relay/clock_persister.h"
#include "relay/decision_loop.h"
#include "relay/endpoint_suspension.h"
#include "relay/endpoint_table.h"
#include "relay/listener_takeover.h"
#include "relay/membership_host.h"
#include "relay/peer_network.h"
#include "relay/request_ending.h"
#include "relay/request_intake.h"
#include "relay/request_recovery.h"
#include "relay/request_table.h"
#include "relay/retry_after_sharing.h"
#include "relay/route_health_log.h"
#include "relay/state_transfer_host.h"
#include "relay/upstream_calls.h"
#include "state_transfer/state_transfer.h"

namespace opalroute {

class Relay : private DecisionLoop::Owner,
              private EndpointSource::Listener,
              private MembershipHost::Owner,
              private PeerNetwork::Handler,
              private admin::OperationsHandler {
 public:
  // Starts listening, recovers the requests that an earlier process had accepted, and starts watching the
  // endpoint list. `config` must outlive the relay. Throws std::system_error if an address or the state
  // folder can't be used, and std::runtime_error if no process slot is free.
  Relay(net::EventLoop& loop, const Config& config, const OperatorSettings& settings = {});

  // Starts the graceful shutdown: completes the work in flight and calls `on_stopped` when that is done or
  // Limits::shutdown_timeout is over.
  void Stop(std::function<void()> on_stopped);

  // Reads the configuration again and applies the one setting that can change at run time, the address of
  // discovery. If `read` throws, nothing changes.
  void Reload(const std::function<Config()>& read);

  // Null if the component is not configured, or not supported by the platform.
  const state_transfer::StateTransfer* state_transfer() const { return state_transfer_.get(); }
  const admin::OperationsServer* operations_server() const { return operations_server_.get(); }
  const AdminServer* admin() const { return admin_.get(); }

  sockaddr_in address() { return server_.http().address(); }
  const Counters& counters() const { return counters_; }

 private:
  // DecisionLoop::Owner
  void Apply(const std::vector<Action>& actions) override;
  void BeforeBatchEnds() override;
  void AfterBatchEnded() override;
  void OnEvent(const Event& event) override;
  // EndpointSource::Listener
  void OnEndpointList(const EndpointListUpdate& update) override;
  void OnListConfirmed() override;
  void OnWatchFailed() override;
  // MembershipHost::Owner
  void PostMembershipEvent(Event event) override;
  void SendGossipPayload(std::optional<int> peer, const std::string& payload) override;
  // PeerNetwork::Handler
  void OnPeerDatagram(int peer, std::string payload) override;
  void OnPeerUnreachable(int peer) override;
  // admin::OperationsHandler
  bool AcceptsClients() const override { return IsReady(); }
  std::string Metrics() const override;
  admin::CommandResult SetSuspended(const std::string& endpoint, bool suspended) override;

  // Carries out one action of the decision module.
  void Perform(const Send& send);
  void Perform(const Reject& reject);
  void Perform(const Fail& fail);
  void Perform(const CancelAttempt& cancel);
  void Perform(const HealthCheck& check);
  void Perform(const SetTimer& timer);
  void Perform(const WatchEndpointList& watch);
  void Perform(const CloseIdleConnections& close);
  void Perform(const SendGossip& gossip);
  void Perform(const RouteHealthChanged& change);
  void Perform(const Log& line);

  void StartAdminServer();
  void StartOperationsServer();
  void StartStateTransfer();
  void JoinFleet();
  void ApplyCachedList();
  net::HttpResponse OnZoneCommand(const std::string& body);
  std::string EndpointsJson() const;
  std::string ZonesJson() const;

  bool IsReady() const;
  bool IsHotRestart() const { return config_.inherited_fd >= 0; }
  void PollStateFolder();
  void MoveDiscovery(const sockaddr_in& discovery);
  void EndAcceptPeriod();
  void CheckStopped();
  void Shutdown();

  net::EventLoop& loop_;
  const Config& config_;
  const OperatorSettings settings_;
  net::MemoryBudget memory_;
  Counters counters_;
  hot_restart::ProcessLock process_lock_;
  PersistentClock clock_;
  Journal journal_;
  EndedRequests ended_requests_;
  net::HttpClient endpoints_client_;
  net::HttpClient platform_client_;
  EndpointTable endpoints_;
  RequestTable requests_;
  DecisionLoop decisions_;
  UpstreamCalls calls_;
  EndpointSuspension suspension_;
  std::unique_ptr<MergedEndpointSource> merged_source_;  // only if DNS SRV names are configured
  DiscoveryClient discovery_;
  FailureNotifier notifier_;
  RequestEnding ending_;
  RequestRecovery recovery_;
  RequestIntake intake_;
  ListenerTakeover listeners_;
  PeerNetwork peers_;
  StateTransferHost transfer_host_;
  std::optional<ClockPersister> clock_persister_;
  RouteHealthLog route_health_;
  std::unique_ptr<RetryAfterSharing> retry_after_sharing_;  // only with hot restart
  // The next three are null unless the operators' settings enable them.
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<state_transfer::StateTransfer> state_transfer_;
  std::unique_ptr<MembershipHost> membership_;
  std::vector<EndpointId> unused_before_batch_;

  sockaddr_in discovery_address_;
  bool has_list_ = false;         // from discovery, the cached list or another endpoint source
  bool list_is_current_ = false;  // discovery has sent a list since the start
  bool stopping_ = false;
  bool accept_period_over_ = false;  // Limits::shutdown_accept_period has passed since Stop
  std::function<void()> on_stopped_;
  net::Timer stop_timer_;
  net::Timer poll_timer_;

  RequestListener server_;  // declared after the components that handle its requests
  std::unique_ptr<admin::OperationsServer> operations_server_;
};

}  // namespace opalroute
