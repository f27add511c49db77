// The transactions that the relay has taken on, and their records in the journal. A record is written before
// what it stands for: taken on before the 202, an attempt before its call's first byte.
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
  std::string id, key, body;
  int request_class = -1;  // -1: the settings have lost it
  DestinationId destination = 0;
  Seconds deadline = 0;
  int attempts_in_flight = 0;         // attempts without an outcome
  std::vector<int> journal_attempts;  // by attempt: its number in the journal, or -1
  int records = 0;                    // attempts in the journal
  bool ended = false;
};

class RequestTable {
 public:
  RequestTable(net::EventLoop& loop, const PersistentClock& clock, const Config& config, Counters& counters,
               Journal& journal);

  AcceptedRequest* Find(RequestId message);
  AcceptedRequest& At(RequestId message) { return transactions_.at(message); }
  AcceptedRequest* FindByClientId(const std::string& id);  // as the client named it
  int open() const { return open_; }                       // not over

  // 0: it could not be recorded, and so is not taken on.
  RequestId Accept(ClientRequest&& request);
  // One that an earlier process had taken on; `remaining` is what is left of its time.
  RequestId Recover(const JournalEntry& entry, Seconds remaining);

  // Each records first. RecordAttempt: false if it could not, and the attempt must not leave.
  bool RecordAttempt(AcceptedRequest& t, int attempt, const JournalAttempt& record);
  void RecordNotExecuted(const AcceptedRequest& t, int attempt);
  void End(AcceptedRequest& t);  // nothing more is owed
  void EndWithNotification(AcceptedRequest& t, const std::string& notice);

  // The name of a message that is over and has nothing out is not needed any more.
  void ForgetIfDone(RequestId message);

 private:
  AcceptedRequest& Add(RequestId message, AcceptedRequest&& transaction);
  void Recorded(bool written);  // counts, and logs where that has changed

  net::EventLoop& loop_;
  const PersistentClock& clock_;
  const Config& config_;
  Counters& counters_;
  Journal& journal_;
  RequestId last_ = 0;
  std::map<RequestId, AcceptedRequest> transactions_;
  std::unordered_map<std::string, RequestId> names_;
  int open_ = 0;
  bool journal_fails_ = false;
};

}  // namespace opalroute
