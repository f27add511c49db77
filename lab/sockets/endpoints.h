// Emulates the partners' endpoints on sockets. Each endpoint has its own loopback address. All share one
// listener for each relay, so that 20,000 endpoints take one descriptor per relay and the calling relay is
// known. How an endpoint responds is decided by the partners' models.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "lab/auditor.h"
#include "lab/link_model.h"
#include "lab/sessions.h"
#include "lab/sockets/connection_faults.h"
#include "lab/sockets/loopback.h"
#include "lab/sockets/message_tracker.h"
#include "lab/sockets/reserved_address.h"
#include "lab/sockets/stray_responses.h"
#include "lab/world.h"
#include "net/listener.h"

namespace opalroute::lab {

class Endpoints {
 public:
  // Throws std::system_error if the loopback device as a whole cannot be listened on.
  Endpoints(net::EventLoop& loop, World& world, Auditor& auditor, MessageTracker& tracker, Tally& tally,
            std::uint64_t seed);
  ~Endpoints();

  // Sets when the run began and schedules the times at which endpoints refuse connections or vanish.
  void Begin(net::Seconds start);
  std::string AddressOf(EndpointId endpoint, int relay) const;
  // The endpoint's machine is gone: its connections are closed, and new ones are reset.
  void Remove(EndpointId endpoint);
  std::size_t connections() const { return sessions_.all().size(); }

 private:
  class Session;
  // An endpoint that refuses connections, vanishes or is cut off during the run has its own listener for each
  // affected relay, which is closed while that lasts.
  struct SeparateListener {
    EndpointId endpoint = 0;
    int relay = 0;
    std::unique_ptr<ReservedAddress> address;  // keeps the address while the listener is closed
    std::unique_ptr<net::Listener> listener;
    std::unique_ptr<BlackHole> black_hole;  // while new connections must get no reply
    bool refuses = false, vanished = false;
  };
  Seconds now() const { return std::max(0.0, loop_.Now() - start_); }
  Seconds OneWayDelay(EndpointId endpoint, int relay) const;
  void Accept(int fd, int relay);
  void Update(SeparateListener& entry);  // opens or closes it, as the current time requires
  bool IsCut(EndpointId endpoint, int relay) const;
  bool HasScheduledCut(EndpointId endpoint, int relay) const;  // at any time of the run
  void PollCuts();
  bool IsAtConnectionLimit(EndpointId endpoint) const;
  void OnConnectionEnded(EndpointId endpoint);

  net::EventLoop& loop_;
  World& world_;
  Auditor& auditor_;
  MessageTracker& tracker_;
  Tally& tally_;
  const LinkModel links_;
  net::Seconds start_;
  bool has_begun_ = false;
  std::vector<std::vector<Seconds>> one_way_delays_;              // by relay and zone
  std::vector<std::unique_ptr<net::Listener>> shared_listeners_;  // by relay
  std::map<std::pair<EndpointId, int>, SeparateListener> separate_listeners_;
  std::vector<bool> removed_;                    // by endpoint
  std::map<EndpointId, int> connection_counts_;  // of endpoints with a limit
  pcg32 stray_random_;
  pcg32 connection_random_;
  bool is_shutting_down_ = false;
  Sessions<Session> sessions_;
};

}  // namespace opalroute::lab
