// The endpoint list as the relay gets it, and the interface of whatever provides it: discovery over HTTP, or
// the list merged with DNS SRV.
#pragma once

#include <netinet/in.h>

#include <string>
#include <vector>

namespace opalroute {

// One endpoint of a destination.
struct EndpointRecord {
  enum class Status { kInService, kDraining, kRemoved };

  std::string id;
  std::string zone;
  std::string kind;
  sockaddr_in address{};
  long long destination = 0;
  Status status = Status::kInService;
  double weight = 0;  // the listed rating, requests a second; 0: none is listed
};

// The whole list, or what has changed of it.
struct EndpointListUpdate {
  bool complete = false;  // the whole list: endpoints that it does not name are removed
  bool from_list = true;  // false: another source has changed the set, and the list may not have arrived yet
  std::vector<EndpointRecord> endpoints;
  // A whole list that is older than one published before: draining endpoints do not return to service by it.
  bool stale = false;
  long long generation = 0;  // discovery's number of the list that this leads to; 0: none
};

class EndpointSource {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnEndpointList(const EndpointListUpdate& update) = 0;
    virtual void OnListConfirmed() {}  // the watch reports that nothing has changed
    virtual void OnWatchFailed() = 0;  // an attempt to watch has failed, or the watch has ended
  };

  virtual ~EndpointSource() = default;
  // On: begins one more attempt to watch the list; an established watch goes on until the attempt has
  // delivered the list. Off: ends all watches and attempts.
  virtual void Watch(bool on) = 0;
};

}  // namespace opalroute
