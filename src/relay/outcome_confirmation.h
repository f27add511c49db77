// Holds the outcomes of attempts whose responses were paired with them by order alone, until they are
// confirmed or come into doubt, and decides whether connections to endpoints may be reused.
#pragma once

#include <cstdint>
#include <vector>

#include "config/limits.h"
#include "log/line_limiter.h"
#include "metrics/counters.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/timer.h"
#include "relay/endpoint_table.h"
#include "upstream/connection_reuse_policy.h"
#include "upstream/unconfirmed_outcomes.h"

namespace opalroute {

// What has put the outcomes of a connection in doubt.
enum class DoubtCause {
  kUnmatchedResponse,  // a response came for which no call was in flight
  kConnectionEnded,    // the endpoint ended the connection, as if a call were still in flight
  kCallUnanswered      // a later call on it got no response
};

class OutcomeConfirmation : private net::HttpClient::Observer {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnConfirmed(const UnconfirmedOutcome& outcome) = 0;
    // The outcome may be another one. Less is certain than it says.
    virtual void OnDoubted(const JudgedOutcome& judged, DoubtCause cause) = 0;
    // The Retry-After, in seconds, of a response that belonged to no call.
    virtual void OnUnmatchedRetryAfter(EndpointId endpoint, Seconds retry_after) = 0;
  };

  OutcomeConfirmation(net::EventLoop& loop, net::HttpClient& client, const Limits& limits,
                      const EndpointTable& endpoints, Counters& counters, Owner& owner);
  ~OutcomeConfirmation() override;

  // A response that was read: `place` is that of its call on the connection. Called before Add.
  void OnResponse(std::uint64_t connection, const ReadResponse& response) {
    outcomes_.AddResponse(connection, response);
  }
  // `stated_timeout_at`: the time until which the endpoint may respond, as stated to it.
  void Add(std::uint64_t connection, UnconfirmedOutcome outcome, Seconds stated_timeout_at);
  // The unconfirmed outcomes of a request pass to another one. Its attempt `attempts[i]` is attempt i of the
  // first.
  void Reassign(RequestId from, RequestId to, const std::vector<int>& attempts);
  // A call on the connection has been written, or has ended.
  void OnCallWritten(std::uint64_t connection);
  void OnCallEnded(std::uint64_t connection);
  // A call got no response. If an earlier call of its connection took a response that
  // was not its own, the endpoint may still be busy with that one.
  void OnCallUnanswered(std::uint64_t connection);

 private:
  void OnUnmatchedInput(const net::Peer& peer, const net::UnmatchedInput& input) override;
  bool MayReuseConnection(const net::Peer& peer) const override;
  void SuspendReuse(const net::Peer& peer);
  void CloseIdleConnections();
  void Settle(const std::vector<JudgedOutcome>& outcomes, DoubtCause cause);
  void LogUnmatchedInput(const net::Peer& peer, const net::UnmatchedInput& input, std::size_t doubted);
  void ArmTimer();
  void ConfirmDue();

  net::EventLoop& loop_;
  net::HttpClient& client_;
  const Limits& limits_;
  const EndpointTable& endpoints_;
  Counters& counters_;
  Owner& owner_;
  UnconfirmedOutcomes outcomes_;
  ConnectionReusePolicy reuse_policy_;
  log::LineLimiter line_limiter_;
  net::Timer confirmation_timer_;
  net::Timer close_timer_;
};

}  // namespace opalroute
