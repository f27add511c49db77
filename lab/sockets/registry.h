// The platform as relays meet it: the list of endpoints, its watch with each change as late as drawn,
// notices. Every relay has a listener of its own here, so that it is known who asks.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "lab/links.h"
#include "lab/sessions.h"
#include "lab/sockets/reserved_address.h"
#include "lab/world.h"
#include "net/listener.h"

namespace opalroute::lab {

class Registry {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnTold(int relay, EndpointId endpoint, EndpointStatus listing) = 0;  // written to its watch
    virtual void OnNotice(const std::string& message, bool handed_back, Seconds advice) = 0;
  };
  // `address_of`: where that relay finds an endpoint, as "1.2.3.4:80".
  Registry(net::EventLoop& loop, const World& world, std::uint64_t seed,
           std::function<std::string(EndpointId, int relay)> address_of, Owner& owner);
  // The run's times, by which cuts hold, count from here.
  void Begin(net::Seconds start);
  ~Registry();

  sockaddr_in address(int relay) const { return addresses_[static_cast<std::size_t>(relay)].address(); }
  // A change; each relay's watch is told after a lateness of its own.
  void Publish(EndpointId endpoint, EndpointStatus listing);
  EndpointStatus ListingOf(EndpointId endpoint) const { return listings_[endpoint - 1]; }
  // The whole list as that relay holds it by now.
  std::string WholeList(int relay) const;

 private:
  class Session;
  struct Change {
    EndpointId endpoint = 0;
    EndpointStatus listing{};
  };
  struct View {  // one relay's: changes up to `known` have reached it
    std::size_t known = 0;
    net::Seconds last_due = 0;
    std::vector<EndpointStatus> listings;
  };
  void Advance(int relay, std::size_t change);
  bool IsCut(int relay) const;
  void Strike(const ListFault& fault);
  const ListFault* FaultOf(int relay, ListFault::Kind kind) const;  // that holds now, or null
  bool CanBeReached(int relay) const;
  void Listen(int relay);
  void StopListening(int relay, net::Seconds lasts);
  void TellAtLatest(int relay, std::size_t change, net::Seconds reached_since);
  std::vector<Session*> SessionsOf(int relay) const;
  std::vector<Session*> WatchesOf(int relay) const;
  std::string Row(EndpointId endpoint, EndpointStatus listing, int relay) const;
  std::string ChangesSince(int relay, std::size_t since) const;
  std::string ListBefore(int relay) const;

  net::EventLoop& loop_;
  const World& world_;
  pcg32 random_;
  const std::function<std::string(EndpointId, int)> address_of_;
  Owner& owner_;
  const LinkModel links_;
  net::Seconds start_ = 0;                                 // 0: it has not begun
  std::vector<EndpointStatus> listings_;                   // by endpoint
  std::vector<Change> changes_;                            // generation: their number, plus one
  std::vector<View> views_;                                // by relay
  std::vector<std::unique_ptr<net::Listener>> listeners_;  // by relay; none while it refuses
  std::deque<ReservedAddress> addresses_;                  // by relay; kept while nobody listens there
  Sessions<Session> sessions_;
};

}  // namespace opalroute::lab
