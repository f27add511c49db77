// One call to an endpoint, with one request or a batch of them, and the outcome of each.
#pragma once

#include <netinet/in.h>

#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "opalroute/events.h"
#include "upstream/endpoint_protocol.h"

namespace opalroute {

class UpstreamCall : private net::HttpClient::Call {
 public:
  // A request in the call.
  struct Member : endpoint_protocol::OutgoingRequest {
    RequestId request_id = 0;
    int attempt = 0;
    Seconds timeout_at = 0;
    Seconds send_deadline = 0;  // its first byte leaves before this or never
    bool pending = true;        // it has no outcome yet
    net::EventLoop::TimerId timer = 0;
  };

  class Owner {
   public:
    virtual ~Owner() = default;
    // Asked just before the first byte. False: this attempt must not be sent any more.
    virtual bool MaySend(const UpstreamCall& call, const Member& member) = 0;
    // Asked next. False: the attempt could not be recorded, and must not be sent now.
    virtual bool RecordAttempt(const UpstreamCall& call, const Member& member) = 0;
    // So many requests have been written to the connection as a whole.
    virtual void OnWritten(int requests) = 0;
    // Called once for each member.
    virtual void OnOutcome(const UpstreamCall& call, const Member& member, const AttemptOutcome& outcome) = 0;
    // The endpoint has served a request that had had its outcome before.
    virtual void OnServedLate(RequestId request) = 0;
    // All members have their outcomes. The call may be destroyed once the caller has returned to the event
    // loop.
    virtual void OnCallEnded(UpstreamCall& call) = 0;
  };

  UpstreamCall(net::EventLoop& loop, net::HttpClient& client, EndpointId endpoint, const sockaddr_in& to,
               std::vector<Member> members, Owner& owner);
  ~UpstreamCall() override;

  EndpointId endpoint() const { return endpoint_; }
  const std::vector<Member>& members() const { return members_; }
  void Start();
  void Cancel(RequestId request, int attempt);

 private:
  std::string OnReady() override;
  void OnWritten() override { owner_.OnWritten(requests_sent_); }
  void OnResponse(net::HttpMessage& answer) override;
  void OnFailure(net::HttpClient::Failure how, int status) override;
  bool StatusSuffices(int status) override;

  void RejectMembersThatMayNotBeSent();
  std::vector<const Member*> PendingMembers() const;
  std::string WriteRequest(const std::vector<const Member*>& members, long remaining_ms) const;
  void OnBatchAnswer(const net::HttpMessage& answer, Seconds retry_after);
  void Settle(Member& member, endpoint_protocol::AttemptResult result, Seconds retry_after = 0);
  void SettleAll(endpoint_protocol::AttemptResult result, Seconds retry_after = 0);
  void Abandon(Member& member, Outcome if_written, Outcome if_not);
  void EndIfSettled();

  net::EventLoop& loop_;
  net::HttpClient& client_;
  const EndpointId endpoint_;
  const sockaddr_in to_;
  std::vector<Member> members_;
  Owner& owner_;
  const Seconds started_;
  LoadReport report_;
  Seconds stated_timeout_at_ = 0;  // the timeout that the request states, which is in whole milliseconds
  Seconds answered_at_ = -1;       // when what says that it was served was read; negative: not yet
  int requests_sent_ = 0;
  bool begun_ = false;  // the request has been handed to the connection
  bool batch_ = false;  // it holds several requests
  bool ended_ = false;
};

}  // namespace opalroute
