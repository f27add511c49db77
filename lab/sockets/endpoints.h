// The partners' endpoints on sockets. Each has a loopback address of its own and all share one listener a
// relay, so that 20,000 of them cost one descriptor, and it is known which relay calls. The models decide.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "lab/auditor.h"
#include "lab/links.h"
#include "lab/sessions.h"
#include "lab/sockets/ledger.h"
#include "lab/sockets/loopback.h"
#include "lab/sockets/reserved_address.h"
#include "lab/world.h"
#include "net/listener.h"

namespace opalroute::lab {

class Endpoints {
 public:
  // Throws std::system_error if the system lets nobody listen on the loopback device as a whole.
  Endpoints(net::EventLoop& loop, World& world, Auditor& auditor, Ledger& ledger, Tally& tally,
            std::uint64_t seed);
  ~Endpoints();

  // The run's times count from here. Endpoints that refuse connections at times begin to do so.
  void Begin(net::Seconds start);
  std::string AddressOf(EndpointId endpoint, int relay) const;
  // Its machine is there no more: its connections end, and new ones are reset.
  void Remove(EndpointId endpoint);
  std::size_t connections() const { return sessions_.all().size(); }

 private:
  class Session;
  // An endpoint that refuses connections at times, or is cut off, has a listener of its own for each relay
  // that meets it, which is closed meanwhile.
  struct Door {
    EndpointId endpoint = 0;
    int relay = 0;
    std::unique_ptr<ReservedAddress> address;  // nobody else gets it while the listener is closed
    std::unique_ptr<net::Listener> listener;
    std::unique_ptr<BlackHole> hole;
    bool refuses = false, vanished = false;
  };
  Seconds now() const { return std::max(0.0, loop_.Now() - start_); }
  Seconds WayOf(EndpointId endpoint, int relay) const;
  void Accept(int fd, int relay);
  void Tend(Door& door);  // open or closed, as it should be now
  bool IsCut(EndpointId endpoint, int relay) const;
  bool MeetsCut(EndpointId endpoint, int relay) const;  // at some time
  void LookForCuts();
  bool Crowded(EndpointId endpoint) const;
  void Left(EndpointId endpoint);  // a connection has ended

  net::EventLoop& loop_;
  World& world_;
  Auditor& auditor_;
  Ledger& ledger_;
  Tally& tally_;
  const LinkModel links_;
  net::Seconds start_;
  bool begun_ = false;
  std::vector<std::vector<Seconds>> one_way_;  // by relay and zone
  std::vector<std::unique_ptr<net::Listener>> listeners_;
  std::map<std::pair<EndpointId, int>, Door> doors_;
  std::vector<bool> gone_;           // by endpoint
  std::map<EndpointId, int> taken_;  // connections, where there is a limit
  bool ending_ = false;
  Sessions<Session> sessions_;
};

}  // namespace opalroute::lab
