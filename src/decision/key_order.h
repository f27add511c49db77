// Sends the requests of an ordering key one at a time, in the order of receipt. A key is paused after an
// attempt that may still be running at its endpoint.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "decision/context.h"
#include "decision/request_table.h"

namespace opalroute::decision {

// Owns the queue and the pause of each ordering key.
class KeyOrder {
 public:
  KeyOrder(const DecisionContext& context, const RequestTable& requests);

  // Queues the request behind the earlier requests of its key.
  void Append(Request& request);
  // Holds back the key's next request until `until`.
  void Pause(const std::string& ordering_key, Seconds until);
  // Removes finished requests from the front of the key's queue. Returns the next request if it may be sent
  // now.
  std::optional<RequestId> Advance(const std::string& ordering_key);
  // Removes a pause that has ended and returns its key; nothing if no pause has ended.
  std::optional<std::string> TakeDuePause();
  Seconds NextDue() const;  // kNever: no key is paused

 private:
  struct KeyQueue {
    std::deque<RequestId> requests;
    Seconds paused_until = -kNever;
  };
  struct KeyPause {
    Seconds until = 0;
    std::string ordering_key;
    bool operator<(const KeyPause& other) const;
  };

  bool IsFinished(RequestId id) const;

  const DecisionContext& context_;
  const RequestTable& requests_;
  std::map<std::string, KeyQueue> queues_;
  std::set<KeyPause> pauses_;
};

}  // namespace opalroute::decision
