#include "relay/request_table.h"

#include <cerrno>
#include <cstring>
#include <utility>

#include "log/log.h"

namespace opalroute {

RequestTable::RequestTable(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                           Counters& counters, Journal& journal)
    : loop_(loop), clock_(clock), config_(config), counters_(counters), journal_(journal) {}

AcceptedRequest* RequestTable::Find(RequestId message) {
  const auto it = transactions_.find(message);
  return it == transactions_.end() ? nullptr : &it->second;
}

AcceptedRequest* RequestTable::FindByClientId(const std::string& id) {
  const auto it = names_.find(id);
  return it == names_.end() ? nullptr : &transactions_.at(it->second);
}

AcceptedRequest& RequestTable::Add(RequestId message, AcceptedRequest&& transaction) {
  names_[transaction.id] = message;
  ++open_;
  return transactions_[message] = std::move(transaction);
}

void RequestTable::Recorded(bool written) {
  if (!written) ++counters_.journal_failures;
  if (std::exchange(journal_fails_, !written) == !written) return;
  if (written) return log::Info("journal_writes_again", {{"failures", counters_.journal_failures}});
  log::Error("journal_write_failed", {{"why", std::strerror(errno)}, {"open", open_}});
}

RequestId RequestTable::Accept(ClientRequest&& request) {
  JournalEntry entry;
  entry.id = request.id;
  entry.request_class = config_.classes[request.request_class];
  if (request.tenant) entry.tenant = config_.tenants[*request.tenant];
  entry.key = request.key;
  entry.body = request.body;
  entry.destination = request.destination;
  entry.deadline = clock_.Micros() + static_cast<std::int64_t>(request.remaining_time * 1e6);
  if (!journal_.RecordAccepted(entry)) return 0;
  AcceptedRequest t;
  t.id = std::move(request.id);
  t.key = std::move(request.key);
  t.body = std::move(request.body);
  t.request_class = request.request_class;
  t.destination = request.destination;
  t.deadline = loop_.Now() + request.remaining_time;
  Add(++last_, std::move(t));
  return last_;
}

RequestId RequestTable::Recover(const JournalEntry& entry, Seconds remaining) {
  AcceptedRequest t;
  t.id = entry.id;
  t.key = entry.key;
  t.body = entry.body;
  t.request_class = IndexOf(config_.classes, entry.request_class);
  t.destination = entry.destination;
  t.deadline = loop_.Now() + remaining;
  for (std::size_t i = 0; i < entry.attempts.size(); ++i) t.journal_attempts.push_back(t.records++);
  Add(++last_, std::move(t));
  return last_;
}

bool RequestTable::RecordAttempt(AcceptedRequest& t, int attempt, const JournalAttempt& record) {
  const bool written = journal_.RecordAttempt(t.id, record);
  Recorded(written);
  if (written) t.journal_attempts[static_cast<std::size_t>(attempt)] = t.records++;
  return written;
}

void RequestTable::RecordNotExecuted(const AcceptedRequest& t, int attempt) {
  const int record = t.journal_attempts[static_cast<std::size_t>(attempt)];
  if (record >= 0) Recorded(journal_.RecordNotExecuted(t.id, static_cast<std::size_t>(record)));
}

void RequestTable::End(AcceptedRequest& t) {
  t.ended = true;
  --open_;
  Recorded(journal_.RecordEnd(t.id));
}

void RequestTable::EndWithNotification(AcceptedRequest& t, const std::string& notice) {
  t.ended = true;
  --open_;
  Recorded(journal_.RecordEndWithNotification(t.id, notice));
}

void RequestTable::ForgetIfDone(RequestId message) {
  const auto it = transactions_.find(message);
  if (it == transactions_.end() || !it->second.ended || it->second.attempts_in_flight > 0) return;
  names_.erase(it->second.id);
  transactions_.erase(it);
}

}  // namespace opalroute
