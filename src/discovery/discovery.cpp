#include "discovery/discovery.h"

#include <algorithm>
#include <utility>

#include "log/log.h"
#include "net/address.h"

namespace opalroute {

Discovery::Discovery(net::EventLoop& loop, const sockaddr_in& address, const Limits& limits,
                     Listener& listener)
    : loop_(loop), address_(address), limits_(limits), listener_(listener) {}

Discovery::~Discovery() { CloseAllBut(nullptr); }

void Discovery::Watch(bool on) {
  if (!on) return CloseAllBut(nullptr);
  if (watches_.size() >= limits_.watch_tries) return;
  log::Info("endpoint_list_watch_opened", {{"at", net::FormatAddress(address_)},
                                           {"since", resume_from_.value_or(0)},
                                           {"other_watches", watches_.size()}});
  ListWatch::Handler& handler = *this;
  watches_.push_back(std::make_unique<ListWatch>(loop_, address_, resume_from_, limits_, handler));
}

void Discovery::MoveTo(const sockaddr_in& address) {
  CloseAllBut(nullptr);
  address_ = address;
  resume_from_.reset();
}

// Closed watches are retired, not destroyed: one of them may be delivering its lines at this moment.
void Discovery::CloseAllBut(const ListWatch* remaining) {
  std::vector<std::unique_ptr<ListWatch>> open;
  for (std::unique_ptr<ListWatch>& watch : watches_) {
    if (watch.get() == remaining) {
      open.push_back(std::move(watch));
      continue;
    }
    watch->Close();
    loop_.Retire(std::move(watch));
  }
  watches_ = std::move(open);
  current_watch_ = remaining;
}

// Whether a whole list is older than what was published. A replica that lags or a proxy that repeats answers
// may send such lists again and again. If nothing newer arrives for Limits::list_renumbered_after, discovery
// was set up anew and its generations start over.
bool Discovery::IsStale(const EndpointListUpdate& complete_list) {
  if (!newest_ || complete_list.generation >= *newest_) {
    stale_since_.reset();
    return false;
  }
  if (!stale_since_) stale_since_ = loop_.Now();
  if (loop_.Now() < *stale_since_ + limits_.list_renumbered_after) return true;
  newest_ = complete_list.generation;
  stale_since_.reset();
  return false;
}

void Discovery::LogOlderList(const EndpointListUpdate& update) const {
  log::Warn("endpoint_list_older", {{"generation", update.generation},
                                    {"current_generation", *generation_},
                                    {"newest_generation", newest_.value_or(0)}});
}

// Changes that lead to an older list than the published one were published already: a replica lags, or an
// answer was repeated on its way. They are ignored, and the next attempt asks for the whole list. That one
// may be older too, where discovery was set up anew; the listener decides what a stale list must not undo.
void Discovery::OnWatchUpdate(ListWatch& watch, const EndpointListUpdate& update) {
  const bool older = generation_ && update.generation < *generation_;
  EndpointListUpdate published = update;
  published.stale = update.complete && IsStale(update);
  if (older || published.stale) LogOlderList(update);
  if (older && !update.complete) return resume_from_.reset();
  CloseAllBut(&watch);
  generation_ = resume_from_ = update.generation;
  newest_ = std::max(newest_.value_or(update.generation), update.generation);
  listener_.OnEndpointList(published);
}

void Discovery::OnWatchHeartbeat(ListWatch& watch) {
  const bool has_list = &watch == current_watch_ || (generation_ && watch.since() == generation_);
  if (!has_list) return;
  CloseAllBut(&watch);
  listener_.OnListConfirmed();
}

void Discovery::OnWatchEnd(ListWatch& watch, WatchEnd reason) {
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
