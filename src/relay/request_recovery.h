// Recovers requests that another process of this relay had accepted and left unfinished: an earlier process,
// or the other process of a hot restart once it has ended. Reads them from the journals and posts them to the
// decision module.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/operator_settings.h"
#include "hot_restart/process_lock.h"
#include "journal/journal.h"
#include "journal/persistent_clock.h"
#include "log/line_limiter.h"
#include "metrics/counters.h"
#include "notification/failure_notifier.h"
#include "relay/decision_loop.h"
#include "relay/endpoint_table.h"
#include "relay/request_ending.h"
#include "relay/request_table.h"

namespace opalroute {

// The name of a process slot's journal file in the state folder.
std::string JournalName(int process_slot);

// The disk space, in bytes, for the journal of one process. With hot restart, where two processes may run at
// once, each gets half.
std::size_t JournalBudget(const Config& config, const OperatorSettings& settings);

class RequestRecovery {
 public:
  struct Dependencies {
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
  // `other_journal_budget` is the size limit with which the other process opened its journal.
  RequestRecovery(const Dependencies& dependencies, std::size_t other_journal_budget);

  // Recovers all recorded requests. Called once at startup, before anything is sent.
  void RecoverAll();
  // Takes over the requests of the other process if it has ended. Does nothing while that process runs, or if
  // its journal is empty.
  void RecoverFromOtherProcess();
  // Takes up a request of this process again whose end has come into doubt. All its attempts that may have
  // run restrict the further ones. Returns the new id of the request, or 0 if it is not in the journal.
  RequestId Reopen(const std::string& client_id);

 private:
  std::vector<std::uint64_t> AdoptOtherJournal();
  // Why a request is taken up.
  enum class Cause { kRestart, kHotRestart, kDoubt };
  static const char* NameOf(Cause cause);
  // Returns the new id of the request, or 0 if only its notification is still to be delivered.
  RequestId Recover(const JournalEntry& entry, Cause cause);
  void LogTakenUp(const JournalEntry& entry, Cause cause);
  NewRequest ToNewRequest(const JournalEntry& entry, std::int64_t now);
  EarlierAttempt ToEarlierAttempt(const JournalAttempt& attempt, std::int64_t now);

  const Dependencies dependencies_;
  const std::size_t other_journal_budget_;
  log::LineLimiter taken_up_lines_;
};

}  // namespace opalroute
