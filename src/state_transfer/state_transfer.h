// State transfer: a relay that starts takes over the state of upstream routes from running relays and from
// its own earlier process. Connects a relay with the merger and with the carriers of state: TCP,
// datagrams and the state folder. Disabled unless the operator settings enable it.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "config/operator_settings.h"
#include "journal/persistent_clock.h"
#include "net/timer.h"
#include "state_transfer/datagram_exchange.h"
#include "state_transfer/snapshot_client.h"
#include "state_transfer/snapshot_file.h"
#include "state_transfer/snapshot_merger.h"
#include "state_transfer/snapshot_server.h"

namespace opalroute::state_transfer {

// What state transfer needs from its relay.
class Host {
 public:
  virtual ~Host() = default;
  // Returns the states of up to `max_destinations` destinations starting at `from`. Sets `from` to the start
  // of the next slice, or to nullopt at the end.
  virtual std::vector<RouteState> ExportRouteStates(std::optional<DestinationId>& from,
                                                    int max_destinations) const = 0;
  // Returns the endpoint's id in the endpoint list.
  virtual std::string EndpointName(EndpointId endpoint) const = 0;
  // These find only what the endpoint list contains. State from another relay never adds an endpoint or a
  // destination.
  virtual std::optional<EndpointId> FindListedEndpoint(const std::string& name) const = 0;
  virtual bool IsDestinationListed(DestinationId destination) const = 0;
  virtual void ApplyState(TransferredState state) = 0;
  virtual void SendDatagram(int peer, const std::string& bytes) = 0;
};

class StateTransfer : private SnapshotClient::Owner {
 public:
  // Applies the saved state and sends requests to other relays. All references must outlive this object.
  StateTransfer(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                const OperatorSettings::StateTransfer& settings, Host& host);
  ~StateTransfer() override;

  // Whether all TCP transfers have ended or the timeout has passed, so that the relay may become ready.
  bool done() const { return client_ == nullptr; }
  // Serves snapshots on the address from the settings, which must be set, until StopServing. Throws
  // std::system_error if it can't listen.
  void Serve();
  void StopServing();
  // The address on which this relay serves snapshots, if it does.
  std::optional<sockaddr_in> snapshot_address() const;
  // Returns false if the datagram does not belong to state transfer.
  bool OnDatagram(int peer, std::string_view bytes);
  // To be called when the endpoint list has changed: it may now contain endpoints of pending states.
  void OnEndpointList();

 private:
  struct Pending {
    NamedRouteState route;
    Seconds since = 0;  // the time that the ages in `route` refer to
  };
  struct Requester {
    int peer = 0;
    std::uint32_t nonce = 0;
  };

  void OnRouteState(int server, const NamedRouteState& route, Seconds observed_at) override;
  void OnSnapshotsEnded(const std::vector<SnapshotClient::Report>& reports) override;

  void StartFile();
  void StartDatagrams();
  void StartClient();
  void LoadState();
  void ScheduleSave();
  void ExportForSave();
  void Save();
  void OnRequest(const Requester& requester);
  void AnswerRequesters();
  void OnAnswer(int peer, const Datagram& answer);
  void Apply(SnapshotMerger& merger, const char* carrier);
  bool Resolve(const NamedRouteState& route, TransferredState& state) const;
  std::vector<NamedRouteState> Export(std::optional<DestinationId>& from, int max_destinations) const;
  MergeOptions MakeMergeOptions() const;

  net::EventLoop& loop_;
  const PersistentClock& clock_;
  const Config& config_;
  const OperatorSettings::StateTransfer settings_;
  Host& host_;
  const RouteStateSource source_;

  std::unique_ptr<SnapshotMerger> merger_;  // for what client_ receives
  std::unique_ptr<SnapshotClient> client_;
  std::unique_ptr<SnapshotServer> server_;

  std::unique_ptr<SnapshotFile> file_;
  std::vector<NamedRouteState> exported_;      // states to save
  std::unique_ptr<SnapshotSlices> exporting_;  // fills exported_; null: not running
  bool file_has_routes_ = false;

  std::unique_ptr<DatagramExchange> datagrams_;
  std::deque<Requester> requesters_;
  std::vector<NamedRouteState> urgent_;        // states for the answers to requesters_
  std::unique_ptr<SnapshotSlices> answering_;  // fills urgent_; null: not running

  std::vector<Pending> pending_;  // states whose endpoint or destination is not in the list yet
  Seconds pending_until_ = 0;
  net::Timer save_timer_;
};

}  // namespace opalroute::state_transfer
