// Where the pool's list comes from; discovery over HTTP is one such source.
#pragma once

#include <netinet/in.h>

#include <string>
#include <vector>

namespace opalroute {

struct EndpointRecord {
  enum class Status { kInService, kDraining, kRemoved };
  std::string id, zone, kind;
  sockaddr_in address{};
  long long destination = 0;
  Status status = Status::kInService;
  double weight = 0;
};

struct EndpointListUpdate {
  bool complete = false;  // else only what has changed
  bool from_list = true;  // else another source has spoken, and the list may not have come yet
  std::vector<EndpointRecord> endpoints;
  bool stale = false;        // a whole list that goes back behind what was told: it takes no drain back
  long long generation = 0;  // discovery's number of the list that this leads to; 0: none
};

class EndpointSource {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnEndpointList(const EndpointListUpdate& news) = 0;
    virtual void OnListConfirmed() {}  // the watch says that nothing has changed
    virtual void OnWatchFailed() = 0;  // a try to watch has failed, or the watch has ended
  };

  virtual ~EndpointSource() = default;
  // Begins one more try to watch the list, or ends all watching. A watch that stands goes on until the try
  // has brought the list.
  virtual void Watch(bool on) = 0;
};

}  // namespace opalroute
