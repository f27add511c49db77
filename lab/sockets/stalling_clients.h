// Clients that connect and never finish a request: some send nothing, some stop in the middle of a request
// and keep the connection open. The platform's protocol gives a relay a time limit by which it must answer
// the latter with an error or close the connection.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "lab/scenario.h"
#include "net/connection.h"

namespace opalroute::lab {

class StallingClients {
 public:
  // `on_overdue` is called for each unfinished request that the relay has neither answered nor closed in
  // time.
  StallingClients(net::EventLoop& loop, std::function<void(int relay)> on_overdue);
  ~StallingClients();

  void Connect(int relay, const sockaddr_in& address, StalledClientsPlan::Kind kind, int count);

 private:
  class Client;
  void Drop(Client& client);

  net::EventLoop& loop_;
  const std::function<void(int)> on_overdue_;
  std::list<std::unique_ptr<Client>> clients_;
};

}  // namespace opalroute::lab
