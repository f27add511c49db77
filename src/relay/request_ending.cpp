#include "relay/request_ending.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

#include "log/log.h"

namespace opalroute {
namespace {

constexpr double kMillisecondsPerSecond = 1000;

// The name of the outcome in a notification to the platform.
const char* WireNameOf(FinalOutcome outcome) {
  return outcome == FinalOutcome::kFailed ? "given_up" : "handed_back";
}

const char* NameOf(FinalOutcome outcome) { return outcome == FinalOutcome::kFailed ? "failed" : "rejected"; }

// One line of the body of a notification request to the platform.
std::string NotificationLine(const std::string& request, FinalOutcome outcome, Seconds retry_after) {
  nlohmann::ordered_json line = {{"message", request}, {"outcome", WireNameOf(outcome)}};
  if (retry_after > 0) {
    line["retry_in_ms"] = static_cast<long>(std::ceil(retry_after * kMillisecondsPerSecond));
  }
  return line.dump();
}

}  // namespace

RequestEnding::RequestEnding(const net::EventLoop& loop, Counters& counters, RequestTable& requests,
                             FailureNotifier& notifier)
    : loop_(loop), counters_(counters), requests_(requests), notifier_(notifier) {}

void RequestEnding::End(RequestId id, FinalOutcome outcome, Seconds retry_after) {
  AcceptedRequest* request = requests_.Find(id);
  if (request == nullptr || request->ended) return;
  Count(request->request_class, outcome);
  LogEnd(*request, outcome);
  const std::string line = NotificationLine(request->id, outcome, retry_after);
  requests_.EndWithNotification(*request, line);
  notifier_.Add(request->id, line);
  requests_.RemoveIfDone(id);
}

void RequestEnding::RecordMayBeOver(RequestId id) {
  AcceptedRequest* request = requests_.Find(id);
  if (request == nullptr || request->ended) return;
  requests_.RecordMayBeOver(*request, NotificationLine(request->id, FinalOutcome::kFailed, 0));
}

void RequestEnding::Count(int request_class, FinalOutcome outcome) {
  Counters::ClassCounters& of_class = counters_.ForClass(request_class);
  if (outcome == FinalOutcome::kFailed) {
    ++counters_.failed;
    ++of_class.failed;
  } else {
    ++counters_.rejected_after_accept;
    ++of_class.rejected;
  }
}

void RequestEnding::LogEnd(const AcceptedRequest& request, FinalOutcome outcome) const {
  if (!log::IsEnabled(log::Level::debug)) return;
  log::Debug("request_ended",
             {{"id", request.id},
              {"outcome", NameOf(outcome)},
              {"attempts", request.journal_attempts.size()},
              {"left_ms", std::lround((request.deadline - loop_.Now()) * kMillisecondsPerSecond)}});
}

}  // namespace opalroute
