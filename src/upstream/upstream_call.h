// A server-side flow: one call to an endpoint, with one message or several, and what becomes of each.
#pragma once

#include <string>
#include <vector>

#include "net/http_client.h"
#include "opalroute/request_router.h"

namespace opalroute {

class UpstreamCall : private net::HttpClient::Call {
 public:
  struct Member {
    RequestId request_id = 0;
    int attempt = 0;
    Seconds timeout_at = 0;
    Seconds send_deadline = 0;  // its first byte leaves before this or never
    std::string id, key, body;  // as they pass on
    bool pending = true;        // for its outcome
    net::EventLoop::TimerId timer = 0;
  };

  class Owner {
   public:
    virtual ~Owner() = default;
    // Just before the first byte. False: this attempt may not leave any more.
    virtual bool MaySend(const UpstreamCall& flow, const Member& member) = 0;
    // Then, before the first byte. False: it could not be recorded, and must not leave now.
    virtual bool RecordAttempt(const UpstreamCall& flow, const Member& member) = 0;
    virtual void OnWritten(int messages) = 0;  // so many have left whole
    virtual void OnOutcome(const UpstreamCall& flow, const Member& member, const AttemptOutcome& outcome) = 0;
    virtual void OnServedLate(RequestId message) = 0;  // it had had its outcome before
    virtual void OnCallEnded(UpstreamCall& flow) = 0;
  };

  UpstreamCall(net::EventLoop& loop, net::HttpClient& client, EndpointId endpoint, const sockaddr_in& to,
               std::vector<Member> members, Owner& owner);
  ~UpstreamCall() override;

  EndpointId endpoint() const { return endpoint_; }
  const std::vector<Member>& members() const { return members_; }
  void Start();
  void Cancel(RequestId message, int attempt);

 private:
  std::string OnReady() override;
  void OnWritten() override { owner_.OnWritten(requests_sent_); }
  void OnAnswer(net::HttpMessage& answer) override;
  void OnBroken(net::HttpClient::Broken how, int status) override;
  bool Suffices(int status) override;

  std::string WriteSingle(const Member& member, long remaining) const;
  std::string WriteBatch(const std::vector<const Member*>& members, long remaining) const;
  void ReadBatchStates(const net::HttpMessage& answer, Seconds wait);
  void Settle(Member& member, Outcome outcome, Seconds wait = 0, bool over = false);
  void SettleAll(Outcome outcome, Seconds wait = 0, bool over = false);
  void Abandon(Member& member, Outcome if_written, Outcome if_not);
  bool AnyPending() const;
  void EndIfSettled();

  net::EventLoop& loop_;
  net::HttpClient& client_;
  EndpointId endpoint_;
  sockaddr_in to_;
  std::vector<Member> members_;
  Owner& owner_;
  Seconds started_ = 0;
  LoadReport report_;
  Seconds stated_until_ = 0;  // the time that the request stated, in whole milliseconds
  Seconds answered_ = -1;     // when what says that it was served was read; negative: not yet
  int requests_sent_ = 0;     // messages in the request
  bool begun_ = false;        // the request went to the connection
  bool batch_ = false;        // it holds several messages
  bool ended_ = false;
};

// A probe of an endpoint's health.
class HealthCheckCall : private net::HttpClient::Call {
 public:
  using MaySend = std::function<bool()>;  // asked just before the first byte
  using Done = std::function<void(HealthCheckCall&, const HealthCheckOutcome&)>;
  HealthCheckCall(net::EventLoop& loop, net::HttpClient& client, EndpointId endpoint, const sockaddr_in& to,
                  Seconds longest, MaySend may_leave, Done done);
  ~HealthCheckCall() override;
  void Start();

 private:
  std::string OnReady() override;
  void OnAnswer(net::HttpMessage& answer) override;
  void OnBroken(net::HttpClient::Broken how, int status) override;
  void Finish(Outcome outcome, const LoadReport& report = {});

  net::EventLoop& loop_;
  net::HttpClient& client_;
  EndpointId endpoint_;
  sockaddr_in to_;
  Seconds longest_, started_ = 0;
  MaySend may_send_;
  Done done_;
  net::EventLoop::TimerId timer_ = 0;
  bool ended_ = false;
};

}  // namespace opalroute
