// The relay: its parts put together. Turns what happens on the sockets into the decision module's events and
// its actions into calls, notices and records; decides nothing itself.
//
//   virtual server -> transaction table -> module driver -> calls -> endpoints
//   discovery      -> endpoint table    ->
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "config/config.h"
#include "config/operator.h"
#include "journal/journal.h"
#include "journal/persistent_clock.h"
#include "net/datagram.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "operation/bans.h"
#include "operation/door.h"
#include "operation/seats.h"
#include "operation/shared_waits.h"
#include "pool/discovery.h"
#include "pool/joined_pool.h"
#include "relay/admin.h"
#include "relay/calls.h"
#include "relay/counters.h"
#include "relay/endpoint_table.h"
#include "relay/learning_host.h"
#include "relay/module_driver.h"
#include "relay/notices.h"
#include "relay/tier_host.h"
#include "relay/transaction_table.h"
#include "relay/virtual_server.h"
#include "relay/zone_orders.h"

namespace opalroute {

class Relay : private Transactions,
              private ModuleDriver::Owner,
              private PoolSource::Listener,
              private TierHost::Owner,
              private operation::Operated {
 public:
  Relay(net::EventLoop& loop, const Config& config, const Operator& settings = {});
  ~Relay() override;

  // Finishes what is out and takes nothing more on; `stopped` follows when that is done or time is up.
  void Stop(std::function<void()> stopped);

  // Takes over from a configuration read anew what can change while it runs: where discovery is. If `read`
  // throws, all stays as it was.
  void Reload(const std::function<Config()>& read);

  const learning::Learning* learning() const { return learning_.get(); }
  const operation::Door* door() const { return door_.get(); }
  const Admin* admin() const { return admin_.get(); }
  sockaddr_in address() { return server_.http().address(); }
  const Counters& counters() const { return counters_; }

 private:
  // Transactions
  TakeOn Take(ClientRequest&& request, std::uint64_t& ticket) override;
  void Withdraw(std::uint64_t ticket) override;
  bool Ready() const override {
    return ready_ && !stopping_ && (!learning_ || learning_->done()) && (!tier_ || tier_->Joined());
  }
  // ModuleDriver::Owner
  void Apply(const std::vector<Action>& actions) override;
  void BeforeTurnEnds() override;
  void AfterTurnEnded() override;
  void OnEvent(const Event& event) override {
    if (tier_) tier_->Saw(event);
  }
  // TierHost::Owner
  void PostTier(Event event) override { driver_.Post(std::move(event)); }
  void SendNote(std::optional<int> peer, const std::string& bytes) override { TellPeers({peer, bytes}); }
  // PoolSource::Listener
  void OnPoolNews(const PoolNews& news) override;
  void OnPoolConfirmed() override { driver_.Post(ListConfirmed{}); }
  void OnPoolFailed() override;
  // operation::Operated
  bool TakesClients() const override { return Ready(); }
  std::string Figures() const override;
  operation::Told SetBan(const std::string& endpoint, bool banned) override;

  void HeedBans();
  void ShareWait(EndpointId endpoint, Seconds wait);
  void HeedSharedWaits();
  void KeepClock();
  void PollState();
  void ListenToPeers();
  void TakeNote(int peer, std::string bytes);
  void TellPeers(const TellPeers& tell);
  void Restore();
  std::vector<std::uint64_t> TakeOver();
  void GoOnForOther();
  std::size_t JournalBytes() const;
  void RestoreOne(const JournalEntry& entry);
  void EndWithNotice(MessageId message, const char* outcome, Seconds wait);
  void CheckStopped();
  void End();
  void JoinTier();
  net::HttpAnswer OrderZone(const std::string& body);           // POST /zones
  std::optional<int> PeerAt(const sockaddr_in& address) const;  // its number among them

  net::EventLoop& loop_;
  const Config& config_;
  const Operator settings_;
  Counters counters_;
  operation::Seats seats_;
  PersistentClock clock_;
  Journal journal_;
  net::HttpClient endpoints_client_, platform_client_;
  EndpointTable endpoints_;
  TransactionTable transactions_;
  ModuleDriver driver_;
  Calls calls_;
  operation::Bans bans_;
  std::unique_ptr<operation::SharedWaits> waits_;  // where two processes may run at once
  std::unique_ptr<Admin> admin_;                   // off unless the operators' settings say where
  std::unique_ptr<JoinedPool> joined_;             // where the list is not the only source
  Discovery discovery_;
  Notices notices_;
  std::unique_ptr<net::DatagramSocket> peers_;
  std::unordered_map<std::uint64_t, int> peer_by_address_;
  LearningHost learning_host_;
  std::unique_ptr<learning::Learning> learning_;
  std::unique_ptr<TierHost> tier_;  // off unless the operators' settings turn it on
  std::vector<EndpointId> unused_;  // as the turn began to end

  sockaddr_in discovery_at_;
  bool list_is_current_ = false;
  bool ready_ = false, stopping_ = false, taking_on_ = true, may_end_ = false;
  bool peers_later_ = false;  // the other process has their address still
  std::function<void()> stopped_;
  net::EventLoop::TimerId stop_timer_ = 0, poll_timer_ = 0, clock_timer_ = 0;

  VirtualServer server_;  // late: it lets clients in
  std::unique_ptr<operation::Door> door_;
};

}  // namespace opalroute
