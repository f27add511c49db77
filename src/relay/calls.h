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
#include "net/http_client.h"
#include "relay/counters.h"
#include "relay/endpoint_table.h"
#include "relay/module_driver.h"
#include "relay/server_flow.h"
#include "relay/transaction_table.h"

namespace opalroute {

class Calls : private ServerFlow::Owner {
 public:
  // `on_flow_over` is called when one flow fewer is out, `on_wait` when an endpoint has told one.
  Calls(net::EventLoop& loop, const PersistentClock& clock, net::HttpClient& client, const Config& config,
        Counters& counters, EndpointTable& endpoints, TransactionTable& transactions, ModuleDriver& driver,
        std::function<void()> on_flow_over, std::function<void(EndpointId, Seconds)> on_wait);

  // Sends of one turn to one endpoint share calls, as far as its kind allows: Start sends what was gathered.
  void Gather(const Send& send);
  void Start();
  void Cancel(const opalroute::Cancel& cancel);
  void StartProbe(EndpointId endpoint);
  // Ends it without an outcome of its own: delivered by a call that had been given up, or withdrawn.
  void EndUnasked(MessageId message);
  std::size_t out() const { return flows_.size(); }

 private:
  using Batch = std::vector<ServerFlow::Member>;

  bool MayLeave(const ServerFlow& flow, const ServerFlow::Member& member) override;
  bool RecordAttempt(const ServerFlow& flow, const ServerFlow::Member& member) override;
  void OnOutcome(const ServerFlow& flow, const ServerFlow::Member& member,
                 const AttemptOutcome& outcome) override;
  void OnWritten(int messages) override { counters_.upstream_tries += messages; }
  void OnServedLate(MessageId message) override;
  void OnFlowOver(ServerFlow& flow) override;
  void StartFlow(EndpointId endpoint, Batch members);
  const char* WhyNotLeave(const ServerFlow& flow, const ServerFlow::Member& member,
                          const Transaction& t) const;
  void Count(Outcome outcome);
  void LogChoice(const char* event, const ServerFlow& flow, const ServerFlow::Member& member,
                 const char* why) const;

  net::EventLoop& loop_;
  const PersistentClock& clock_;
  net::HttpClient& client_;
  const Config& config_;
  Counters& counters_;
  EndpointTable& endpoints_;
  TransactionTable& transactions_;
  ModuleDriver& driver_;
  std::function<void()> on_flow_over_;
  std::function<void(EndpointId, Seconds)> on_wait_;
  std::map<EndpointId, std::vector<Batch>> gathered_;
  std::unordered_map<ServerFlow*, std::unique_ptr<ServerFlow>> flows_;
  std::map<std::pair<MessageId, int>, ServerFlow*> attempts_;
  std::unordered_map<Probing*, std::unique_ptr<Probing>> probes_;
};

}  // namespace opalroute
