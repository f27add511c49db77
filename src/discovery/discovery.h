// The endpoint list from discovery over HTTP: a watch that stays open, and tries to replace it that may run
// beside it. Whichever brings the list first is the watch from then on, and the others are closed.
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
  Discovery(net::EventLoop& loop, const sockaddr_in& address, const Limits& limits, Listener& listener);

  ~Discovery() override;

  // The relay holds the list of this generation, from an earlier process: changes are asked for since then.
  void Resume(long long generation) { generation_ = resume_from_ = newest_ = generation; }
  void Watch(bool on) override;

  // From now on discovery is there: watches and tries at the old address end. Its list need not continue the
  // old one. The caller begins the next try.
  void MoveTo(const sockaddr_in& address);

 private:
  void OnWatchUpdate(ListWatch& watch, const EndpointListUpdate& news) override;
  void OnWatchHeartbeat(ListWatch& watch) override;
  void OnWatchEnd(ListWatch& watch, const char* why) override;

  void CloseAllBut(const ListWatch* kept);

  net::EventLoop& loop_;
  sockaddr_in address_;
  const Limits& limits_;
  Listener& listener_;
  bool IsOlder(const EndpointListUpdate& whole_list);
  std::optional<long long> generation_;              // of the list that was told last
  std::optional<long long> newest_;                  // ever told; drains and removals up to it bind
  std::optional<net::Seconds> older_since_;          // whole lists from before it have come since then
  std::optional<long long> resume_from_;             // the generation from which changes are asked for
  std::vector<std::unique_ptr<ListWatch>> watches_;  // in the order in which they were opened
  const ListWatch* current_watch_ = nullptr;         // the one of them that has brought the list
};

}  // namespace opalroute
