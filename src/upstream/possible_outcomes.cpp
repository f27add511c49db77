#include "upstream/possible_outcomes.h"

#include "decision/outcome.h"

namespace opalroute {

ResponseMeaning MeaningOf(Outcome outcome, bool request_ended) {
  if (outcome == Outcome::kServed) return ResponseMeaning::kDelivered;
  if (request_ended) return ResponseMeaning::kOver;
  return decision::ProvesNeverRan(outcome) ? ResponseMeaning::kNeverRan : ResponseMeaning::kMayHaveRun;
}

Verdict Judge(const PossibleOutcomes& possible) {
  const bool is_owed =
      possible.Contains(ResponseMeaning::kNeverRan) || possible.Contains(ResponseMeaning::kMayHaveRun);
  if (!is_owed) return Verdict::kEnded;
  if (possible.Contains(ResponseMeaning::kOver)) return Verdict::kMayBeOver;
  return possible.ConsistOf(ResponseMeaning::kNeverRan) ? Verdict::kNeverRan : Verdict::kMayHaveRun;
}

PossibleOutcomes PossibleOutcomesAt(int place, const std::vector<ReadResponse>& responses,
                                    const EndOfResponses& end) {
  PossibleOutcomes possible;
  bool is_last = true;
  for (const ReadResponse& response : responses) {
    if (response.place >= place) possible.Add(response.meaning);
    is_last = is_last && response.place <= place;
  }
  if (end.is_surplus || is_last) possible.Add(end.meaning);
  return possible;
}

}  // namespace opalroute
