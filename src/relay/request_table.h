// The accepted requests and their records in the journal. A record is written before what it stands for:
// `accepted` before the 202, `attempt` before the first byte of its call.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "ingress/request_listener.h"
#include "journal/journal.h"
#include "journal/persistent_clock.h"
#include "metrics/counters.h"
#include "net/event_loop.h"
#include "opalroute/events.h"

namespace opalroute {

struct AcceptedRequest {
  std::string id;  // the client's
  std::string key;
  std::string body;
  int request_class = -1;  // -1: the settings have it no more
  DestinationId destination = 0;
  Seconds deadline = 0;               // the event loop's clock
  int attempts_in_flight = 0;         // without an outcome yet
  std::vector<int> journal_attempts;  // by attempt: its index in the journal, or -1
  int records = 0;                    // attempts in the journal
  bool ended = false;
};

class RequestTable {
 public:
  RequestTable(net::EventLoop& loop, const PersistentClock& clock, const Config& config, Counters& counters,
               Journal& journal);

  AcceptedRequest* Find(RequestId request_id);  // null: there is none
  AcceptedRequest& At(RequestId request_id) { return requests_.at(request_id); }
  AcceptedRequest* FindByClientId(const std::string& client_id);
  int open() const { return open_; }  // requests that have not ended

  // Returns the id of the new request; 0 if it could not be recorded, and so is not accepted.
  RequestId Accept(ClientRequest&& request);
  // Adds a request that an earlier process accepted; `remaining`: until its deadline.
  RequestId Recover(const JournalEntry& entry, Seconds remaining);

  // Records an attempt before it is sent. False: it is not recorded, and must not be sent.
  bool RecordAttempt(AcceptedRequest& request, int attempt, const JournalAttempt& record);
  void RecordNotExecuted(const AcceptedRequest& request, int attempt);

  // Ends a request, with or without a notification that the platform must still get. What can't be recorded
  // now, the journal writes later.
  void End(AcceptedRequest& request);
  void EndWithNotification(AcceptedRequest& request, const std::string& notification);

  // Forgets a request that has ended and has no attempt in flight; others stay.
  void ForgetIfDone(RequestId request_id);

 private:
  RequestId Add(AcceptedRequest&& request);
  void OnRecorded(bool written);  // counts failures, logs the first of several and the end of them

  net::EventLoop& loop_;
  const PersistentClock& clock_;
  const Config& config_;
  Counters& counters_;
  Journal& journal_;
  RequestId last_id_ = 0;
  std::map<RequestId, AcceptedRequest> requests_;
  std::unordered_map<std::string, RequestId> by_client_id_;
  int open_ = 0;
  bool journal_fails_ = false;
};

}  // namespace opalroute
