// What learning sees of the relay: beliefs by name instead of number, and only endpoints that the pool has
// named.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "relay/decision_loop.h"
#include "relay/endpoint_table.h"
#include "state_transfer/state_transfer.h"

namespace opalroute {

class StateTransferHost : public state_transfer::Host {
 public:
  using SendTo = std::function<void(int peer, const std::string& bytes)>;

  StateTransferHost(net::EventLoop& loop, EndpointTable& endpoints, DecisionLoop& driver, SendTo send)
      : loop_(loop), endpoints_(endpoints), driver_(driver), send_(std::move(send)) {}

  std::vector<RouteState> ExportRouteStates(std::optional<DestinationId>& from, int most) const override {
    return driver_.router().ExportRouteStates(loop_.Now(), from, most);
  }
  std::string NameOf(EndpointId endpoint) const override { return endpoints_.At(endpoint).id; }
  std::optional<EndpointId> ListedEndpoint(const std::string& name) const override {
    return endpoints_.FindListed(name);
  }
  bool ListedDestination(DestinationId destination) const override { return endpoints_.Serves(destination); }
  void ApplyState(TransferredState learned) override { driver_.Post(std::move(learned)); }
  void SendDatagram(int peer, const std::string& bytes) override { send_(peer, bytes); }

 private:
  net::EventLoop& loop_;
  EndpointTable& endpoints_;
  DecisionLoop& driver_;
  SendTo send_;
};

}  // namespace opalroute
