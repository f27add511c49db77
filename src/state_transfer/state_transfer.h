// State transfer: what a relay that starts learns about upstream routes from running relays and from its own
// earlier process. Attaches the carriers (TCP, datagrams, the state folder) and the merger to a relay. Off
// unless the operators' settings say otherwise.
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
#include "net/timer.h"
#include "state_transfer/datagram_exchange.h"
#include "state_transfer/snapshot_client.h"
#include "state_transfer/snapshot_file.h"
#include "state_transfer/snapshot_merger.h"
#include "state_transfer/snapshot_server.h"

namespace opalroute::state_transfer {

// What state transfer needs of its relay.
class Host {
 public:
  virtual ~Host() = default;
  // The states of up to `most` destinations from `from` on, which is then set to where the next begin.
  virtual std::vector<RouteState> ExportRouteStates(std::optional<DestinationId>& from, int most) const = 0;
  virtual std::string EndpointName(EndpointId endpoint) const = 0;
  // Only what the endpoint list names: another relay's word does not make an endpoint known.
  virtual std::optional<EndpointId> ListedEndpoint(const std::string& name) const = 0;
  virtual bool ListedDestination(DestinationId destination) const = 0;
  virtual void ApplyState(TransferredState state) = 0;
  virtual void SendDatagram(int peer, const std::string& bytes) = 0;
};

class StateTransfer : private SnapshotClient::Owner {
 public:
  // Applies the saved state, and begins to ask other relays. All references must outlive this object. Throws
  // std::system_error if it can't listen where the settings say.
  StateTransfer(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                const OperatorSettings::StateTransfer& settings, Host& host);
  ~StateTransfer() override;

  // Whether all relays asked by TCP have answered or time is up: the relay may become ready.
  bool done() const { return client_ == nullptr; }
  // Where this relay serves snapshots, if it does.
  std::optional<sockaddr_in> snapshot_address() const;
  // False: the datagram is not state transfer's.
  bool OnDatagram(int peer, std::string_view bytes);
  // The endpoint list has changed: it may name now what could not be applied before.
  void OnEndpointList();

 private:
  struct Pending {
    NamedRouteState route;
    Seconds since = 0;
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
  std::vector<NamedRouteState> Export(std::optional<DestinationId>& from, int most) const;
  MergeOptions MergeOptionsOf() const;

  net::EventLoop& loop_;
  const PersistentClock& clock_;
  const Config& config_;
  const OperatorSettings::StateTransfer settings_;
  Host& host_;
  const RouteStateSource source_;

  std::unique_ptr<SnapshotMerger> merger_;  // of what the client receives
  std::unique_ptr<SnapshotClient> client_;
  std::unique_ptr<SnapshotServer> server_;

  std::unique_ptr<SnapshotFile> file_;
  std::vector<NamedRouteState> exported_;      // for the file
  std::unique_ptr<SnapshotSlices> exporting_;  // while they are read
  bool file_has_routes_ = false;

  std::unique_ptr<DatagramExchange> datagrams_;
  std::deque<Requester> requesters_;
  std::vector<NamedRouteState> urgent_;        // for their answers
  std::unique_ptr<SnapshotSlices> answering_;  // while they are read

  std::vector<Pending> pending_;  // of endpoints that the list does not name yet
  Seconds pending_until_ = 0;
  net::Timer save_timer_;
};

}  // namespace opalroute::state_transfer
