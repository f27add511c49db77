// Watches the endpoint list of the discovery service over HTTP. Keeps one established watch; further attempts
// may run in parallel, and the first that delivers the list replaces it.
#pragma once

#include <netinet/in.h>

#include <memory>
#include <optional>
#include <vector>

#include "config/limits.h"
#include "discovery/endpoint_source.h"
#include "discovery/list_watch.h"
#include "net/event_loop.h"

namespace opalroute {

class DiscoveryClient : public EndpointSource, private ListWatch::Handler {
 public:
  // `loop`, `limits`, `memory` and `listener` must outlive this object. `memory` may be null: what the
  // watches hold is not counted then.
  DiscoveryClient(net::EventLoop& loop, const sockaddr_in& address, const Limits& limits,
                  net::MemoryBudget* memory, Listener& listener);

  ~DiscoveryClient() override;

  // The relay already has the list of this generation from an earlier process: watches request only the
  // changes since then.
  void Resume(long long generation) { generation_ = resume_from_ = newest_generation_ = generation; }
  // An attempt is ignored while Limits::concurrent_watches watches, the established one included, are open.
  void Watch(bool on) override;

  // Switches to another discovery address: closes all watches of the old one. The next watch, which the
  // caller has to start, requests the complete list; its generations need not continue the old ones.
  void SetAddress(const sockaddr_in& address);

 private:
  void OnWatchUpdate(ListWatch& watch, const EndpointListUpdate& update) override;
  void OnWatchHeartbeat(ListWatch& watch) override;
  void OnWatchEnded(ListWatch& watch, WatchEndReason reason) override;

  void CloseWatchesExcept(const ListWatch* kept);
  bool CheckStale(const EndpointListUpdate& complete_list);
  void LogOlderList(const EndpointListUpdate& update) const;

  net::EventLoop& loop_;
  sockaddr_in address_;
  const Limits& limits_;
  net::MemoryBudget* const memory_;
  Listener& listener_;
  std::optional<long long> generation_;              // of the list published last
  std::optional<long long> newest_generation_;       // the newest ever published; older lists are stale
  std::optional<net::Seconds> stale_since_;          // when the first of the current stale lists arrived
  std::optional<long long> resume_from_;             // watches request the changes since this one
  std::vector<std::unique_ptr<ListWatch>> watches_;  // in opening order
  const ListWatch* current_watch_ = nullptr;         // the established one, which has delivered the list
};

}  // namespace opalroute
