#include "lab/sockets/platform_server.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "net/address.h"
#include "net/connection.h"
#include "net/http.h"

namespace opalroute::lab {

namespace {

constexpr std::size_t kMaxOutputBytes = 32 << 20;  // the list of 20,000 endpoints takes 4 MB
constexpr net::Seconds kKeepAliveInterval = 2;     // a watch without changes gets an empty line this often
constexpr net::Seconds kCutPollInterval = 0.1;
constexpr net::Seconds kBusyDelay = 0.5;  // until an overloaded service answers 503
// A change that the relay could have fetched for this long counts as known to it, even if it was not sent.
constexpr net::Seconds kReportTimeout = 6;
const net::HttpBounds kBounds{16 * 1024, 64, 1 << 20};

const char* StatusName(EndpointStatus status) {
  return status == EndpointStatus::kInService  ? "ready"
         : status == EndpointStatus::kDraining ? "draining"
                                               : "gone";
}

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

class PlatformServer::Session : public net::Connection::Owner {
 public:
  Session(PlatformServer& server, int relay)
      : server_(server),
        relay_(relay),
        parser_(net::HttpParser::Kind::kRequest, kBounds),
        stray_responses_(server.world_.scenario().stray_responses,
                         server.world_.scenario().stray_responses.platform_share, server.stray_random_) {}
  ~Session() override { CancelTimers(); }

  bool Open(int fd) {
    connection_ = net::Connection::Adopt(server_.loop_, fd, *this, {128 * 1024, kMaxOutputBytes});
    return connection_ != nullptr;
  }
  int relay() const { return relay_; }
  bool is_watch() const { return is_watch_; }
  void Close() {
    CancelTimers();
    connection_->Close();
  }
  // Sends nothing more on this watch, but leaves it open.
  void Silence() { silenced_ = true; }
  void Reset() { connection_->Close(); }
  // Sends a line with the changes from index `since` on.
  void SendChanges(std::size_t since) {
    if (silenced_) return;
    const std::string line = Chunk(server_.ChangesSince(relay_, since) + "\n");
    if (server_.FindActiveFault(relay_, ListFault::Kind::kTruncatedLine) != nullptr) {
      connection_->Write(line.substr(0, line.size() / 2));
      return connection_->CloseWhenWritten();
    }
    connection_->Write(line);
    ReportChangesKnown(since);
    ScheduleKeepAlive();
  }

  void OnData(net::Connection& connection) override {
    net::RingBuffer& in = connection.in();
    while (!in.empty()) {
      in.Consume(parser_.Parse(in.Front()));
      if (parser_.failed()) return server_.sessions_.Remove(*this);
      if (!parser_.done()) continue;
      const net::HttpMessage request = std::move(parser_.message());
      parser_.Reset();
      Answer(request);
      if (!connection.open()) return;
    }
    if (connection.peer_closed()) server_.sessions_.Remove(*this);
  }
  void OnClosed(net::Connection&, net::Connection::CloseReason) override { server_.sessions_.Remove(*this); }

