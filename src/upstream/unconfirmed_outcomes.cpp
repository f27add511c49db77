#include "upstream/unconfirmed_outcomes.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace opalroute {

void UnconfirmedOutcomes::AddResponse(std::uint64_t connection, const ReadResponse& response) {
  const auto it = connections_.find(connection);
  if (it != connections_.end()) it->second.responses.push_back(response);
}

void UnconfirmedOutcomes::Add(std::uint64_t connection, const UnconfirmedOutcome& outcome) {
  Connection& entry = connections_[connection];
  if (entry.responses.empty()) entry.responses.push_back({outcome.place, outcome.Meaning()});
  entry.confirmed_at = std::max(entry.confirmed_at, outcome.confirmed_at);
  entry.outcomes.push_back(outcome);
}

void UnconfirmedOutcomes::Reassign(RequestId from, RequestId to, const std::vector<int>& attempts) {
  for (auto& [number, connection] : connections_) {
    for (UnconfirmedOutcome& outcome : connection.outcomes) {
      if (outcome.request_id != from) continue;
      outcome.request_id = to;
      outcome.attempt = attempts[static_cast<std::size_t>(outcome.attempt)];
    }
  }
}

Seconds UnconfirmedOutcomes::DueOf(const Connection& connection, const UnconfirmedOutcome& outcome) {
  const Seconds latest = std::max(outcome.confirmed_at, outcome.deadline);
  return connection.has_call_in_flight ? latest : std::min(connection.confirmed_at, latest);
}

void UnconfirmedOutcomes::OnCallWritten(std::uint64_t connection) {
  const auto it = connections_.find(connection);
  if (it != connections_.end()) it->second.has_call_in_flight = true;
}

void UnconfirmedOutcomes::OnCallEnded(std::uint64_t connection) {
  const auto it = connections_.find(connection);
  if (it != connections_.end()) it->second.has_call_in_flight = false;
}

std::vector<UnconfirmedOutcome> UnconfirmedOutcomes::TakeConfirmed(Seconds now) {
  std::vector<UnconfirmedOutcome> confirmed;
  for (auto it = connections_.begin(); it != connections_.end();) {
    Connection& connection = it->second;
    std::vector<UnconfirmedOutcome> rest;
    for (const UnconfirmedOutcome& outcome : connection.outcomes)
      (DueOf(connection, outcome) <= now ? confirmed : rest).push_back(outcome);
    connection.outcomes = std::move(rest);
    it = connection.outcomes.empty() ? connections_.erase(it) : std::next(it);
  }
  return confirmed;
}

std::vector<JudgedOutcome> UnconfirmedOutcomes::TakeOf(std::uint64_t connection, const EndOfResponses& end) {
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return {};
  std::vector<JudgedOutcome> judged;
  for (const UnconfirmedOutcome& outcome : it->second.outcomes) {
    const PossibleOutcomes possible = PossibleOutcomesAt(outcome.place, it->second.responses, end);
    judged.push_back({outcome, Judge(possible)});
  }
  connections_.erase(it);
  return judged;
}

Seconds UnconfirmedOutcomes::NextDue() const {
  Seconds due = std::numeric_limits<Seconds>::infinity();
  for (const auto& [number, connection] : connections_) {
    for (const UnconfirmedOutcome& outcome : connection.outcomes) {
      due = std::min(due, DueOf(connection, outcome));
    }
  }
  return due;
}

}  // namespace opalroute
