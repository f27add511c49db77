// One call to an endpoint that carries one request or a batch, and reports the outcome of each request.
#pragma once

#include <netinet/in.h>

#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "opalroute/events.h"
#include "upstream/endpoint_protocol.h"

namespace opalroute {

// What an outcome rests on.
enum class ResponsePairing {
  kCertain,  // no response, or the first one of its connection
  kByName,   // a later response of its connection, which names the request
  kByOrder   // a later response of its connection, which may have been another request's
};

class UpstreamCall : private net::HttpClient::Call {
 public:
  using net::HttpClient::Call::exchange;

  // An attempt of one request, with what is sent of the request.
  struct Attempt : endpoint_protocol::OutgoingRequest {
    RequestId request_id = 0;
    int number = 0;  // among the attempts of the request, from 0
    Seconds timeout_at = 0;
    Seconds send_deadline = 0;  // must not be sent at or after this time
    bool requires_new_connection = false;
    bool pending = true;          // no outcome yet
    bool call_continues = false;  // it has its outcome, but the call went on for other attempts
    net::EventLoop::TimerId timer = 0;
  };

  class Owner {
   public:
    virtual ~Owner() = default;
    // Called just before the first byte is sent. Returns false if the attempt must no longer be sent.
    virtual bool MaySend(const UpstreamCall& call, const Attempt& attempt) = 0;
    // Called after MaySend. Returns false if the attempt could not be recorded; it is then not sent.
    virtual bool RecordAttempt(const UpstreamCall& call, const Attempt& attempt) = 0;
    // All bytes of the call have been written to the connection; it carries this many requests.
    virtual void OnWritten(const UpstreamCall& call, int requests) = 0;
    // Called once for each attempt.
    virtual void OnOutcome(const UpstreamCall& call, const Attempt& attempt, const AttemptOutcome& outcome,
                           ResponsePairing pairing) = 0;
    // The call got no response on its connection: it timed out, or the connection broke.
    virtual void OnUnanswered(const UpstreamCall&) {}
    // The response names a request that has ended (`outcome`: kServed if it was delivered), after the outcome
    // of its attempt was reported.
    virtual void OnEndedLate(const UpstreamCall& call, const Attempt& attempt, Outcome outcome) = 0;
    // All attempts have their outcomes. The owner may destroy the call only after returning to the event
    // loop.
    virtual void OnCallEnded(UpstreamCall& call) = 0;
  };

  UpstreamCall(net::EventLoop& loop, net::HttpClient& client, EndpointId endpoint, const net::Peer& to,
               std::vector<Attempt> attempts, Owner& owner);
  ~UpstreamCall() override;

  EndpointId endpoint() const { return endpoint_; }
  const net::Peer& peer() const { return to_; }
  // The time until which the endpoint may respond, as stated to it.
  Seconds stated_timeout_at() const { return stated_timeout_at_; }
  const std::vector<Attempt>& attempts() const { return attempts_; }
  void Start();
  void Cancel(RequestId request, int attempt);

 private:
  std::string OnReady() override;
  void OnWritten() override { owner_.OnWritten(*this, requests_sent_); }
  void OnResponse(net::HttpMessage& response) override;
  void OnFailure(net::HttpClient::Failure how, int status) override;
  bool StatusSuffices(int status) override;
  bool RequiresNewConnection() const override;

  void WithholdUnsendableAttempts();
  std::vector<const Attempt*> PendingAttempts() const;
  std::string FormatRequests(const std::vector<const Attempt*>& attempts, long remaining_ms) const;
  void OnBatchResponse(const net::HttpMessage& response, Seconds retry_after);
  ResponsePairing PairingByOrder() const;
  void Complete(Attempt& attempt, endpoint_protocol::AttemptResult result, Seconds retry_after = 0,
                ResponsePairing pairing = ResponsePairing::kCertain);
  void CompleteAll(endpoint_protocol::AttemptResult result, Seconds retry_after = 0,
                   ResponsePairing pairing = ResponsePairing::kCertain);
  void Abandon(Attempt& attempt, Outcome if_written, Outcome if_not_written);
  void EndIfAllComplete();

  net::EventLoop& loop_;
  net::HttpClient& client_;
  const EndpointId endpoint_;
  const net::Peer to_;
  std::vector<Attempt> attempts_;
  Owner& owner_;
  const Seconds started_;
  LoadReport report_;
  Seconds stated_timeout_at_ = 0;  // timeout as sent to the endpoint, rounded down to whole milliseconds
  Seconds responded_at_ = -1;  // when the response or a sufficient status line was read; negative: not yet
  int requests_sent_ = 0;
  bool send_started_ = false;  // the call has been handed to the connection
  bool is_batch_ = false;      // the call carries several requests
  bool ended_ = false;
};

}  // namespace opalroute
