// Requests of one ordering key go one at a time, in the order of receipt, with a pause after an attempt that
// may still run.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "decision/context.h"
#include "decision/request_table.h"

namespace opalroute::decision {

// Owns the queues and the pauses of ordering keys.
class KeyOrder {
 public:
  KeyOrder(const DecisionContext& context, const RequestTable& requests);

  // Queues the request behind earlier ones of its key.
  void Append(Request& request);
  // The key's next request may not go before `until`.
  void Pause(const std::string& key, Seconds until);
  // Drops requests of the key that have ended, and returns the next one if it may go now.
  std::optional<RequestId> Advance(const std::string& key);
  // A key whose pause is over, once.
  std::optional<std::string> TakeDuePause();
  Seconds NextDue() const;  // kNever: no key pauses

 private:
  struct KeyQueue {
    std::deque<RequestId> requests;
    Seconds paused_until = -kNever;
  };
  struct KeyPause {
    Seconds until = 0;
    std::string key;
    bool operator<(const KeyPause& other) const;
  };

  bool IsOver(RequestId id) const;

  const DecisionContext& context_;
  const RequestTable& requests_;
  std::map<std::string, KeyQueue> queues_;
  std::set<KeyPause> pauses_;
};

}  // namespace opalroute::decision
