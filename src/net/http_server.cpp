#include "net/http_server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <limits>
#include <system_error>
#include <utility>
#include <vector>

#include "net/http_server_client.h"

namespace opalroute::net {
namespace {

constexpr std::size_t kTurnsPerIteration = 8;
constexpr std::size_t kBacklogsAtOnce = 8;     // connections whose requests are rejected at once
constexpr double kAcceptRetries = 10;          // in the time after which a silent connection may be ended
constexpr std::size_t kLeastReclaimed = 2048;  // a connection that holds less is not ended for its memory

bool EndsUnfinishedWork(EvictionGroup group) {
  return group == EvictionGroup::kStalledRequest || group == EvictionGroup::kSlowRequest ||
         group == EvictionGroup::kUnreadResponse;
}

}  // namespace

HttpServer::HttpServer(EventLoop& loop, const sockaddr_in& listen_address, const ServerBounds& bounds,
                       Handler& handler)
    : HttpServer(loop, OpenListener(listen_address), bounds, handler) {}

HttpServer::HttpServer(EventLoop& loop, int fd, const ServerBounds& bounds, Handler& handler)
    : loop_(loop), bounds_(bounds), handler_(handler), fd_(fd), turns_(loop, kTurnsPerIteration) {
  if (!loop_.Add(fd_, this)) throw std::system_error(errno, std::generic_category(), "listen");
  if (bounds_.memory != nullptr)
    bounds_.memory->SetReclaim(bounds_.memory_owner, [this] { return ReclaimMemory(); });
}

HttpServer::~HttpServer() {
  if (bounds_.memory != nullptr) bounds_.memory->SetReclaim(bounds_.memory_owner, nullptr);
  for (auto& client : clients_) client->Close();
  StopAccepting();
}

void HttpServer::StopAccepting() {
  loop_.Cancel(accept_timer_);
  if (fd_ < 0) return;
  loop_.Remove(fd_);
  close(fd_);
  fd_ = -1;
}

void HttpServer::OnEvents(std::uint32_t) { Accept(); }

// When the process is out of descriptors, accept fails and its edge-triggered event is lost. So the number of
// connections is limited well below that. At the limit a connection that is owed no response is closed first;
// failing that, new connections are rejected, and beyond reject_connections they wait in the listen queue.
void HttpServer::Accept() {
  while (HasPendingConnection()) {
    const Vacancy vacancy = connections() < bounds_.connections ? Vacancy::kNow : EndOneToMakeRoom();
    const bool reject = vacancy == Vacancy::kNone;
    if (vacancy == Vacancy::kSoon) break;
    if (reject && connections() >= bounds_.connections + bounds_.reject_connections) break;
    bool retry = false;
    const int fd = AcceptNext(fd_, retry);
    if (fd < 0 && retry) return ScheduleAccept(loop_.Now() + kAcceptRetryDelay);
    if (fd < 0) break;
    clients_.push_back(std::make_unique<Client>(*this, reject));
    if (!clients_.back()->Open(fd, std::prev(clients_.end()))) Drop(*clients_.back());
  }
  // Connections that stay in the listen queue cause no further event.
  if (HasPendingConnection()) ScheduleAccept(loop_.Now() + bounds_.silent_timeout / kAcceptRetries);
}

// Clients may keep connections open that they no longer use, up to a limit of their own: at that limit they
// can open no further one, so a server that is more than half full closes idle connections sooner.
Seconds HttpServer::IdleTimeout() const {
  return 2 * connections() > bounds_.connections ? bounds_.crowded_idle_timeout : bounds_.idle_timeout;
}

bool HttpServer::HasPendingConnection() const {
  if (fd_ < 0) return false;
  pollfd queue{fd_, POLLIN, 0};
  int ready = 0;
  do {
    ready = poll(&queue, 1, 0);
  } while (ready < 0 && errno == EINTR);
  return ready != 0;  // if poll fails, accept decides
}

void HttpServer::ScheduleAccept(Seconds when) {
  loop_.Cancel(accept_timer_);
  accept_timer_ = loop_.At(when, [this] {
    accept_timer_ = 0;
    Accept();
  });
}

EvictionTimes HttpServer::TimesOfEviction() const {
  return {bounds_.crowded_idle_timeout, bounds_.silent_timeout, bounds_.slow_request_time};
}

// Ends one connection to make room for a new one (net/eviction.h). kSoon: nothing was ended, as connections
// that are busy now may soon turn out to be silent or stalled, which would spare those that were answered.
HttpServer::Vacancy HttpServer::EndOneToMakeRoom() {
  Client* candidate = nullptr;
  std::pair<EvictionGroup, Seconds> candidate_rank;
  std::vector<Client*> backlogs;
  std::size_t recent_count = 0;
  const Seconds now = loop_.Now();
  for (const auto& client : clients_) {
    const ConnectionActivity activity = client->activity();
    const auto group = EvictionGroupOf(activity, TimesOfEviction(), now);
    if (!group && MayEndSoon(activity)) ++recent_count;
    if (!group) continue;
    if (*group == EvictionGroup::kBacklog && backlogs.size() < kBacklogsAtOnce)
      backlogs.push_back(client.get());
    const std::pair rank(*group, EvictionOrder(*group, activity));
    if ((candidate != nullptr && candidate_rank <= rank) || !client->MayEnd(*group)) continue;
    candidate = client.get();
    candidate_rank = rank;
  }
  // Every new connection counts as recent until its request is read. If clients send one request and keep
  // their connections open, waiting for just a few recent ones would accept a single connection per waiting
  // period.
  if (candidate == nullptr) return recent_count > 0 ? Vacancy::kSoon : Vacancy::kNone;
  if (candidate_rank.first == EvictionGroup::kRecentlyIdle && 2 * recent_count >= clients_.size())
    return Vacancy::kSoon;
  if (candidate_rank.first == EvictionGroup::kBacklog) {
    for (Client* client : backlogs) RejectBacklog(*client);
    return Vacancy::kSoon;
  }
  Evict(*candidate, candidate_rank.first);
  return Vacancy::kNow;
}

void HttpServer::Evict(Client& client, EvictionGroup group) {
  if (EndsUnfinishedWork(group)) handler_.OnLimit(ServerLimit::kConnections, client.activity().held_bytes);
  if (group == EvictionGroup::kStalledRequest || group == EvictionGroup::kSlowRequest)
    client.EndUnfinishedRequest();
  client.End();
}

void HttpServer::RejectBacklog(Client& client) {
  handler_.OnLimit(ServerLimit::kConnections, client.activity().held_bytes);
  client.RejectBacklog();
}

// Ends what holds most memory of those that make no progress.
bool HttpServer::ReclaimMemory() {
  Client* candidate = nullptr;
  EvictionGroup candidate_group{};
  std::size_t most = kLeastReclaimed;
  for (const auto& client : clients_) {
    const ConnectionActivity activity = client->activity();
    const auto group = EvictionGroupOf(activity, TimesOfEviction(), loop_.Now());
    if (!group || !EndsUnfinishedWork(*group) || activity.held_bytes <= most) continue;
    candidate = client.get();
    candidate_group = *group;
    most = activity.held_bytes;
  }
  if (candidate == nullptr) return false;
  handler_.OnLimit(ServerLimit::kMemory, most);
  if (candidate_group == EvictionGroup::kUnreadResponse) {
    candidate->End();
  } else {
    candidate->EndUnfinishedRequest();
  }
  return true;
}

void HttpServer::CloseIdle() {
  for (auto it = clients_.begin(); it != clients_.end();) {
    Client& client = **it++;
    if (client.IsIdle()) Drop(client);
  }
}

void HttpServer::ServePendingInput() {
  Accept();
  is_last_turn_ = true;
  for (auto it = clients_.begin(); it != clients_.end();) {
    Client& client = **it++;
    client.ReadAll();
  }
}

void HttpServer::Drop(Client& client) {
  const bool was_full = connections() >= bounds_.connections;
  client.Close();
  const auto position = client.position();
  loop_.Retire(std::move(*position));
  clients_.erase(position);
  if (was_full) ScheduleAccept(loop_.Now());
}

}  // namespace opalroute::net
