#include "relay/request_intake.h"

#include <utility>

namespace opalroute {
namespace {

bool IsRepeatOf(const AcceptedRequest& accepted, const ClientRequest& request) {
  return accepted.key == request.key && accepted.body == request.body &&
         accepted.destination == request.destination;
}

}  // namespace

RequestIntake::RequestIntake(const Dependencies& dependencies, std::function<bool()> ready)
    : dependencies_(dependencies), ready_(std::move(ready)) {}

AcceptResult RequestIntake::Accept(ClientRequest&& request, std::uint64_t& ticket) {
  if (AcceptedRequest* accepted = dependencies_.requests.FindByClientId(request.id)) {
    if (!IsRepeatOf(*accepted, request)) return AcceptResult::kIdInUse;
    accepted->accepted_again = true;
    return AcceptResult::kAccepted;
  }
  switch (dependencies_.requests.FindEnded(request)) {
    case RequestTable::EndedAs::kSame:
      return AcceptResult::kAccepted;  // it may have run, and is over
    case RequestTable::EndedAs::kOther:
      return AcceptResult::kIdInUse;
    case RequestTable::EndedAs::kUnknown:
      break;
  }
  if (!accepting_) return AcceptResult::kStopping;
  if (!dependencies_.endpoints.Serves(request.destination)) {
    return list_is_current_ ? AcceptResult::kUnknownDestination : AcceptResult::kListNotYetCurrent;
  }
  if (dependencies_.requests.open() >= dependencies_.config.limits.open_requests)
    return AcceptResult::kAtCapacity;
  NewRequest accepted;
  accepted.request_class = request.request_class;
  accepted.tenant = request.tenant;
  accepted.remaining_time = request.remaining_time;
  accepted.destination = request.destination;
  accepted.request_id = dependencies_.requests.Accept(std::move(request));
  const bool recorded = accepted.request_id != 0;
  if (!recorded) return AcceptResult::kNotRecorded;
  ++dependencies_.counters.accepted;
  ticket = accepted.request_id;
  dependencies_.decisions.Post(std::move(accepted));
  return AcceptResult::kAccepted;
}

// Invariant: a request whose id is answered 202 when it comes again is brought to an end. So only a request
// that nobody was told of, and that no endpoint may have run, is dropped, and its id with it.
void RequestIntake::Abort(std::uint64_t ticket) {
  AcceptedRequest* request = dependencies_.requests.Find(ticket);
  if (request == nullptr || request->ended) return;
  ++dependencies_.counters.lost_responses;
  if (request->accepted_again || dependencies_.requests.MayHaveRun(*request)) return;
  ++dependencies_.counters.aborted;
  dependencies_.requests.ReleaseClientId(*request);
  dependencies_.calls.EndWithoutOutcome(ticket);
}

}  // namespace opalroute
