#include "discovery/discovery_client.h"

#include <algorithm>
#include <utility>

#include "log/log.h"
#include "net/address.h"

namespace opalroute {

DiscoveryClient::DiscoveryClient(net::EventLoop& loop, const sockaddr_in& address, const Limits& limits,
                                 net::MemoryBudget* memory, Listener& listener)
    : loop_(loop), address_(address), limits_(limits), memory_(memory), listener_(listener) {}

DiscoveryClient::~DiscoveryClient() { CloseWatchesExcept(nullptr); }

void DiscoveryClient::Watch(bool on) {
  if (!on) return CloseWatchesExcept(nullptr);
  if (watches_.size() >= limits_.concurrent_watches) return;
  log::Info("endpoint_list_watch_opened", {{"at", net::FormatAddress(address_)},
                                           {"since", resume_from_.value_or(0)},
                                           {"other_watches", watches_.size()}});
  ListWatch::Handler& handler = *this;
  watches_.push_back(std::make_unique<ListWatch>(loop_, address_, resume_from_, limits_, memory_, handler));
}

void DiscoveryClient::SetAddress(const sockaddr_in& address) {
  CloseWatchesExcept(nullptr);
  address_ = address;
  resume_from_.reset();
}

// Retires closed watches instead of destroying them, as this may run inside a callback of one of them.
void DiscoveryClient::CloseWatchesExcept(const ListWatch* kept) {
  std::vector<std::unique_ptr<ListWatch>> open;
  for (std::unique_ptr<ListWatch>& watch : watches_) {
    if (watch.get() == kept) {
      open.push_back(std::move(watch));
      continue;
    }
    watch->Close();
    loop_.Retire(std::move(watch));
  }
  watches_ = std::move(open);
  current_watch_ = kept;
}

// Returns whether a complete list is older than the newest one published. A lagging replica, or a proxy that
// repeats responses, may send such lists repeatedly. If complete lists are still older after
// Limits::generation_restart_timeout, discovery is assumed to have restarted its generation numbers, and the
// list becomes the newest one.
bool DiscoveryClient::CheckStale(const EndpointListUpdate& complete_list) {
  if (!newest_generation_ || complete_list.generation >= *newest_generation_) {
    stale_since_.reset();
    return false;
  }
  if (!stale_since_) stale_since_ = loop_.Now();
  if (loop_.Now() < *stale_since_ + limits_.generation_restart_timeout) return true;
  newest_generation_ = complete_list.generation;
  stale_since_.reset();
  return false;
}

void DiscoveryClient::LogOlderList(const EndpointListUpdate& update) const {
  log::Warn("endpoint_list_older", {{"generation", update.generation},
                                    {"current_generation", *generation_},
                                    {"newest_generation", newest_generation_.value_or(0)}});
}

// Ignores changes that result in a generation older than the published one: they come from a lagging replica
// or a repeated response and were published before. The next attempt then requests the complete list. An
// older complete list is published, as discovery may have restarted its generation numbers; until that is
// assumed it is marked as stale, and the listener decides what a stale list must not undo.
void DiscoveryClient::OnWatchUpdate(ListWatch& watch, const EndpointListUpdate& update) {
  const bool older = generation_ && update.generation < *generation_;
  EndpointListUpdate published = update;
  published.stale = update.complete && CheckStale(update);
  if (older || published.stale) LogOlderList(update);
  if (older && !update.complete) return resume_from_.reset();
  CloseWatchesExcept(&watch);
  generation_ = resume_from_ = update.generation;
  newest_generation_ = std::max(newest_generation_.value_or(update.generation), update.generation);
  listener_.OnEndpointList(published);
}

void DiscoveryClient::OnWatchHeartbeat(ListWatch& watch) {
  const bool has_list = &watch == current_watch_ || (generation_ && watch.since() == generation_);
  if (!has_list) return;
  CloseWatchesExcept(&watch);
  listener_.OnListConfirmed();
}

void DiscoveryClient::OnWatchEnded(ListWatch& watch, WatchEndReason reason) {
  log::Warn("endpoint_list_watch_failed", {{"why", NameOf(reason)},
                                           {"at", net::FormatAddress(address_)},
                                           {"current_generation", generation_.value_or(0)}});
  const bool no_other_is_current = current_watch_ == nullptr || current_watch_ == &watch;
  if (current_watch_ == &watch) current_watch_ = nullptr;
  const auto ended = std::find_if(watches_.begin(), watches_.end(),
                                  [&watch](const auto& other) { return other.get() == &watch; });
  loop_.Retire(std::move(*ended));
  watches_.erase(ended);
  if (no_other_is_current) listener_.OnWatchFailed();
}

}  // namespace opalroute
