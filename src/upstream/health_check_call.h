// One health check of an endpoint: a call that carries no request.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <string>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/timer.h"
#include "opalroute/events.h"

namespace opalroute {

class HealthCheckCall : private net::HttpClient::Call {
 public:
  using MaySend = std::function<bool()>;  // called just before the first byte is sent
  using Done = std::function<void(HealthCheckCall&, const HealthCheckOutcome&)>;

  // `timeout`: seconds from construction until the response must have arrived. `done` is called once.
  HealthCheckCall(net::EventLoop& loop, net::HttpClient& client, EndpointId endpoint, const net::Peer& to,
                  Seconds timeout, MaySend may_send, Done done);
  ~HealthCheckCall() override;
  void Start();

 private:
  std::string OnReady() override;
  void OnResponse(net::HttpMessage& response) override;
  void OnFailure(net::HttpClient::Failure how, int status) override;
  void Finish(Outcome outcome, const LoadReport& report = {});

  net::EventLoop& loop_;
  net::HttpClient& client_;
  const EndpointId endpoint_;
  const net::Peer to_;
  const Seconds timeout_;
  const Seconds started_;
  const MaySend may_send_;
  const Done done_;
  net::Timer timer_;
  bool ended_ = false;
};

}  // namespace opalroute
