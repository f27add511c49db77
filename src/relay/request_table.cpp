#include "relay/request_table.h"

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

#include "log/log.h"

namespace opalroute {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr std::size_t kRequestBytes = 2048;  // of a request's objects in all tables

// A request is held by the table and by the journal.
std::size_t HeldBytesOf(const JournalEntry& entry) {
  return kRequestBytes + 2 * (entry.id.size() + entry.key.size() + entry.body.size());
}

bool HasAttemptThatMayHaveRun(const JournalEntry& entry) {
  return std::any_of(entry.attempts.begin(), entry.attempts.end(),
                     [](const JournalAttempt& attempt) { return attempt.may_have_run; });
}

}  // namespace

RequestTable::RequestTable(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                           Counters& counters, net::MemoryBudget& memory, Journal& journal,
                           EndedRequests& ended)
    : loop_(loop),
      clock_(clock),
      config_(config),
      counters_(counters),
      memory_(memory),
      journal_(journal),
      ended_(ended) {}

AcceptedRequest* RequestTable::Find(RequestId request_id) {
  const auto it = requests_.find(request_id);
  return it == requests_.end() ? nullptr : &it->second;
}

AcceptedRequest* RequestTable::FindByClientId(const std::string& client_id) {
  const auto it = by_client_id_.find(client_id);
  return it == by_client_id_.end() ? nullptr : &requests_.at(it->second);
}

RequestId RequestTable::CurrentId(const std::string& client_id) const {
  const auto it = by_client_id_.find(client_id);
  return it == by_client_id_.end() ? 0 : it->second;
}

RequestId RequestTable::Add(AcceptedRequest&& request) {
  ++last_id_;
  by_client_id_[request.id] = last_id_;
  ++open_;
  requests_[last_id_] = std::move(request);
  return last_id_;
}

void RequestTable::OnJournalWrite(bool written) {
  if (!written) ++counters_.journal_failures;
  if (std::exchange(journal_failing_, !written) == !written) return;
  if (written) return log::Info("journal_write_recovered", {{"failures", counters_.journal_failures}});
  log::Error("journal_write_failed",
             {{"why", std::generic_category().message(errno)}, {"open_requests", open_}});
}

RequestId RequestTable::Accept(ClientRequest&& request) {
  JournalEntry entry;
  entry.id = request.id;
  entry.request_class = config_.classes[request.request_class];
  if (request.tenant) entry.tenant = config_.tenants[*request.tenant];
  entry.key = request.key;
  entry.body = request.body;
  entry.destination = request.destination;
  entry.deadline = clock_.Micros() + static_cast<std::int64_t>(request.remaining_time * kMicrosPerSecond);
  const std::size_t held_bytes = HeldBytesOf(entry);
  if (!memory_.TryHold(net::MemoryOwner::kRequests, held_bytes)) return 0;
  if (!journal_.RecordAccepted(entry)) {
    memory_.Release(net::MemoryOwner::kRequests, held_bytes);
    return 0;
  }
  AcceptedRequest accepted;
  accepted.held_bytes = held_bytes;
  accepted.id = std::move(request.id);
  accepted.key = std::move(request.key);
  accepted.body = std::move(request.body);
  accepted.request_class = request.request_class;
  accepted.destination = request.destination;
  accepted.deadline = loop_.Now() + request.remaining_time;
  return Add(std::move(accepted));
}

RequestId RequestTable::Recover(const JournalEntry& entry, Seconds remaining) {
  AcceptedRequest recovered;
  recovered.id = entry.id;
  recovered.key = entry.key;
  recovered.body = entry.body;
  recovered.request_class = IndexOf(config_.classes, entry.request_class);
  recovered.destination = entry.destination;
  recovered.deadline = loop_.Now() + remaining;
  recovered.held_bytes = HeldBytesOf(entry);
  memory_.Hold(net::MemoryOwner::kRequests, recovered.held_bytes);
  for (std::size_t i = 0; i < entry.attempts.size(); ++i)
    recovered.journal_attempts.push_back(recovered.recorded_attempts++);
  return Add(std::move(recovered));
}

