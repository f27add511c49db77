// The relay: the transaction table round the decision module. Turns what happens on the sockets into the
// module's events and its actions into calls, notices and records; decides nothing itself.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/config.h"
#include "journal/journal.h"
#include "net/datagram.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "opalroute/rules.h"
#include "pool/discovery.h"
#include "relay/counters.h"
#include "relay/notices.h"
#include "relay/server_flow.h"
#include "relay/virtual_server.h"

namespace opalroute {

class Relay : private Transactions, private ServerFlow::Owner, private PoolSource::Listener {
 public:
  Relay(net::EventLoop& loop, const Config& config);
  ~Relay() override;

  // Finishes what is out and takes nothing more on; `stopped` follows when that is done or time is up.
  void Stop(std::function<void()> stopped);

  // Takes over from a configuration read anew what can change while it runs: where discovery is. If `read`
  // throws, all stays as it was.
  void Reload(const std::function<Config()>& read);

  sockaddr_in address() { return server_.http().address(); }
  const Counters& counters() const { return counters_; }

 private:
  struct Transaction {
    std::string id, key, body;
    DestinationId destination = 0;
    Seconds deadline = 0;
    int out = 0;                 // attempts without an outcome
    std::vector<int> journaled;  // by attempt: its number in the journal, or -1
    int records = 0;             // attempts in the journal
    bool over = false;
  };
  struct Endpoint {
    std::string id;
    int zone = 0, kind = 0;
    sockaddr_in address{};
    DestinationId destination = 0;
    bool listed = false;
    int users = 0;  // flows and probes
  };
  using Batch = std::vector<ServerFlow::Member>;

  // Transactions
  TakeOn Take(ClientRequest&& request, std::uint64_t& ticket) override;
  void Withdraw(std::uint64_t ticket) override;
  bool Ready() const override { return ready_ && !stopping_; }
  // ServerFlow::Owner
  bool MayLeave(const ServerFlow& flow, const ServerFlow::Member& member) override;
  void OnOutcome(const ServerFlow& flow, const ServerFlow::Member& member,
                 const AttemptOutcome& outcome) override;
  void OnServedLate(MessageId message) override;
  void OnFlowOver(ServerFlow& flow) override;
  // PoolSource::Listener
  void OnPoolNews(const PoolNews& news) override;
  void OnPoolFailed() override;

  void TellPool(const PoolNews& news, ListScope scope);
  void Restore();
  void RestoreOne(const JournalEntry& entry);

  // The module's events wait in a line: an action may bring about the next before it is done.
  void Post(Event event);
  void ArmTurn();
  void Apply(const std::vector<Action>& actions);
  void ApplySend(const Send& send, std::map<EndpointId, std::vector<Batch>>& calls);
  void StartFlow(EndpointId endpoint, Batch members);
  void StartProbe(EndpointId endpoint);
  void EndWithNotice(MessageId message, const char* outcome, Seconds wait);
  void TellPeers(const TellPeers& tell);
  void ForgetIfDone(MessageId message);
  void CheckStopped();
  EndpointId Intern(const std::string& id);
  void Unlist(EndpointId id);
  void ForgetEndpoints(const std::vector<EndpointId>& unused);
  std::vector<EndpointId> UnusedEndpoints() const;

  net::EventLoop& loop_;
  const Config& config_;
  Counters counters_;
  Journal journal_;
  Courier courier_;
  net::HttpClient endpoints_client_, platform_client_;
  Discovery discovery_;
  Notices notices_;
  std::unique_ptr<net::DatagramSocket> peers_;

  std::unordered_map<std::string, EndpointId> endpoint_ids_;
  std::unordered_map<EndpointId, Endpoint> endpoints_;
  EndpointId last_endpoint_ = 0;
  std::set<EndpointId> unlisted_;  // not forgotten yet: calls may be out there, and the module may know them
  struct Served {
    int endpoints = 0;    // listed
    Seconds left_at = 0;  // the last one of them
  };
  std::map<DestinationId, Served> destinations_;
  sockaddr_in discovery_at_;
  bool list_is_current_ = false;

  MessageId last_message_ = 0;
  std::map<MessageId, Transaction> transactions_;
  std::unordered_map<std::string, MessageId> messages_;
  int open_ = 0;  // transactions that are not over
  std::unordered_map<ServerFlow*, std::unique_ptr<ServerFlow>> flows_;
  std::map<std::pair<MessageId, int>, ServerFlow*> attempts_;
  std::unordered_map<Probing*, std::unique_ptr<Probing>> probes_;

  std::deque<Event> events_;
  bool pumping_ = false;
  net::EventLoop::TimerId turn_ = 0;
  std::set<net::EventLoop::TimerId> wakes_;

  bool ready_ = false, stopping_ = false, taking_on_ = true;
  std::function<void()> stopped_;
  net::EventLoop::TimerId stop_timer_ = 0;

  VirtualServer server_;  // last: it lets clients in
};

}  // namespace opalroute
