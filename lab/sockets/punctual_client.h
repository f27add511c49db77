// A client that keeps to the protocol, hands in requests at a fixed interval, and records how long it waits
// for each final answer.
#pragma once

#include <netinet/in.h>

#include <memory>
#include <string>
#include <unordered_map>

#include "lab/sockets/hostile_clients.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace opalroute::lab {

class PunctualClient {
 public:
  struct Figures {
    int sent = 0, accepted = 0, rejected = 0;
    int other_statuses = 0;  // neither 202 nor 503
    int unanswered = 0;      // without a final answer kPatience after they were handed in
    net::Seconds slowest = 0;
  };
  // How long a client waits for the answer to a request, from the platform's protocol.
  static constexpr net::Seconds kPatience = 0.4;

  // `name` begins the id of each request.
  PunctualClient(net::EventLoop& loop, const sockaddr_in& relay, ClientRequestFields fields,
                 std::string name = "punctual");
  ~PunctualClient();

  void Start(net::Seconds interval);
  void Stop();
  const Figures& figures() const { return figures_; }

 private:
  class Request;
  void SendNext(net::Seconds interval);
  void End(Request& request, int status);

  net::EventLoop& loop_;
  const sockaddr_in relay_;
  const ClientRequestFields fields_;
  const std::string name_;
  net::HttpClient client_;
  Figures figures_;
  std::unordered_map<Request*, std::unique_ptr<Request>> requests_;
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace opalroute::lab
