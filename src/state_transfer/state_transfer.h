// Learning from running instances: the one place at which it is attached to a relay. Brings the carriers
// (TCP, datagrams, the state folder), the judge and the relay's host together. Off unless the operators'
// settings say so.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "config/operator.h"
#include "journal/persistent_clock.h"
#include "state_transfer/datagram_exchange.h"
#include "state_transfer/snapshot_client.h"
#include "state_transfer/snapshot_file.h"
#include "state_transfer/snapshot_merger.h"
#include "state_transfer/snapshot_server.h"

namespace opalroute::state_transfer {

// What learning needs of the relay round it.
class Host {
 public:
  virtual ~Host() = default;
  virtual std::vector<RouteState> ExportRouteStates(std::optional<DestinationId>& from, int most) const = 0;
  virtual std::string NameOf(EndpointId endpoint) const = 0;
  // Only what the pool's list has named: hearing of an endpoint from others is not enough.
  virtual std::optional<EndpointId> ListedEndpoint(const std::string& name) const = 0;
  virtual bool ListedDestination(DestinationId destination) const = 0;
  virtual void ApplyState(TransferredState learned) = 0;
  virtual void SendDatagram(int peer, const std::string& bytes) = 0;
};

class StateTransfer : private SnapshotClient::Owner {
 public:
  StateTransfer(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                const Operator::Learn& settings, Host& host);
  ~StateTransfer() override;

  bool done() const { return client_ == nullptr; }  // the relay may be put to use
  std::optional<sockaddr_in> snapshot_address() const;
  // False: it is not learning's.
  bool OnDatagram(int peer, std::string_view bytes);
  void OnEndpointList();  // the list may name now what was told before

 private:
  void OnRouteState(int donor, const NamedRouteState& heard, Seconds made) override;
  void OnSnapshotsEnded(const std::vector<SnapshotClient::Report>& reports) override;

  void LoadState();
  void ArmSave();
  void Save();
  void OnAnswer(int peer, const Datagram& note);
  // Gives the relay what counts of the judge's; what it does not know yet waits.
  void Apply(SnapshotMerger& judge, const char* carrier);
  bool ApplyOne(const NamedRouteState& heard, TransferredState& learned) const;
  std::vector<NamedRouteState> Export(std::optional<DestinationId>& from, int most) const;
  MergeOptions MergeOptionsOf() const;

  struct Pending {
    NamedRouteState route;
    Seconds made;
  };

  net::EventLoop& loop_;
  const PersistentClock& clock_;
  const Config& config_;
  const Operator::Learn settings_;
  Host& host_;
  const RouteStateSource source_;
  std::unique_ptr<SnapshotMerger> merger_;
  std::unique_ptr<SnapshotClient> client_;
  std::unique_ptr<SnapshotServer> server_;
  std::unique_ptr<DatagramExchange> datagrams_;
  std::unique_ptr<SnapshotFile> file_;
  std::vector<Pending> pending_;
  Seconds pending_until_ = 0;
  std::vector<NamedRouteState> exported_;  // for the file
  std::unique_ptr<SnapshotSlices> exporting_;
  bool file_has_routes_ = false;
  struct Requester {
    int peer;
    std::uint32_t nonce;
  };
  std::deque<Requester> requesters_;
  std::vector<NamedRouteState> urgent_;
  std::unique_ptr<SnapshotSlices> answering_;
  net::EventLoop::TimerId save_timer_ = 0;
};

}  // namespace opalroute::state_transfer
