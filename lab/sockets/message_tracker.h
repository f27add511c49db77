// Tracks each message of a run on sockets from both sides: what clients submit, what endpoints receive and
// what the platform is notified of. Reports it to the auditor and the tally, and does no input or output
// itself.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "lab/auditor.h"
#include "lab/tally.h"
#include "lab/traffic.h"

namespace opalroute::lab {

class MessageTracker {
 public:
  MessageTracker(const World& world, Auditor& auditor, Tally& tally)
      : world_(world), scenario_(world.scenario()), auditor_(auditor), tally_(tally) {}

  // Adds a client's message and returns its index. It may be submitted several times.
  std::size_t AddMessage(const Arrival& arrival);
  const Arrival& arrival(std::size_t message) const { return messages_[message].arrival; }
  Seconds DeadlineOf(std::size_t message) const;
  bool delivered(std::size_t message) const { return messages_[message].delivered; }

  // The message is sent to a relay. Returns the request's id: each submission has its own, counted from 1.
  std::uint64_t Submit(Seconds now, int relay, std::size_t message);
  void OnAccepted(Seconds now, std::uint64_t id);  // the client has read 202 or 200
  void OnRejected(Seconds now, std::uint64_t id);
  void OnFailed(Seconds now, std::uint64_t id);
  void OnWithdrawn(Seconds now, std::uint64_t id);  // the client got no response in time, or no connection
  // The platform was notified by a relay. Ignored if the request has already ended.
  enum class Notification { kFailed, kRejected };
  void OnNotification(Seconds now, std::uint64_t id, Notification notification, Seconds retry_after);
  // Called when an accepted request is rejected, with the wait that the relay advised (0: none).
  std::function<void(std::size_t message, Seconds retry_after)> on_rejected_after_accept;

  // An endpoint has read the last byte of a request's attempt. Returns the attempt's number, from 0; or
  // kRepeat if the request was delivered and may be repeated: the endpoint states so once more, and does not
  // execute it; or kVoid if it has ended otherwise or is unknown.
  static constexpr int kVoid = -1;
  static constexpr int kRepeat = -2;
  int OnAttemptArrived(Seconds now, int relay, std::uint64_t id, EndpointId endpoint);
  // An endpoint has written to a relay that a request in time is over. It must not be sent again.
  void OnWithdrawnByEndpoint(Seconds now, std::uint64_t id);
  // The relay is frozen and learns of no request's end before `until`.
  void OnRelayFrozen(int relay, Seconds until);
  // The relay was killed, and may not have read what was written to it just before.
  void OnRelayKilled(Seconds now, int relay) { killed_at_[relay] = now; }
  void OnExecuted(Seconds now, std::uint64_t id);
  // The endpoint has written its response, or the connection ended first.
  void OnAttemptEnded(Seconds now, std::uint64_t id, int attempt, Outcome outcome);

  std::size_t open() const { return open_; }  // submissions that have not ended

  // The relay's next process has started. Requests that the relay had accepted and not yet sent to an
  // endpoint count as found untried if at most half of the time to their deadline has passed.
  void OnRelayRestarted(Seconds now, int relay);
  // Over all restarts: requests found untried, and those of them that a notification ended early, before any
  // attempt.
  int untried() const { return untried_; }
  int untried_ended() const { return untried_ended_; }

 private:
  struct Message {
    Arrival arrival;
    bool delivered = false;
  };
  struct Submission {
    std::size_t message = 0;
    Seconds ended_at = 0;
    int relay = 0;
    int attempts = 0;
    bool found_untried = false;
    bool accepted = false, served = false, ended = false;
    bool withdrawn = false;              // by its client
    bool withdrawn_by_endpoint = false;  // the relay was told so
  };
  Submission* Find(std::uint64_t id) {
    return id >= 1 && id <= submissions_.size() ? &submissions_[id - 1] : nullptr;
  }
  // When the given share of the time from the message's arrival to its deadline has passed.
  Seconds TimeAtShare(std::size_t message, double share) const;
  bool MayArriveAfterEnd(Seconds now, int relay, const Submission& submission) const;
  bool MayBeResent(Seconds now, const Submission& submission) const;
  void End(Seconds now, std::uint64_t id, Submission& submission, Auditor::End end);

  const World& world_;
  const Scenario& scenario_;
  Auditor& auditor_;
  Tally& tally_;
  std::vector<Message> messages_;
  std::vector<Submission> submissions_;  // by id, which counts from 1
  std::map<int, Seconds> frozen_until_;  // by relay
  std::map<int, Seconds> killed_at_;     // by relay: the latest kill
  std::size_t open_ = 0;
  int untried_ = 0, untried_ended_ = 0;
};

}  // namespace opalroute::lab