 private:
  // During a cut requests are held back; they are answered when it is over.
  void Answer(const net::HttpMessage& request) {
    if (server_.IsCut(relay_)) {
      held_requests_.push_back(request);
      return AnswerHeldRequestsLater();
    }
    if (request.method == "POST" && request.target == "/v1/notices") return TakeNotifications(request.body);
    const std::string path = "/registry/instances";
    if (request.method != "GET" || request.target.rfind(path, 0) != 0) return Write(404, {});
    if (server_.FindActiveFault(relay_, ListFault::Kind::kResetRequests) != nullptr)
      return server_.sessions_.Remove(*this);
    if (request.target.find("follow=1") == std::string::npos) {
      Write(200, server_.FullList(relay_) + "\n");
      return ReportChangesKnown(0);
    }
    if (server_.FindActiveFault(relay_, ListFault::Kind::kUnavailable) != nullptr) {
      timer_ = server_.loop_.At(server_.loop_.Now() + kBusyDelay, [this] {
        timer_ = 0;
        Write(503, {});
      });
      return;
    }
    is_watch_ = true;
    connection_->Write(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::size_t since = request.target.find("since=");
    const unsigned long generation =
        since == std::string::npos ? 0 : std::strtoul(request.target.c_str() + since + 6, nullptr, 10);
    const RelayView& view = server_.views_[static_cast<std::size_t>(relay_)];
    if (server_.FindActiveFault(relay_, ListFault::Kind::kOutdatedList) != nullptr)
      connection_->Write(Chunk(server_.OutdatedList(relay_) + "\n"));
    if (generation >= 1 && generation <= view.visible_changes + 1) return SendChanges(generation - 1);
    connection_->Write(Chunk(server_.FullList(relay_) + "\n"));
    ReportChangesKnown(0);
    ScheduleKeepAlive();
  }
  void ReportChangesKnown(std::size_t since) {
    const RelayView& view = server_.views_[static_cast<std::size_t>(relay_)];
    for (std::size_t i = since; i < view.visible_changes; ++i)
      server_.owner_.OnChangeKnown(relay_, server_.changes_[i].endpoint, server_.changes_[i].status);
  }
  // Writes an earlier response once more, and then the own one: the notifications were not taken.
  void AnswerWithStrayResponse(const StrayResponse& stray) {
    ++server_.stray_response_count_;
    WriteAfter(stray.delay, stray.bytes);
    WriteAfter(std::max(stray.own_delay, stray.delay), net::FormatResponse(503, {}, {}));
  }
  void WriteAfter(net::Seconds delay, const std::string& bytes) {
    stray_timers_.push_back(server_.loop_.At(server_.loop_.Now() + delay, [this, bytes] {
      if (connection_->open()) connection_->Write(bytes);
    }));
  }
  void TakeNotifications(const std::string& body) {
    if (const auto stray = stray_responses_.OnRequest()) return AnswerWithStrayResponse(*stray);
    std::istringstream lines(body);
    std::vector<nlohmann::json> notifications;
    for (std::string line; std::getline(lines, line);) {
      notifications.push_back(nlohmann::json::parse(line, nullptr, false));
      if (!notifications.back().is_object() || !notifications.back().contains("message"))
        return Write(400, {});
    }
    for (const nlohmann::json& notification : notifications)
      server_.owner_.OnNotification(notification.value("message", ""),
                                    notification.value("outcome", "") == "handed_back",
                                    notification.value("retry_in_ms", 0.0) / 1000);
    Write(204, {});
    stray_responses_.OnResponseWritten(net::FormatResponse(204, {}, {}));
  }
  void Write(int status, const std::string& body) {
    connection_->Write(net::FormatResponse(status, {}, body));
  }
  void AnswerHeldRequestsLater() {
    server_.loop_.Cancel(held_timer_);
    held_timer_ = server_.loop_.At(server_.loop_.Now() + kCutPollInterval, [this] {
      held_timer_ = 0;
      for (const net::HttpMessage& request : std::exchange(held_requests_, {})) Answer(request);
    });
  }
  void ScheduleKeepAlive() {
    server_.loop_.Cancel(timer_);
    timer_ = server_.loop_.At(server_.loop_.Now() + kKeepAliveInterval, [this] {
      timer_ = 0;
      if (!server_.IsCut(relay_) && !silenced_) connection_->Write(Chunk("\n"));
      ScheduleKeepAlive();
    });
  }

  void CancelTimers() {
    server_.loop_.Cancel(timer_);
    server_.loop_.Cancel(held_timer_);
    for (net::EventLoop::TimerId& timer : stray_timers_) server_.loop_.Cancel(timer);
  }

  PlatformServer& server_;
  const int relay_;
  std::unique_ptr<net::Connection> connection_;
  net::HttpParser parser_;
  bool is_watch_ = false, silenced_ = false;
  std::vector<net::HttpMessage> held_requests_;  // until a cut is over
  net::EventLoop::TimerId timer_ = 0, held_timer_ = 0;
  StrayResponses stray_responses_;
  std::vector<net::EventLoop::TimerId> stray_timers_;
};

PlatformServer::PlatformServer(net::EventLoop& loop, const World& world, std::uint64_t seed,
                               std::function<std::string(EndpointId, int)> address_of, Owner& owner)
    : loop_(loop),
      world_(world),
      random_(seed, 4),
      stray_random_(seed, 7),
      address_of_(std::move(address_of)),
      owner_(owner),
      links_(world.scenario().links, seed),
      statuses_(world.endpoint_count(), EndpointStatus::kInService),
      sessions_(loop) {
  for (int relay = 0; relay < world.scenario().relays; ++relay) {
    views_.push_back({0, 0, statuses_});
    addresses_.emplace_back();
    listeners_.emplace_back();
    Listen(relay);
  }
}

void PlatformServer::Listen(int relay) {
  const auto index = static_cast<std::size_t>(relay);
  listeners_[index] = std::make_unique<net::Listener>(
      loop_, addresses_[index].address(),
      [this, relay](int fd) { sessions_.Add(std::make_unique<Session>(*this, relay), fd); });
}

void PlatformServer::Begin(net::Seconds start) {
  start_ = start;
  for (const ListFault& fault : world_.scenario().list_faults)
    loop_.At(start + fault.start, [this, fault] { StartFault(fault); });
}

void PlatformServer::StartFault(const ListFault& fault) {
  for (int relay = fault.first_relay; relay <= fault.last_relay; ++relay) {
    const std::vector<Session*> watches = WatchesOf(relay);
    switch (fault.kind) {
      case ListFault::Kind::kUnreachable:
        StopListening(relay, fault.duration);
        break;
      case ListFault::Kind::kResetRequests:
      case ListFault::Kind::kResetWatches:
      case ListFault::Kind::kOutdatedList:
      case ListFault::Kind::kUnavailable:  // the relay has to open its watch again and meets the fault
        for (Session* session : watches) sessions_.Remove(*session);
        break;
      case ListFault::Kind::kSilentWatches:
        for (Session* session : watches) session->Silence();
        break;
      case ListFault::Kind::kTruncatedLine:
        break;
    }
  }
}

void PlatformServer::StopListening(int relay, net::Seconds duration) {
  listeners_[static_cast<std::size_t>(relay)].reset();
  for (Session* session : SessionsOf(relay)) sessions_.Remove(*session);
  loop_.At(loop_.Now() + duration, [this, relay] {
    if (!listeners_[static_cast<std::size_t>(relay)]) Listen(relay);
  });
}

const ListFault* PlatformServer::FindActiveFault(int relay, ListFault::Kind kind) const {
  if (start_ <= 0) return nullptr;
  const Seconds now = loop_.Now() - start_;
  for (const ListFault& fault : world_.scenario().list_faults)
    if (fault.kind == kind && relay >= fault.first_relay && relay <= fault.last_relay && now >= fault.start &&
        now < fault.start + fault.duration)
      return &fault;
  return nullptr;
}

bool PlatformServer::IsReachable(int relay) const {
  return !IsCut(relay) && listeners_[static_cast<std::size_t>(relay)] != nullptr &&
         FindActiveFault(relay, ListFault::Kind::kResetRequests) == nullptr;
}

std::vector<PlatformServer::Session*> PlatformServer::SessionsOf(int relay) const {
  std::vector<Session*> sessions;
  for (const auto& [key, session] : sessions_.all())
    if (session->relay() == relay) sessions.push_back(key);
  return sessions;
}

std::vector<PlatformServer::Session*> PlatformServer::WatchesOf(int relay) const {
  std::vector<Session*> watches;
  for (const auto& [key, session] : sessions_.all())
    if (session->relay() == relay && session->is_watch()) watches.push_back(key);
  return watches;
}

// Reports a change as known to the relay once the platform has been reachable for kReportTimeout without a
// break, whether or not the relay has fetched it.
void PlatformServer::ReportAfterTimeout(int relay, std::size_t change, net::Seconds reachable_since) {
  const Seconds now = loop_.Now();
  if (!IsReachable(relay)) reachable_since = now;
  if (now >= reachable_since + kReportTimeout)
    return owner_.OnChangeKnown(relay, changes_[change].endpoint, changes_[change].status);
  loop_.At(now + kCutPollInterval,
           [this, relay, change, reachable_since] { ReportAfterTimeout(relay, change, reachable_since); });
}

PlatformServer::~PlatformServer() = default;

bool PlatformServer::IsCut(int relay) const {
  return start_ > 0 && links_.IsDiscoveryLinkCut(loop_.Now() - start_, relay);
}

std::string PlatformServer::InstanceJson(EndpointId id, EndpointStatus status, int relay) const {
  const PartnerEndpoint& endpoint = world_.endpoint(id);
  const nlohmann::json row = {{"instanceId", "e" + std::to_string(id)},
                              {"hostPort", address_of_(id, relay)},
                              {"zone", world_.scenario().zones[static_cast<std::size_t>(endpoint.zone)]},
                              {"machineType", endpoint.kind == 1 ? "apart" : "plain"},
                              {"cell", endpoint.destination},
                              {"lifecycle", StatusName(status)},
                              {"weight", endpoint.listed_rate},
                              {"startedAtMs", 0}};
  return row.dump();
}

std::string PlatformServer::FullList(int relay) const {
  const RelayView& view = views_[static_cast<std::size_t>(relay)];
  std::string rows;
  for (EndpointId id = 1; id <= view.statuses.size(); ++id)
    if (view.statuses[id - 1] != EndpointStatus::kRemoved)
      rows += (rows.empty() ? "" : ",") + InstanceJson(id, view.statuses[id - 1], relay);
  return "{\"generation\":" + std::to_string(view.visible_changes + 1) + ",\"reset\":true,\"instances\":[" +
         rows + "]}";
}

// The full list as it was before the latest changes.
std::string PlatformServer::OutdatedList(int relay) const {
  constexpr std::size_t kOmittedChanges = 3;
  const RelayView& view = views_[static_cast<std::size_t>(relay)];
  const std::size_t count = view.visible_changes - std::min(view.visible_changes, kOmittedChanges);
  std::vector<EndpointStatus> statuses(view.statuses.size(), EndpointStatus::kInService);
  std::vector<bool> listed(view.statuses.size(), true);
  for (std::size_t i = 0; i < view.visible_changes; ++i) {
    const Change& change = changes_[i];
    const std::size_t index = change.endpoint - 1;
    // A change to "in service" adds a new endpoint, which the older list doesn't have yet.
    if (i >= count && change.status == EndpointStatus::kInService) listed[index] = false;
    if (i < count) statuses[index] = change.status;
  }
  std::string rows;
  for (EndpointId id = 1; id <= statuses.size(); ++id)
    if (listed[id - 1] && statuses[id - 1] != EndpointStatus::kRemoved)
      rows += (rows.empty() ? "" : ",") + InstanceJson(id, statuses[id - 1], relay);
  return "{\"generation\":" + std::to_string(count + 1) + ",\"reset\":true,\"instances\":[" + rows + "]}";
}

std::string PlatformServer::ChangesSince(int relay, std::size_t since) const {
  const RelayView& view = views_[static_cast<std::size_t>(relay)];
  std::string rows;
  for (std::size_t i = since; i < view.visible_changes; ++i)
    rows += (rows.empty() ? "" : ",") + InstanceJson(changes_[i].endpoint, changes_[i].status, relay);
  return "{\"generation\":" + std::to_string(view.visible_changes + 1) + ",\"reset\":false,\"instances\":[" +
         rows + "]}";
}

void PlatformServer::Publish(EndpointId endpoint, EndpointStatus status) {
  if (endpoint > statuses_.size()) statuses_.resize(endpoint, EndpointStatus::kRemoved);
  statuses_[endpoint - 1] = status;
  changes_.push_back({endpoint, status});
  const std::size_t count = changes_.size();
  for (int relay = 0; relay < static_cast<int>(views_.size()); ++relay) {
    RelayView& view = views_[static_cast<std::size_t>(relay)];
    const Seconds delay = DrawFrom(world_.scenario().list_delay, random_);
    view.last_due = std::max(view.last_due, loop_.Now() + delay);  // changes arrive in order
    loop_.At(view.last_due, [this, relay, count] { DeliverChangesTo(relay, count); });
  }
}

void PlatformServer::DeliverChangesTo(int relay, std::size_t count) {
  RelayView& view = views_[static_cast<std::size_t>(relay)];
  const std::size_t since = view.visible_changes;
  if (count <= since) return;
  if (IsCut(relay)) {  // the changes are delivered when the cut is over
    loop_.At(loop_.Now() + kCutPollInterval, [this, relay, count] { DeliverChangesTo(relay, count); });
    return;
  }
  view.visible_changes = count;
  for (std::size_t i = since; i < count; ++i) {
    if (changes_[i].endpoint > view.statuses.size())
      view.statuses.resize(changes_[i].endpoint, EndpointStatus::kRemoved);
    view.statuses[changes_[i].endpoint - 1] = changes_[i].status;
  }
  for (std::size_t i = since; i < count; ++i) ReportAfterTimeout(relay, i, loop_.Now());
  // Iterates over a copy: sending can drop a session whose connection is closed.
  for (Session* session : WatchesOf(relay)) session->SendChanges(since);
}

}  // namespace opalroute::lab
