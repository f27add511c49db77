// The transactions that the relay has taken on, and their records in the journal. A record is written before
// what it stands for: taken on before the 202, an attempt before its call's first byte.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "journal/journal.h"
#include "journal/persistent_clock.h"
#include "net/event_loop.h"
#include "opalroute/rules.h"
#include "relay/counters.h"
#include "relay/virtual_server.h"

namespace opalroute {

struct Transaction {
  std::string id, key, body;
  int message_class = -1;  // -1: the settings have lost it
  DestinationId destination = 0;
  Seconds deadline = 0;
  int out = 0;                 // attempts without an outcome
  std::vector<int> journaled;  // by attempt: its number in the journal, or -1
  int records = 0;             // attempts in the journal
  bool over = false;
};

class TransactionTable {
 public:
  TransactionTable(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                   Counters& counters, Journal& journal);

  Transaction* Find(MessageId message);
  Transaction& At(MessageId message) { return transactions_.at(message); }
  Transaction* FindByName(const std::string& id);  // as the client named it
  int open() const { return open_; }               // not over

  // 0: it could not be recorded, and so is not taken on.
  MessageId TakeOn(ClientRequest&& request);
  // One that an earlier process had taken on; `remaining` is what is left of its time.
  MessageId Restore(const JournalEntry& entry, Seconds remaining);

  // Each records first. RecordAttempt: false if it could not, and the attempt must not leave.
  bool RecordAttempt(Transaction& t, int attempt, const JournalAttempt& record);
  void RecordNeverRan(const Transaction& t, int attempt);
  void End(Transaction& t);  // nothing more is owed
  void EndWith(Transaction& t, const std::string& notice);

  // The name of a message that is over and has nothing out is not needed any more.
  void ForgetIfDone(MessageId message);

 private:
  Transaction& Add(MessageId message, Transaction&& transaction);
  void Recorded(bool written);  // counts, and logs where that has changed

  net::EventLoop& loop_;
  const PersistentClock& clock_;
  const Config& config_;
  Counters& counters_;
  Journal& journal_;
  MessageId last_ = 0;
  std::map<MessageId, Transaction> transactions_;
  std::unordered_map<std::string, MessageId> names_;
  int open_ = 0;
  bool journal_fails_ = false;
};

}  // namespace opalroute
