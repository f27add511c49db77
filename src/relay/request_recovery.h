// Requests that an earlier process of this relay had accepted, or a process beside this one that has ended:
// takes them over from the journals and hands them to the decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/operator.h"
#include "hot_restart/process_lock.h"
#include "journal/journal.h"
#include "journal/persistent_clock.h"
#include "metrics/counters.h"
#include "notification/failure_notifier.h"
#include "relay/decision_loop.h"
#include "relay/endpoint_table.h"
#include "relay/request_ending.h"
#include "relay/request_table.h"

namespace opalroute {

// The file name, in the state folder, of the journal of a process slot.
std::string JournalName(int process_slot);

// The bytes of disk that one process's journal may take. Where another process may run beside this one, each
// has half.
std::size_t JournalBudget(const Config& config, const Operator& settings);

class RequestRecovery {
 public:
  struct Parts {
    const Config& config;
    const PersistentClock& clock;
    hot_restart::ProcessLock& process_lock;
    Journal& journal;
    Counters& counters;
    EndpointTable& endpoints;
    RequestTable& requests;
    DecisionLoop& decisions;
    FailureNotifier& notifier;
    RequestEnding& ending;
  };
  // `other_journal_budget`: as the other process's journal was opened with.
  RequestRecovery(const Parts& parts, std::size_t other_journal_budget);

  // At the start, before anything is sent.
  void RecoverAll();
  // Takes over from the other process if that has ended; does nothing if it runs or has left nothing.
  void RecoverFromOtherProcess();

 private:
  std::vector<std::uint64_t> AdoptOtherJournal();
  void Recover(const JournalEntry& entry);
  NewRequest RequestOf(const JournalEntry& entry, std::int64_t now);
  EarlierAttempt AttemptOf(const JournalAttempt& attempt, std::int64_t now);

  const Parts parts_;
  const std::size_t other_journal_budget_;
};

}  // namespace opalroute
