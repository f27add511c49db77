// The endpoint list from discovery over HTTP. Keeps one established watch; further attempts may run beside
// it, and whichever delivers the list first replaces it.
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

class Discovery : public EndpointSource, private ListWatch::Handler {
 public:
  // `loop`, `limits` and `listener` must outlive this object.
  Discovery(net::EventLoop& loop, const sockaddr_in& address, const Limits& limits, Listener& listener);

  ~Discovery() override;

  // The relay has the list of this generation from an earlier process: watches ask for the changes since
  // then.
  void Resume(long long generation) { generation_ = resume_from_ = newest_ = generation; }
  // Attempts beyond Limits::watch_tries are ignored while that many are under way.
  void Watch(bool on) override;

  // Discovery has another address from now on: watches and attempts at the old one end, and the next asks for
  // the whole list, whose generations need not continue the old ones. The caller begins the next attempt.
  void MoveTo(const sockaddr_in& address);

 private:
  void OnWatchUpdate(ListWatch& watch, const EndpointListUpdate& update) override;
  void OnWatchHeartbeat(ListWatch& watch) override;
  void OnWatchEnd(ListWatch& watch, WatchEnd reason) override;

  void CloseAllBut(const ListWatch* remaining);
  bool IsStale(const EndpointListUpdate& complete_list);
  void LogOlderList(const EndpointListUpdate& update) const;

  net::EventLoop& loop_;
  sockaddr_in address_;
  const Limits& limits_;
  Listener& listener_;
  std::optional<long long> generation_;      // of the list that was published last
  std::optional<long long> newest_;          // the newest ever published; its drains and removals bind
  std::optional<net::Seconds> stale_since_;  // only older whole lists have arrived since then
  std::optional<long long> resume_from_;     // the generation from which changes are asked for
  std::vector<std::unique_ptr<ListWatch>> watches_;  // in the order in which they were opened
  const ListWatch* current_watch_ = nullptr;         // the one of them that has delivered the list
};

}  // namespace opalroute
