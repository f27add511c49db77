// The accepted requests and their records in the journal. Each record is written ahead of the step that it
// describes: `accepted` before the 202 response, `attempt` before the first byte of the call.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "ingress/request_listener.h"
#include "journal/ended_requests.h"
#include "journal/journal.h"
#include "journal/persistent_clock.h"
#include "metrics/counters.h"
#include "net/event_loop.h"
#include "net/memory_budget.h"
#include "opalroute/events.h"

namespace opalroute {

struct AcceptedRequest {
  std::string id;  // the request id that the client chose
  std::string key;
  std::string body;
  int request_class = -1;  // -1: a recovered request whose class is no longer in the settings
  DestinationId destination = 0;
  Seconds deadline = 0;               // by the event loop's clock
  int attempts_in_flight = 0;         // attempts without an outcome
  std::vector<int> journal_attempts;  // for each attempt its index in the journal, or -1
  int recorded_attempts = 0;          // attempts in the journal
  std::vector<int> doubted_attempts;  // that counted as never run by responses that have come into doubt
  bool ended = false;
  // It counts as delivered, or as over at the endpoint, by a response that is not confirmed yet; the router
  // has let it go.
  bool awaits_confirmation = false;
  // An endpoint may have stated that it is over, so no process may send it again. Recorded, with the
  // notification that is owed if the statement was another request's.
  bool may_be_over = false;
  std::size_t held_bytes = 0;  // in the memory budget, here and in the journal

  // A copy of the request was answered 202 while it was open: a client relies on its end.
  bool accepted_again = false;

  bool IsOpen() const { return !ended && !awaits_confirmation; }
};

class RequestTable {
 public:
  RequestTable(net::EventLoop& loop, const PersistentClock& clock, const Config& config, Counters& counters,
               net::MemoryBudget& memory, Journal& journal, EndedRequests& ended);

  AcceptedRequest* Find(RequestId request_id);  // null if unknown
  AcceptedRequest& At(RequestId request_id) { return requests_.at(request_id); }
  AcceptedRequest* FindByClientId(const std::string& client_id);
  // Whether a request with this id has ended and may have run, and if so, whether it had this content.
  enum class EndedAs { kUnknown, kSame, kOther };
  EndedAs FindEnded(const ClientRequest& request) const;
  void ReadEndedOfOtherProcess() { ended_.ReadOtherSlot(); }
  // The request that has the client's id now, even if it was reopened; 0 if there is none.
  RequestId CurrentId(const std::string& client_id) const;
  int open() const { return open_; }  // requests that have not ended, and await no confirmation
  int awaiting_confirmation() const { return awaiting_confirmation_; }

  // Returns the id of the new request, or 0 if it could not be recorded, or there is no memory for it, and it
  // is therefore not accepted.
  RequestId Accept(ClientRequest&& request);
  // Adds a request that an earlier process accepted. `remaining` is the time until its deadline.
  RequestId Recover(const JournalEntry& entry, Seconds remaining);

  // Records an attempt before it is sent. Returns false if that failed; the attempt must then not be sent.
  bool RecordAttempt(AcceptedRequest& request, int attempt, const JournalAttempt& record);
  // Records that the endpoint has certainly not executed the attempt.
  void RecordNotExecuted(const AcceptedRequest& request, int attempt);

  // Ends a request; `notification` is still to be delivered to the platform. A record that can't be written
  // now is written by the journal later.
  void End(AcceptedRequest& request);
  // The request has probably ended. It is in the journal until End is called.
  void AwaitConfirmation(AcceptedRequest& request);
  // Records that the request is not to be sent again: unless its end is recorded, the next process only
  // notifies the platform.
  void RecordMayBeOver(AcceptedRequest& request, const std::string& notification);
  // Another entry of the table takes the place of a request that awaits confirmation. Nothing is recorded.
  void Supersede(AcceptedRequest& request);
  void EndWithNotification(AcceptedRequest& request, const std::string& notification);

  // Whether an endpoint may have run the request, or has stated that it is over.
  bool MayHaveRun(const AcceptedRequest& request) const;
  // The client's id may be taken by a new request, even while this one has attempts in flight.
  void ReleaseClientId(const AcceptedRequest& request);

  // Removes the request if it has ended and has no attempt in flight.
  void RemoveIfDone(RequestId request_id);

 private:
  RequestId Add(AcceptedRequest&& request);
  void MarkEnded(AcceptedRequest& request);
  void RememberIfMayHaveRun(const AcceptedRequest& request);
  // Counts failed journal writes; logs the first of a series and the first success after it.
  void OnJournalWrite(bool written);

  net::EventLoop& loop_;
  const PersistentClock& clock_;
  const Config& config_;
  Counters& counters_;
  net::MemoryBudget& memory_;
  Journal& journal_;
  EndedRequests& ended_;
  RequestId last_id_ = 0;
  std::map<RequestId, AcceptedRequest> requests_;
  std::unordered_map<std::string, RequestId> by_client_id_;
  int open_ = 0;
  int awaiting_confirmation_ = 0;
  bool journal_failing_ = false;
};

}  // namespace opalroute
