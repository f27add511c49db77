// All requests that the router knows: those it holds, and ended ones with attempts in flight.
#pragma once

#include <map>

#include "decision/request.h"

namespace opalroute::decision {

// Owns the requests.
class RequestTable {
 public:
  // Null if the request is unknown.
  Request* Find(RequestId id);
  const Request* Find(RequestId id) const;
  Request& At(RequestId id) { return requests_.at(id); }
  Request& Add(const NewRequest& request);
  void Remove(RequestId id) { requests_.erase(id); }

 private:
  std::map<RequestId, Request> requests_;
};

}  // namespace opalroute::decision
