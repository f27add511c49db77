// An experiment on state transfer: a second relay is started while the partner of the running one is down,
// with and without the running relay's state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace opalroute::lab {

struct StateTransferRun {
  std::uint64_t seed = 1;
  bool outage = true;
  // How the new relay gets the state of the running one.
  enum class Transfer { kNone, kTcp, kDatagrams, kStateFolder } transfer = Transfer::kNone;
  bool capacity_known = true;  // the endpoint list's weights tell the partner's capacity
};

// "The recovery" is the end of the partner's outage; without an outage, the new relay's start.
struct StateTransferResult {
  int new_relay_calls = 0;            // calls of the new relay in the first 2 s after the recovery
  int new_relay_calls_in_outage = 0;  // calls of the new relay before the recovery
  // Calls of the new relay during a Retry-After period that began, for any relay, before its start.
  int new_relay_calls_during_retry_after = 0;
  int calls_during_own_retry_after =
      0;  // calls of any relay during a Retry-After period that it was told itself
  int collapses = 0;
  int duplicate_payments = 0;  // payments that took effect twice
  // Priority weight of the requests due in the first 10 s after the recovery: of all of them, and of those
  // delivered within their latency objective.
  double weight_due = 0, weight = 0;
  int lost = 0;  // requests accepted, but neither delivered nor reported by a failure notification by the end
  std::vector<int> calls_by_second;  // calls that reached the partner, by second after the recovery
};

// `folder` is created for the run and removed at its end.
StateTransferResult RunStateTransfer(const StateTransferRun& run, const std::string& folder);

}  // namespace opalroute::lab
