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

// Bounded: where so many are under way, they are given their time first.
void Discovery::Watch(bool on) {
  if (!on) return CloseAllBut(nullptr);
  if (watches_.size() >= limits_.watch_tries) return;
  log::Info("pool_watch_opened", {{"at", net::FormatAddress(address_)},
                                  {"since", resume_from_.value_or(0)},
                                  {"beside", watches_.size()}});
  ListWatch::Handler& handler = *this;
  watches_.push_back(std::make_unique<ListWatch>(loop_, address_, resume_from_, limits_, handler));
}

void Discovery::MoveTo(const sockaddr_in& address) {
  CloseAllBut(nullptr);
  address_ = address;
  resume_from_.reset();
}

// They are kept until the loop's round is over: one of them may be telling its lines just now.
void Discovery::CloseAllBut(const ListWatch* kept) {
  std::vector<std::unique_ptr<ListWatch>> left;
  for (std::unique_ptr<ListWatch>& watch : watches_) {
    if (watch.get() == kept) {
      left.push_back(std::move(watch));
      continue;
    }
    watch->Close();
    loop_.Retire(std::move(watch));
  }
  watches_ = std::move(left);
  current_watch_ = kept;
}

// Whether a whole list is from before what was told: it may come again and again, from a replica that lags or
// a proxy that repeats. Lists that stay behind for long are of a discovery that was set up anew, and counts
// from there.
bool Discovery::IsOlder(const EndpointListUpdate& whole_list) {
  if (!newest_ || whole_list.generation >= *newest_) {
    older_since_.reset();
    return false;
  }
  if (!older_since_) older_since_ = loop_.Now();
  if (loop_.Now() < *older_since_ + limits_.list_renumbered_after) return true;
  newest_ = whole_list.generation;
  older_since_.reset();
  return false;
}

// Changes that lead to an older list than the one held were told already: a replica lags, or an answer was
// repeated on its way. They are passed over, and the next try asks for the whole list, which may go back: of
// a discovery that was set up anew. What that must not undo is the listener's to know.
void Discovery::OnWatchUpdate(ListWatch& watch, const EndpointListUpdate& news) {
  const bool behind = generation_ && news.generation < *generation_;
  EndpointListUpdate told = news;
  told.stale = news.complete && IsOlder(news);
  if (behind || told.stale)
    log::Warn("pool_news_older",
              {{"generation", news.generation}, {"held", *generation_}, {"newest", newest_.value_or(0)}});
  if (behind && !news.complete) return resume_from_.reset();
  CloseAllBut(&watch);
  generation_ = resume_from_ = news.generation;
  newest_ = std::max(newest_.value_or(news.generation), news.generation);
  listener_.OnEndpointList(told);
}

void Discovery::OnWatchHeartbeat(ListWatch& watch) {
  const bool knows_the_list = &watch == current_watch_ || (generation_ && watch.since() == generation_);
  if (!knows_the_list) return;  // it is still to come
  CloseAllBut(&watch);
  listener_.OnListConfirmed();
}

void Discovery::OnWatchEnd(ListWatch& watch, const char* why) {
  log::Warn("pool_watch_failed",
            {{"why", why}, {"at", net::FormatAddress(address_)}, {"held", generation_.value_or(0)}});
  const bool stood_or_none = current_watch_ == nullptr || current_watch_ == &watch;
  if (current_watch_ == &watch) current_watch_ = nullptr;
  const auto ended = std::find_if(watches_.begin(), watches_.end(),
                                  [&watch](const auto& other) { return other.get() == &watch; });
  loop_.Retire(std::move(*ended));
  watches_.erase(ended);
  if (stood_or_none) listener_.OnWatchFailed();
}

}  // namespace opalroute
