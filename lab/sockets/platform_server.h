// Emulates the platform's service for the relays: the endpoint list, a watch that delivers each change after
// a random delay, and notifications. Each relay has its own listener, which tells the relays apart.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "lab/link_model.h"
#include "lab/sessions.h"
#include "lab/sockets/reserved_address.h"
#include "lab/sockets/stray_responses.h"
#include "lab/world.h"
#include "net/listener.h"

namespace opalroute::lab {

class PlatformServer {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // The relay counts as knowing of a change: it was sent to it, or could have been fetched for some time.
    virtual void OnChangeKnown(int relay, EndpointId endpoint, EndpointStatus status) = 0;
    // `rejected`: the client may retry, after `retry_after` if that is above 0. Otherwise the message has
    // failed.
    virtual void OnNotification(const std::string& message, bool rejected, Seconds retry_after) = 0;
  };
  // `address_of`: the address at which the relay reaches the endpoint, as "1.2.3.4:80".
  PlatformServer(net::EventLoop& loop, const World& world, std::uint64_t seed,
                 std::function<std::string(EndpointId, int relay)> address_of, Owner& owner);
  // Sets when the run began; the times of cuts and faults count from there.
  void Begin(net::Seconds start);
  ~PlatformServer();

  sockaddr_in address(int relay) const { return addresses_[static_cast<std::size_t>(relay)].address(); }
  // Changes an endpoint's status in the list. Each relay gets the change after its own delay.
  void Publish(EndpointId endpoint, EndpointStatus status);
  EndpointStatus StatusOf(EndpointId endpoint) const { return statuses_[endpoint - 1]; }
  // The full list with the changes that have reached the relay.
  std::string FullList(int relay) const;
  // Responses to notifications that were written once more during a later one.
  long stray_responses() const { return stray_response_count_; }

 private:
  class Session;
  struct Change {
    EndpointId endpoint = 0;
    EndpointStatus status{};
  };
  struct RelayView {
    std::size_t visible_changes = 0;  // the first so many changes have reached the relay
    net::Seconds last_due = 0;        // when the latest change reaches it
    std::vector<EndpointStatus> statuses;
  };
  void DeliverChangesTo(int relay, std::size_t count);
  bool IsCut(int relay) const;
  void StartFault(const ListFault& fault);
  const ListFault* FindActiveFault(int relay, ListFault::Kind kind) const;
  bool IsReachable(int relay) const;
  void Listen(int relay);
  void StopListening(int relay, net::Seconds duration);
  void ReportAfterTimeout(int relay, std::size_t change, net::Seconds reachable_since);
  std::vector<Session*> SessionsOf(int relay) const;
  std::vector<Session*> WatchesOf(int relay) const;
  std::string InstanceJson(EndpointId endpoint, EndpointStatus status, int relay) const;
  std::string ChangesSince(int relay, std::size_t since) const;
  std::string OutdatedList(int relay) const;

  net::EventLoop& loop_;
  const World& world_;
  pcg32 random_, stray_random_;
  const std::function<std::string(EndpointId, int)> address_of_;
  Owner& owner_;
  const LinkModel links_;
  long stray_response_count_ = 0;
  net::Seconds start_ = 0;                                 // 0: the run has not begun
  std::vector<EndpointStatus> statuses_;                   // by endpoint
  std::vector<Change> changes_;                            // the list's generation is their number plus 1
  std::vector<RelayView> views_;                           // by relay
  std::vector<std::unique_ptr<net::Listener>> listeners_;  // by relay; null while connections are refused
  std::deque<ReservedAddress> addresses_;                  // by relay; reserved without a listener, too
  Sessions<Session> sessions_;
};

}  // namespace opalroute::lab
