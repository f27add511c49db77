// What learning sees of the relay: beliefs by name instead of number, and only endpoints that the pool has
// named.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "learning/learning.h"
#include "relay/endpoint_table.h"
#include "relay/module_driver.h"

namespace opalroute {

class LearningHost : public learning::Host {
 public:
  using SendTo = std::function<void(int peer, const std::string& bytes)>;

  LearningHost(net::EventLoop& loop, EndpointTable& endpoints, ModuleDriver& driver, SendTo send)
      : loop_(loop), endpoints_(endpoints), driver_(driver), send_(std::move(send)) {}

  std::vector<Belief> Beliefs(std::optional<DestinationId>& from, int most) const override {
    return driver_.module().Beliefs(loop_.Now(), from, most);
  }
  std::string NameOf(EndpointId endpoint) const override { return endpoints_.At(endpoint).id; }
  std::optional<EndpointId> ListedEndpoint(const std::string& name) const override {
    return endpoints_.FindListed(name);
  }
  bool ListedDestination(DestinationId destination) const override { return endpoints_.Serves(destination); }
  void Believe(Learned learned) override { driver_.Post(std::move(learned)); }
  void SendNote(int peer, const std::string& bytes) override { send_(peer, bytes); }

 private:
  net::EventLoop& loop_;
  EndpointTable& endpoints_;
  ModuleDriver& driver_;
  SendTo send_;
};

}  // namespace opalroute
