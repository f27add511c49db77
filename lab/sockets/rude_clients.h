// Clients that connect and do not finish a request: some say nothing, some stop in its midst and stay. The
// latter are owed an error or the end of their connection within a time (the platform's protocol).
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "lab/scenario.h"
#include "net/connection.h"

namespace opalroute::lab {

class RudeClients {
 public:
  // `on_late` is told of each that has stopped in a request and was owed an end by now.
  RudeClients(net::EventLoop& loop, std::function<void(int relay)> on_late);
  ~RudeClients();

  void Connect(int relay, const sockaddr_in& address, StalledClientsPlan::Kind kind, int count);

 private:
  class Client;
  void Drop(Client& client);

  net::EventLoop& loop_;
  const std::function<void(int)> on_late_;
  std::list<std::unique_ptr<Client>> clients_;
};

}  // namespace opalroute::lab
