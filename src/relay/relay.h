// The relay: its parts put together. Turns what happens on the sockets into the decision module's events and
// its actions into calls, notices and records; decides nothing itself.
//
//   virtual server -> transaction table -> module driver -> calls -> endpoints
//   discovery      -> endpoint table    ->
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "admin/admin_server.h"
#include "admin/operations_server.h"
#include "admin/suspended_endpoints.h"
#include "admin/zone_command.h"
#include "config/config.h"
#include "config/operator.h"
#include "discovery/discovery.h"
#include "discovery/merged_endpoint_source.h"
#include "hot_restart/process_lock.h"
#include "hot_restart/shared_retry_after.h"
#include "ingress/request_listener.h"
#include "journal/journal.h"
#include "journal/persistent_clock.h"
#include "metrics/counters.h"
#include "net/datagram.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "notification/failure_notifier.h"
#include "relay/decision_loop.h"
#include "relay/endpoint_table.h"
#include "relay/membership_host.h"
#include "relay/request_table.h"
#include "relay/state_transfer_host.h"
#include "relay/upstream_calls.h"

namespace opalroute {

class Relay : private RequestHandler,
              private DecisionLoop::Owner,
              private EndpointSource::Listener,
              private MembershipHost::Owner,
              private admin::OperationsHandler {
 public:
  Relay(net::EventLoop& loop, const Config& config, const Operator& settings = {});
  ~Relay() override;

  // Finishes what is out and takes nothing more on; `stopped` follows when that is done or time is up.
  void Stop(std::function<void()> stopped);

  // Takes over from a configuration read anew what can change while it runs: where discovery is. If `read`
  // throws, all stays as it was.
  void Reload(const std::function<Config()>& read);

  const state_transfer::StateTransfer* state_transfer() const { return state_transfer_.get(); }
  const admin::OperationsServer* operations_server() const { return operations_server_.get(); }
  const AdminServer* admin() const { return admin_.get(); }
  sockaddr_in address() { return server_.http().address(); }
  const Counters& counters() const { return counters_; }

 private:
  // Transactions
  AcceptResult Accept(ClientRequest&& request, std::uint64_t& ticket) override;
  void Abort(std::uint64_t ticket) override;
  bool Ready() const override {
    return ready_ && !stopping_ && (!state_transfer_ || state_transfer_->done()) &&
           (!membership_ || membership_->Joined());
  }
  // ModuleDriver::Owner
  void Apply(const std::vector<Action>& actions) override;
  void BeforeBatchEnds() override;
  void AfterBatchEnded() override;
  void OnEvent(const Event& event) override {
    if (membership_) membership_->OnEvent(event);
  }
  // TierHost::Owner
  void PostMembershipEvent(Event event) override { decisions_.Post(std::move(event)); }
  void SendGossipPayload(std::optional<int> peer, const std::string& bytes) override {
    SendGossip({peer, bytes});
  }
  // PoolSource::Listener
  void OnEndpointList(const EndpointListUpdate& news) override;
  void OnListConfirmed() override { decisions_.Post(ListConfirmed{}); }
  void OnWatchFailed() override;
  // operation::Operated
  bool AcceptsClients() const override { return Ready(); }
  std::string Metrics() const override;
  admin::CommandResult SetSuspended(const std::string& endpoint, bool banned) override;

  void ApplySuspensions();
  void ShareRetryAfter(EndpointId endpoint, Seconds wait);
  void ApplySharedRetryAfter();
  void PersistClock();
  void PollState();
  void ListenToPeers();
  void OnGossip(int peer, std::string bytes);
  void SendGossip(const SendGossip& tell);
  void RecoverRequests();
  std::vector<std::uint64_t> AdoptOtherJournal();
  void ResumeOtherProcess();
  std::size_t JournalBytes() const;
  void RecoverRequest(const JournalEntry& entry);
  void EndWithNotification(RequestId message, const char* outcome, Seconds wait);
  void CheckStopped();
  void End();
  void JoinFleet();
  net::HttpAnswer OnZoneCommand(const std::string& body);       // POST /zones
  std::optional<int> PeerAt(const sockaddr_in& address) const;  // its number among them

  net::EventLoop& loop_;
  const Config& config_;
  const Operator settings_;
  Counters counters_;
  hot_restart::ProcessLock process_lock_;
  PersistentClock clock_;
  Journal journal_;
  net::HttpClient endpoints_client_, platform_client_;
  EndpointTable endpoints_;
  RequestTable requests_;
  DecisionLoop decisions_;
  UpstreamCalls calls_;
  admin::SuspendedEndpoints suspended_;
  std::unique_ptr<hot_restart::SharedRetryAfterTable>
      shared_retry_after_;                               // where two processes may run at once
  std::unique_ptr<AdminServer> admin_;                   // off unless the operators' settings say where
  std::unique_ptr<MergedEndpointSource> merged_source_;  // where the list is not the only source
  Discovery discovery_;
  FailureNotifier notifier_;
  std::unique_ptr<net::DatagramSocket> peers_;
  std::unordered_map<std::uint64_t, int> peer_by_address_;
  StateTransferHost transfer_host_;
  std::unique_ptr<state_transfer::StateTransfer> state_transfer_;
  std::unique_ptr<MembershipHost> membership_;   // off unless the operators' settings turn it on
  std::vector<EndpointId> unused_before_batch_;  // as the turn began to end

  sockaddr_in discovery_at_;
  bool list_is_current_ = false;
  bool ready_ = false, stopping_ = false, accepting_ = true, may_end_ = false;
  bool peer_address_taken_ = false;  // the other process has their address still
  std::function<void()> stopped_;
  net::EventLoop::TimerId stop_timer_ = 0, poll_timer_ = 0, clock_timer_ = 0;

  RequestListener server_;  // late: it lets clients in
  std::unique_ptr<admin::OperationsServer> operations_server_;
};

}  // namespace opalroute
