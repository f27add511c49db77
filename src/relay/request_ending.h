// Ends accepted requests that could not be delivered: records the end and notifies the platform.
#pragma once

#include "config/config.h"
#include "metrics/counters.h"
#include "net/event_loop.h"
#include "notification/failure_notifier.h"
#include "relay/request_table.h"

namespace opalroute {

// The end of an accepted request that was not delivered.
enum class FinalOutcome {
  kFailed,    // `given_up` on the wire
  kRejected,  // `handed_back` on the wire: it was certainly not executed, and the client may send it again
};

class RequestEnding {
 public:
  RequestEnding(const net::EventLoop& loop, Counters& counters, RequestTable& requests,
                FailureNotifier& notifier);

  void Fail(RequestId request) { End(request, FinalOutcome::kFailed, 0); }
  // `retry_after`: seconds until the client may send the request again; 0 states no time.
  void Reject(RequestId request, Seconds retry_after) { End(request, FinalOutcome::kRejected, retry_after); }

  // Records that the request fails unless its end is recorded. It is not sent again, by no process.
  void RecordMayBeOver(RequestId request);

 private:
  void End(RequestId request, FinalOutcome outcome, Seconds retry_after);
  void Count(int request_class, FinalOutcome outcome);
  void LogEnd(const AcceptedRequest& request, FinalOutcome outcome) const;

  const net::EventLoop& loop_;
  Counters& counters_;
  RequestTable& requests_;
  FailureNotifier& notifier_;
};

}  // namespace opalroute
