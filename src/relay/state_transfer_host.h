// The relay's side of state transfer: maps endpoint numbers to ids and back, limited to endpoints and
// destinations of the endpoint list.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "relay/decision_loop.h"
#include "relay/endpoint_table.h"
#include "state_transfer/state_transfer.h"

namespace opalroute {

// All references must outlive the host.
class StateTransferHost : public state_transfer::Host {
 public:
  using SendTo = std::function<void(int peer, const std::string& bytes)>;

  StateTransferHost(net::EventLoop& loop, EndpointTable& endpoints, DecisionLoop& decisions, SendTo send)
      : loop_(loop), endpoints_(endpoints), decisions_(decisions), send_(std::move(send)) {}

  std::vector<RouteState> ExportRouteStates(std::optional<DestinationId>& from, int most) const override {
    return decisions_.router().ExportRouteStates(loop_.Now(), from, most);
  }
  std::string EndpointName(EndpointId endpoint) const override { return endpoints_.At(endpoint).id; }
  std::optional<EndpointId> FindListedEndpoint(const std::string& name) const override {
    return endpoints_.FindListed(name);
  }
  bool IsDestinationListed(DestinationId destination) const override {
    return endpoints_.Serves(destination);
  }
  void ApplyState(TransferredState state) override { decisions_.Post(std::move(state)); }
  void SendDatagram(int peer, const std::string& bytes) override { send_(peer, bytes); }

 private:
  net::EventLoop& loop_;
  EndpointTable& endpoints_;
  DecisionLoop& decisions_;
  SendTo send_;
};

}  // namespace opalroute
