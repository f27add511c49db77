#include "upstream/health_check_call.h"

#include <utility>

#include "upstream/endpoint_protocol.h"

namespace opalroute {
namespace {

Outcome OutcomeOf(net::HttpClient::Failure how) {
  switch (how) {
    case net::HttpClient::Failure::kReset:
      return Outcome::kReset;
    case net::HttpClient::Failure::kNoLocalConnection:
      return Outcome::kLocalShortage;
    default:
      return Outcome::kConnectFailed;
  }
}

}  // namespace

HealthCheckCall::HealthCheckCall(net::EventLoop& loop, net::HttpClient& client, EndpointId endpoint,
                                 const net::Peer& to, Seconds timeout, MaySend may_send, Done done)
    : loop_(loop),
      client_(client),
      endpoint_(endpoint),
      to_(to),
      timeout_(timeout),
      started_(loop.Now()),
      may_send_(std::move(may_send)),
      done_(std::move(done)),
      timer_(loop) {}

HealthCheckCall::~HealthCheckCall() {
  if (!ended_) client_.Abandon(*this);
}

void HealthCheckCall::Start() {
  timer_.Start(started_ + timeout_, [this] {
    client_.Abandon(*this);
    Finish(Outcome::kTimeout);
  });
  client_.Start(to_, *this);
}

// A health check counts as a call: it is not sent if the endpoint began to drain or sent a Retry-After while
// the connection was being opened.
std::string HealthCheckCall::OnReady() {
  if (!may_send_()) {
    Finish(Outcome::kNotSent);
    return {};
  }
  return endpoint_protocol::FormatHealthCheck(to_.address);
}

void HealthCheckCall::OnResponse(net::HttpMessage& response) {
  Finish(endpoint_protocol::HealthCheckOutcomeOf(response), endpoint_protocol::LoadReportOf(response));
}

void HealthCheckCall::OnFailure(net::HttpClient::Failure how, int) { Finish(OutcomeOf(how)); }

void HealthCheckCall::Finish(Outcome outcome, const LoadReport& report) {
  timer_.Cancel();
  ended_ = true;
  done_(*this, {endpoint_, outcome, loop_.Now() - started_, report});
}

}  // namespace opalroute
