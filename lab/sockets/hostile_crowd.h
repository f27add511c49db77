// Runs hostile clients in a thread of their own, so that what they do does not delay the measurements of
// others.
#pragma once

#include <netinet/in.h>

#include <atomic>
#include <thread>
#include <vector>

#include "lab/sockets/hostile_clients.h"

namespace opalroute::lab {

class HostileCrowd {
 public:
  // Opens `clients` connections, as many of each kind.
  HostileCrowd(const sockaddr_in& relay, const ClientRequestFields& fields, std::vector<HostileKind> kinds,
               int clients);
  ~HostileCrowd() { Leave(); }
  HostileCrowd(const HostileCrowd&) = delete;
  HostileCrowd& operator=(const HostileCrowd&) = delete;

  // Closes all connections and ends the thread.
  void Leave();

 private:
  void Run(const sockaddr_in& relay, const ClientRequestFields& fields, const std::vector<HostileKind>& kinds,
           int clients);

  std::atomic<bool> leaving_{false};
  std::thread thread_;  // last: it uses the other member
};

}  // namespace opalroute::lab
