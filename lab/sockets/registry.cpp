#include "lab/sockets/registry.h"

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

constexpr std::size_t kMostOut = 32 << 20;  // 20,000 endpoints have 4 MB of list
constexpr net::Seconds kBeat = 2;           // an empty line in a silent watch
constexpr net::Seconds kLookEvery = 0.1;    // whether a cut is over
constexpr net::Seconds kBusyFor = 0.5;      // a call to a crowded service waits so long for its 503
constexpr net::Seconds kToldWithin = 6;     // of a change that can be had: it counts as told, heard of or not
const net::HttpBounds kBounds{16 * 1024, 64, 1 << 20};

const char* NameOf(EndpointStatus listing) {
  return listing == EndpointStatus::kInService  ? "ready"
         : listing == EndpointStatus::kDraining ? "draining"
                                                : "gone";
}

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

class Registry::Session : public net::Connection::Owner {
 public:
  Session(Registry& registry, int relay)
      : registry_(registry), relay_(relay), parser_(net::HttpParser::Kind::kRequest, kBounds) {}
  ~Session() override { StopTimers(); }

  bool Open(int fd) {
    connection_ = net::Connection::Adopt(registry_.loop_, fd, *this, 128 * 1024, kMostOut);
    return connection_ != nullptr;
  }
  int relay() const { return relay_; }
  bool watches() const { return watches_; }
  void Close() {
    StopTimers();
    connection_->Close();
  }
  // Nothing more comes on this watch.
  void Mute() { muted_ = true; }
  void Reset() { connection_->Close(); }
  // A line of the watch: the changes after `since`.
  void Tell(std::size_t since) {
    if (muted_) return;
    const std::string line = Chunk(registry_.ChangesSince(relay_, since) + "\n");
    if (registry_.FaultOf(relay_, ListFault::Kind::kCutLine) != nullptr) {
      connection_->Write(line.substr(0, line.size() / 2));
      return connection_->CloseWhenWritten();
    }
    connection_->Write(line);
    Told(since);
    Beat();
  }

  void OnData(net::Connection& connection) override {
    net::RingBuffer& in = connection.in();
    while (!in.empty()) {
      in.Consume(parser_.Parse(in.Front()));
      if (parser_.failed()) return registry_.sessions_.Remove(*this);
      if (!parser_.done()) continue;
      const net::HttpMessage request = std::move(parser_.message());
      parser_.Reset();
      Answer(request);
      if (!connection.open()) return;
    }
    if (connection.peer_closed()) registry_.sessions_.Remove(*this);
  }
  void OnClosed(net::Connection&, net::Connection::CloseReason) override {
    registry_.sessions_.Remove(*this);
  }

