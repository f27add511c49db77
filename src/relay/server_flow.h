// A server-side flow: one call to an endpoint, with one message or several, and what becomes of each.
#pragma once

#include <string>
#include <vector>

#include "net/http_client.h"
#include "opalroute/rules.h"

namespace opalroute {

class ServerFlow : private net::HttpClient::Call {
 public:
  struct Member {
    MessageId message = 0;
    int attempt = 0;
    Seconds until = 0;
    Seconds leave_by = 0;       // its first byte leaves before this or never
    std::string id, key, body;  // as they pass on
    bool waits = true;          // for its outcome
    net::EventLoop::TimerId timer = 0;
  };

  class Owner {
   public:
    virtual ~Owner() = default;
    // Just before the first byte. False: this attempt may not leave any more.
    virtual bool MayLeave(const ServerFlow& flow, const Member& member) = 0;
    // Then, before the first byte. False: it could not be recorded, and must not leave now.
    virtual bool RecordAttempt(const ServerFlow& flow, const Member& member) = 0;
    virtual void OnWritten(int messages) = 0;  // so many have left whole
    virtual void OnOutcome(const ServerFlow& flow, const Member& member, const AttemptOutcome& outcome) = 0;
    virtual void OnServedLate(MessageId message) = 0;  // it had had its outcome before
    virtual void OnFlowOver(ServerFlow& flow) = 0;
  };

  ServerFlow(net::EventLoop& loop, net::HttpClient& client, EndpointId endpoint, const sockaddr_in& to,
             std::vector<Member> members, Owner& owner);
  ~ServerFlow() override;

  EndpointId endpoint() const { return endpoint_; }
  const std::vector<Member>& members() const { return members_; }
  void Start();
  void Cancel(MessageId message, int attempt);

 private:
  std::string OnReady() override;
  void OnWritten() override { owner_.OnWritten(left_); }
  void OnAnswer(net::HttpMessage& answer) override;
  void OnBroken(net::HttpClient::Broken how, int status) override;
  bool Suffices(int status) override;

  std::string WriteSingle(const Member& member, long remaining) const;
  std::string WriteBatch(const std::vector<const Member*>& members, long remaining) const;
  void TakeStates(const net::HttpMessage& answer, Seconds wait);
  void Settle(Member& member, Outcome outcome, Seconds wait = 0, bool over = false);
  void SettleAll(Outcome outcome, Seconds wait = 0, bool over = false);
  void GiveUp(Member& member, Outcome if_written, Outcome if_not);
  bool AnyWaits() const;
  void EndIfSettled();

  net::EventLoop& loop_;
  net::HttpClient& client_;
  EndpointId endpoint_;
  sockaddr_in to_;
  std::vector<Member> members_;
  Owner& owner_;
  Seconds started_ = 0;
  LimitReport report_;
  Seconds stated_until_ = 0;  // the time that the request stated, in whole milliseconds
  Seconds answered_ = -1;     // when what says that it was served was read; negative: not yet
  int left_ = 0;              // messages in the request
  bool begun_ = false;        // the request went to the connection
  bool batch_ = false;        // it holds several messages
  bool over_ = false;
};

// A probe of an endpoint's health.
class Probing : private net::HttpClient::Call {
 public:
  using MayLeave = std::function<bool()>;  // asked just before the first byte
  using Done = std::function<void(Probing&, const ProbeOutcome&)>;
  Probing(net::EventLoop& loop, net::HttpClient& client, EndpointId endpoint, const sockaddr_in& to,
          Seconds longest, MayLeave may_leave, Done done);
  ~Probing() override;
  void Start();

 private:
  std::string OnReady() override;
  void OnAnswer(net::HttpMessage& answer) override;
  void OnBroken(net::HttpClient::Broken how, int status) override;
  void Finish(Outcome outcome, const LimitReport& report = {});

  net::EventLoop& loop_;
  net::HttpClient& client_;
  EndpointId endpoint_;
  sockaddr_in to_;
  Seconds longest_, started_ = 0;
  MayLeave may_leave_;
  Done done_;
  net::EventLoop::TimerId timer_ = 0;
  bool over_ = false;
};

}  // namespace opalroute