bool RequestTable::RecordAttempt(AcceptedRequest& request, int attempt, const JournalAttempt& record) {
  const bool written = journal_.RecordAttempt(request.id, record);
  OnJournalWrite(written);
  if (written) request.journal_attempts[static_cast<std::size_t>(attempt)] = request.recorded_attempts++;
  return written;
}

void RequestTable::RecordNotExecuted(const AcceptedRequest& request, int attempt) {
  if (request.may_be_over) return;  // its attempts do not matter any more
  const int record = request.journal_attempts[static_cast<std::size_t>(attempt)];
  if (record < 0) return;
  OnJournalWrite(journal_.RecordNotExecuted(request.id, static_cast<std::size_t>(record)));
}

void RequestTable::MarkEnded(AcceptedRequest& request) {
  request.ended = true;
  --(request.awaits_confirmation ? awaiting_confirmation_ : open_);
}

RequestTable::EndedAs RequestTable::FindEnded(const ClientRequest& request) const {
  const auto content = ended_.Find(request.id, clock_.Micros());
  if (!content) return EndedAs::kUnknown;
  const bool same = *content == HashRequestContent(request.key, request.body, request.destination);
  return same ? EndedAs::kSame : EndedAs::kOther;
}

bool RequestTable::MayHaveRun(const AcceptedRequest& request) const {
  const JournalEntry* entry = journal_.FindEntry(request.id);
  return request.may_be_over || (entry != nullptr && HasAttemptThatMayHaveRun(*entry));
}

// Before its end is recorded: no process may take the id for a new one in between.
void RequestTable::RememberIfMayHaveRun(const AcceptedRequest& request) {
  const JournalEntry* entry = journal_.FindEntry(request.id);
  if (entry == nullptr || !HasAttemptThatMayHaveRun(*entry)) return;
  const auto least = static_cast<std::int64_t>(config_.limits.min_remembered_time * kMicrosPerSecond);
  const std::int64_t until = std::max(entry->deadline, clock_.Micros() + least);
  const std::uint64_t content = HashRequestContent(request.key, request.body, request.destination);
  OnJournalWrite(ended_.Add(request.id, content, until));
}

void RequestTable::AwaitConfirmation(AcceptedRequest& request) {
  request.awaits_confirmation = true;
  --open_;
  ++awaiting_confirmation_;
}

void RequestTable::Supersede(AcceptedRequest& request) { MarkEnded(request); }

void RequestTable::End(AcceptedRequest& request) {
  RememberIfMayHaveRun(request);
  MarkEnded(request);
  OnJournalWrite(journal_.RecordEnd(request.id));
}

void RequestTable::RecordMayBeOver(AcceptedRequest& request, const std::string& notification) {
  if (std::exchange(request.may_be_over, true)) return;
  OnJournalWrite(journal_.RecordEndWithNotification(request.id, notification));
}

void RequestTable::EndWithNotification(AcceptedRequest& request, const std::string& notification) {
  RememberIfMayHaveRun(request);
  MarkEnded(request);
  OnJournalWrite(journal_.RecordEndWithNotification(request.id, notification));
}

void RequestTable::ReleaseClientId(const AcceptedRequest& request) {
  const auto by_id = by_client_id_.find(request.id);
  if (by_id != by_client_id_.end() && &requests_.at(by_id->second) == &request) by_client_id_.erase(by_id);
}

void RequestTable::RemoveIfDone(RequestId request_id) {
  const auto it = requests_.find(request_id);
  if (it == requests_.end()) return;
  const AcceptedRequest& request = it->second;
  if (!request.ended || request.attempts_in_flight > 0) return;
  ReleaseClientId(request);
  memory_.Release(net::MemoryOwner::kRequests, request.held_bytes);
  requests_.erase(it);
}

}  // namespace opalroute
