// The endpoint list as the relay receives it, and the interface of its sources: the discovery service, or the
// list merged with DNS SRV records.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace opalroute {

// An endpoint of a destination, as a source describes it.
struct EndpointRecord {
  enum class Status { kInService, kDraining, kRemoved };

  std::string id;
  std::optional<std::string> zone;  // empty: the source does not know it
  std::optional<std::string> kind;  // the same
  sockaddr_in address{};
  long long destination = 0;
  Status status = Status::kInService;
  double weight = 0;  // rating, in requests per second; 0 if none is given
  // Unix time of the last start of its process, in milliseconds; 0: long ago, or not known.
  std::int64_t started_at_ms = 0;
};

// A complete list, or changes to the previous one.
struct EndpointListUpdate {
  bool complete = false;  // a complete list: endpoints that it does not name are removed
  bool from_list = true;  // false: changed by another source, perhaps before any list arrived
  std::vector<EndpointRecord> endpoints;
  // A complete list older than one published before. It must neither return draining endpoints to service nor
  // restore removed ones.
  bool stale = false;
  long long generation = 0;  // discovery's number of the resulting list; 0 if it has none
};

class EndpointSource {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnEndpointList(const EndpointListUpdate& update) = 0;
    virtual void OnListConfirmed() {}  // a heartbeat: the list has not changed
    virtual void OnWatchFailed() = 0;  // an attempt failed, or the established watch ended
  };

  virtual ~EndpointSource() = default;
  // If `on`, starts another attempt to watch the list; an established watch stays open until the attempt has
  // delivered the list. Otherwise closes all watches and attempts.
  virtual void Watch(bool on) = 0;
};

}  // namespace opalroute
