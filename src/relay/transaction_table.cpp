#include "relay/transaction_table.h"

#include <cerrno>
#include <cstring>
#include <utility>

#include "log/log.h"

namespace opalroute {

TransactionTable::TransactionTable(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                                   Counters& counters, Journal& journal)
    : loop_(loop), clock_(clock), config_(config), counters_(counters), journal_(journal) {}

Transaction* TransactionTable::Find(MessageId message) {
  const auto it = transactions_.find(message);
  return it == transactions_.end() ? nullptr : &it->second;
}

Transaction* TransactionTable::FindByName(const std::string& id) {
  const auto it = names_.find(id);
  return it == names_.end() ? nullptr : &transactions_.at(it->second);
}

Transaction& TransactionTable::Add(MessageId message, Transaction&& transaction) {
  names_[transaction.id] = message;
  ++open_;
  return transactions_[message] = std::move(transaction);
}

void TransactionTable::Recorded(bool written) {
  if (!written) ++counters_.journal_failures;
  if (std::exchange(journal_fails_, !written) == !written) return;
  if (written) return log::Info("journal_writes_again", {{"failures", counters_.journal_failures}});
  log::Error("journal_write_failed", {{"why", std::strerror(errno)}, {"open", open_}});
}

MessageId TransactionTable::TakeOn(ClientRequest&& request) {
  JournalEntry entry;
  entry.id = request.id;
  entry.message_class = config_.classes[request.message_class];
  if (request.tenant) entry.tenant = config_.tenants[*request.tenant];
  entry.key = request.key;
  entry.body = request.body;
  entry.destination = request.destination;
  entry.deadline = clock_.Micros() + static_cast<std::int64_t>(request.remaining * 1e6);
  if (!journal_.TakeOn(entry)) return 0;
  Transaction t;
  t.id = std::move(request.id);
  t.key = std::move(request.key);
  t.body = std::move(request.body);
  t.message_class = request.message_class;
  t.destination = request.destination;
  t.deadline = loop_.Now() + request.remaining;
  Add(++last_, std::move(t));
  return last_;
}

MessageId TransactionTable::Restore(const JournalEntry& entry, Seconds remaining) {
  Transaction t;
  t.id = entry.id;
  t.key = entry.key;
  t.body = entry.body;
  t.message_class = IndexOf(config_.classes, entry.message_class);
  t.destination = entry.destination;
  t.deadline = loop_.Now() + remaining;
  for (std::size_t i = 0; i < entry.attempts.size(); ++i) t.journaled.push_back(t.records++);
  Add(++last_, std::move(t));
  return last_;
}

bool TransactionTable::RecordAttempt(Transaction& t, int attempt, const JournalAttempt& record) {
  const bool written = journal_.Attempt(t.id, record);
  Recorded(written);
  if (written) t.journaled[static_cast<std::size_t>(attempt)] = t.records++;
  return written;
}

void TransactionTable::RecordNeverRan(const Transaction& t, int attempt) {
  const int record = t.journaled[static_cast<std::size_t>(attempt)];
  if (record >= 0) Recorded(journal_.NeverRan(t.id, static_cast<std::size_t>(record)));
}

void TransactionTable::End(Transaction& t) {
  t.over = true;
  --open_;
  Recorded(journal_.End(t.id));
}

void TransactionTable::EndWith(Transaction& t, const std::string& notice) {
  t.over = true;
  --open_;
  Recorded(journal_.EndWith(t.id, notice));
}

void TransactionTable::ForgetIfDone(MessageId message) {
  const auto it = transactions_.find(message);
  if (it == transactions_.end() || !it->second.over || it->second.out > 0) return;
  names_.erase(it->second.id);
  transactions_.erase(it);
}

}  // namespace opalroute