 private:
  // In a cut nothing comes through; what was sent arrives once it is over.
  void Answer(const net::HttpMessage& request) {
    if (registry_.IsCut(relay_)) {
      waiting_.push_back(request);
      return LookAgain();
    }
    if (request.method == "POST" && request.target == "/v1/notices") return TakeNotices(request.body);
    const std::string path = "/registry/instances";
    if (request.method != "GET" || request.target.rfind(path, 0) != 0) return Write(404, {});
    if (registry_.FaultOf(relay_, ListFault::Kind::kRefuse) != nullptr)
      return registry_.sessions_.Remove(*this);
    if (request.target.find("follow=1") == std::string::npos) {
      Write(200, registry_.WholeList(relay_) + "\n");
      return Told(0);
    }
    if (registry_.FaultOf(relay_, ListFault::Kind::kBusy) != nullptr) {
      beat_ = registry_.loop_.At(registry_.loop_.Now() + kBusyFor, [this] {
        beat_ = 0;
        Write(503, {});
      });
      return;
    }
    watches_ = true;
    connection_->Write(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::size_t since = request.target.find("since=");
    const unsigned long generation =
        since == std::string::npos ? 0 : std::strtoul(request.target.c_str() + since + 6, nullptr, 10);
    const View& view = registry_.views_[static_cast<std::size_t>(relay_)];
    if (registry_.FaultOf(relay_, ListFault::Kind::kOld) != nullptr)
      connection_->Write(Chunk(registry_.ListBefore(relay_) + "\n"));
    if (generation >= 1 && generation <= view.known + 1) return Tell(generation - 1);
    connection_->Write(Chunk(registry_.WholeList(relay_) + "\n"));
    Told(0);
    Beat();
  }
  void Told(std::size_t since) {
    const View& view = registry_.views_[static_cast<std::size_t>(relay_)];
    for (std::size_t i = since; i < view.known; ++i)
      registry_.owner_.OnTold(relay_, registry_.changes_[i].endpoint, registry_.changes_[i].listing);
  }
  void TakeNotices(const std::string& body) {
    std::istringstream lines(body);
    std::vector<nlohmann::json> notices;
    for (std::string line; std::getline(lines, line);) {
      notices.push_back(nlohmann::json::parse(line, nullptr, false));
      if (!notices.back().is_object() || !notices.back().contains("message")) return Write(400, {});
    }
    for (const nlohmann::json& notice : notices)
      registry_.owner_.OnNotice(notice.value("message", ""), notice.value("outcome", "") == "handed_back",
                                notice.value("retry_in_ms", 0.0) / 1000);
    Write(204, {});
  }
  void Write(int status, const std::string& body) {
    connection_->Write(net::FormatResponse(status, {}, body));
  }
  void LookAgain() {
    registry_.loop_.Cancel(look_);
    look_ = registry_.loop_.At(registry_.loop_.Now() + kLookEvery, [this] {
      look_ = 0;
      for (const net::HttpMessage& request : std::exchange(waiting_, {})) Answer(request);
    });
  }
  void Beat() {
    registry_.loop_.Cancel(beat_);
    beat_ = registry_.loop_.At(registry_.loop_.Now() + kBeat, [this] {
      beat_ = 0;
      if (!registry_.IsCut(relay_) && !muted_) connection_->Write(Chunk("\n"));
      Beat();
    });
  }

  void StopTimers() {
    registry_.loop_.Cancel(beat_);
    registry_.loop_.Cancel(look_);
  }

  Registry& registry_;
  const int relay_;
  std::unique_ptr<net::Connection> connection_;
  net::HttpParser parser_;
  bool watches_ = false, muted_ = false;
  std::vector<net::HttpMessage> waiting_;  // for the end of a cut
  net::EventLoop::TimerId beat_ = 0, look_ = 0;
};

Registry::Registry(net::EventLoop& loop, const World& world, std::uint64_t seed,
                   std::function<std::string(EndpointId, int)> address_of, Owner& owner)
    : loop_(loop),
      world_(world),
      random_(seed, 4),
      address_of_(std::move(address_of)),
      owner_(owner),
      links_(world.scenario().links, seed),
      listings_(world.endpoint_count(), EndpointStatus::kInService),
      sessions_(loop) {
  for (int relay = 0; relay < world.scenario().relays; ++relay) {
    views_.push_back({0, 0, listings_});
    addresses_.emplace_back();
    listeners_.emplace_back();
    Listen(relay);
  }
}

void Registry::Listen(int relay) {
  const auto at = static_cast<std::size_t>(relay);
  listeners_[at] = std::make_unique<net::Listener>(loop_, addresses_[at].address(), [this, relay](int fd) {
    sessions_.Add(std::make_unique<Session>(*this, relay), fd);
  });
}

void Registry::Begin(net::Seconds start) {
  start_ = start;
  for (const ListFault& fault : world_.scenario().list_faults)
    loop_.At(start + fault.from, [this, fault] { Strike(fault); });
}

void Registry::Strike(const ListFault& fault) {
  for (int relay = fault.first; relay <= fault.last; ++relay) {
    const std::vector<Session*> watches = WatchesOf(relay);
    switch (fault.kind) {
      case ListFault::Kind::kUnreachable:
        StopListening(relay, fault.lasts);
        break;
      case ListFault::Kind::kRefuse:
      case ListFault::Kind::kReset:
      case ListFault::Kind::kOld:
      case ListFault::Kind::kBusy:  // whose watches are ended, and asked for anew
        for (Session* session : watches) sessions_.Remove(*session);
        break;
      case ListFault::Kind::kSilent:
        for (Session* session : watches) session->Mute();
        break;
      case ListFault::Kind::kCutLine:
        break;
    }
  }
}

void Registry::StopListening(int relay, net::Seconds lasts) {
  listeners_[static_cast<std::size_t>(relay)].reset();
  for (Session* session : SessionsOf(relay)) sessions_.Remove(*session);
  loop_.At(loop_.Now() + lasts, [this, relay] {
    if (!listeners_[static_cast<std::size_t>(relay)]) Listen(relay);
  });
}

const ListFault* Registry::FaultOf(int relay, ListFault::Kind kind) const {
  if (start_ <= 0) return nullptr;
  const Seconds now = loop_.Now() - start_;
  for (const ListFault& fault : world_.scenario().list_faults)
    if (fault.kind == kind && relay >= fault.first && relay <= fault.last && now >= fault.from &&
        now < fault.from + fault.lasts)
      return &fault;
  return nullptr;
}

bool Registry::CanBeReached(int relay) const {
  return !IsCut(relay) && listeners_[static_cast<std::size_t>(relay)] != nullptr &&
         FaultOf(relay, ListFault::Kind::kRefuse) == nullptr;
}

std::vector<Registry::Session*> Registry::SessionsOf(int relay) const {
  std::vector<Session*> sessions;
  for (const auto& [key, session] : sessions_.all())
    if (session->relay() == relay) sessions.push_back(key);
  return sessions;
}

std::vector<Registry::Session*> Registry::WatchesOf(int relay) const {
  std::vector<Session*> watches;
  for (const auto& [key, session] : sessions_.all())
    if (session->relay() == relay && session->watches()) watches.push_back(key);
  return watches;
}

// A change binds the relay some time after it could be had, whatever became of the calls for it.
void Registry::TellAtLatest(int relay, std::size_t change, net::Seconds reached_since) {
  const Seconds now = loop_.Now();
  if (!CanBeReached(relay)) reached_since = now;
  if (now >= reached_since + kToldWithin)
    return owner_.OnTold(relay, changes_[change].endpoint, changes_[change].listing);
  loop_.At(now + kLookEvery,
           [this, relay, change, reached_since] { TellAtLatest(relay, change, reached_since); });
}

Registry::~Registry() = default;

bool Registry::IsCut(int relay) const {
  return start_ > 0 && links_.IsDiscoveryLinkCut(loop_.Now() - start_, relay);
}

std::string Registry::Row(EndpointId id, EndpointStatus listing, int relay) const {
  const PartnerEndpoint& e = world_.endpoint(id);
  const nlohmann::json row = {{"instanceId", "e" + std::to_string(id)},
                              {"hostPort", address_of_(id, relay)},
                              {"zone", world_.scenario().zones[static_cast<std::size_t>(e.zone)]},
                              {"machineType", e.kind == 1 ? "apart" : "plain"},
                              {"cell", e.destination},
                              {"lifecycle", NameOf(listing)},
                              {"weight", e.rating},
                              {"startedAtMs", 0}};
  return row.dump();
}

std::string Registry::WholeList(int relay) const {
  const View& view = views_[static_cast<std::size_t>(relay)];
  std::string rows;
  for (EndpointId id = 1; id <= view.listings.size(); ++id)
    if (view.listings[id - 1] != EndpointStatus::kRemoved)
      rows += (rows.empty() ? "" : ",") + Row(id, view.listings[id - 1], relay);
  return "{\"generation\":" + std::to_string(view.known + 1) + ",\"reset\":true,\"instances\":[" + rows +
         "]}";
}

// As it stood before the latest few changes.
std::string Registry::ListBefore(int relay) const {
  constexpr std::size_t kChangesBack = 3;
  const View& view = views_[static_cast<std::size_t>(relay)];
  const std::size_t known = view.known - std::min(view.known, kChangesBack);
  std::vector<EndpointStatus> listings(view.listings.size(), EndpointStatus::kInService);
  std::vector<bool> listed(view.listings.size(), true);
  for (std::size_t i = 0; i < view.known; ++i) {
    const Change& change = changes_[i];
    const std::size_t at = change.endpoint - 1;
    // New ones come in service; what is not there yet is left out.
    if (i >= known && change.listing == EndpointStatus::kInService) listed[at] = false;
    if (i < known) listings[at] = change.listing;
  }
  std::string rows;
  for (EndpointId id = 1; id <= listings.size(); ++id)
    if (listed[id - 1] && listings[id - 1] != EndpointStatus::kRemoved)
      rows += (rows.empty() ? "" : ",") + Row(id, listings[id - 1], relay);
  return "{\"generation\":" + std::to_string(known + 1) + ",\"reset\":true,\"instances\":[" + rows + "]}";
}

std::string Registry::ChangesSince(int relay, std::size_t since) const {
  const View& view = views_[static_cast<std::size_t>(relay)];
  std::string rows;
  for (std::size_t i = since; i < view.known; ++i)
    rows += (rows.empty() ? "" : ",") + Row(changes_[i].endpoint, changes_[i].listing, relay);
  return "{\"generation\":" + std::to_string(view.known + 1) + ",\"reset\":false,\"instances\":[" + rows +
         "]}";
}

void Registry::Publish(EndpointId endpoint, EndpointStatus listing) {
  if (endpoint > listings_.size()) listings_.resize(endpoint, EndpointStatus::kRemoved);
  listings_[endpoint - 1] = listing;
  changes_.push_back({endpoint, listing});
  const std::size_t number = changes_.size();
  for (int relay = 0; relay < static_cast<int>(views_.size()); ++relay) {
    View& view = views_[static_cast<std::size_t>(relay)];
    const Seconds late = DrawFrom(world_.scenario().list_late, random_);
    view.last_due = std::max(view.last_due, loop_.Now() + late);  // changes come in their order
    loop_.At(view.last_due, [this, relay, number] { Advance(relay, number); });
  }
}

void Registry::Advance(int relay, std::size_t change) {
  View& view = views_[static_cast<std::size_t>(relay)];
  const std::size_t since = view.known;
  if (change <= since) return;
  if (IsCut(relay)) {  // it hears what it has missed once it hears again
    loop_.At(loop_.Now() + kLookEvery, [this, relay, change] { Advance(relay, change); });
    return;
  }
  view.known = change;
  for (std::size_t i = since; i < change; ++i) {
    if (changes_[i].endpoint > view.listings.size())
      view.listings.resize(changes_[i].endpoint, EndpointStatus::kRemoved);
    view.listings[changes_[i].endpoint - 1] = changes_[i].listing;
  }
  for (std::size_t i = since; i < change; ++i) TellAtLatest(relay, i, loop_.Now());
  // Copied: one that turns out to be dead drops out meanwhile.
  for (Session* session : WatchesOf(relay)) session->Tell(since);
}

}  // namespace opalroute::lab
