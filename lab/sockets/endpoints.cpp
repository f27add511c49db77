#include "lab/sockets/endpoints.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "lab/call.h"
#include "net/address.h"
#include "net/connection.h"
#include "net/http.h"

namespace opalroute::lab {

namespace {

const net::HttpBounds kBounds{16 * 1024, 64, 1 << 20};
constexpr net::Seconds kLookEvery = 0.02;  // at which a cut may have begun or ended

void Reset(int fd) {
  const linger at_once{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(fd);
}

// A message's number: ids are "m" and a number. 0: it is none of ours.
std::uint64_t NumberOf(const std::string& id) {
  return id.size() > 1 && id[0] == 'm' ? std::strtoull(id.c_str() + 1, nullptr, 10) : 0;
}

}  // namespace

// One connection of a relay; it brings one call after another.
class Endpoints::Session : public net::Connection::Owner {
 public:
  // `crowded`: the endpoint's table is full. Its first request hears so, and the connection ends.
  Session(Endpoints& all, EndpointId endpoint, int relay, bool crowded)
      : all_(all),
        endpoint_(endpoint),
        relay_(relay),
        crowded_(crowded),
        parser_(net::HttpParser::Kind::kRequest, kBounds) {}
  ~Session() override {
    all_.loop_.Cancel(timer_);
    if (!crowded_) all_.Left(endpoint_);
  }

  bool Open(int fd) {
    connection_ = net::Connection::Adopt(all_.loop_, fd, *this, 2 << 20, 1 << 20);
    return connection_ != nullptr;
  }
  EndpointId endpoint() const { return endpoint_; }
  void Close() {
    all_.loop_.Cancel(timer_);
    connection_->Close();
  }

  void OnData(net::Connection& connection) override {
    net::RingBuffer& in = connection.in();
    while (phase_ == Phase::kRests && !in.empty()) {
      in.Consume(parser_.Parse(in.Front()));
      if (parser_.failed()) return End(Outcome::kReset);
      if (!parser_.done()) continue;
      const net::HttpMessage request = std::move(parser_.message());
      parser_.Reset();
      Begin(request);
    }
    if (connection.peer_closed()) End(Outcome::kTimeout);
  }
  void OnClosed(net::Connection&, net::Connection::CloseReason) override { End(Outcome::kTimeout); }

  // It is over: its relay has given up, or its machine goes. A call on its way still arrives.
  void End(Outcome outcome) {
    const RouteModel& lane = Lane();
    if (phase_ != Phase::kRests && lane.InOutage(all_.now()))
      all_.auditor_.OnOutageObserved(relay_, Machine());
    for (const Member& member : std::exchange(awaited_, {}))
      if (member.attempt != Ledger::kVoid) all_.ledger_.Over(all_.now(), member.id, member.attempt, outcome);
    if (phase_ == Phase::kComing && !std::exchange(left_, true)) return connection_->Close();
    if (phase_ != Phase::kComing) all_.sessions_.Remove(*this);
  }

 private:
  enum class Phase { kRests, kComing, kWorks };
  struct Member {
    std::uint64_t id = 0;
    std::string name;
    int attempt = Ledger::kVoid;
  };

  std::uint32_t LaneNumber() const { return all_.world_.endpoint(endpoint_).lane; }
  std::uint32_t Machine() const { return all_.world_.endpoint(endpoint_).machine; }
  RouteModel& Lane() const { return all_.world_.lane(Machine()); }

  void Begin(const net::HttpMessage& request) {
    probe_ = request.method == "GET" && (request.target == "/health/live" || request.target == "/stats");
    batch_ = request.target == "/hook/batch";
    if (!probe_ && (request.method != "POST" || (request.target != "/hook" && !batch_)))
      return Write(404, 0, {});
    members_.clear();
    if (!probe_ && !ReadMembers(request)) return Write(400, 0, {});
    const Seconds now = all_.now();
    for (Member& member : members_) member.attempt = all_.ledger_.Arrived(now, relay_, member.id, endpoint_);
    awaited_ = members_;
    all_.tally_.Call(now, relay_, endpoint_);
    if (probe_) ++all_.tally_.result().probes;
    phase_ = Phase::kComing;
    const Seconds way = all_.WayOf(endpoint_, relay_);
    const Seconds first = std::exchange(fresh_, false) ? 2 * way + all_.world_.scenario().handshake : 0;
    After(way + first, [this] { Take(); });
  }

  bool ReadMembers(const net::HttpMessage& request) {
    const auto add = [this](const std::string& name) {
      members_.push_back({NumberOf(name), name, Ledger::kVoid});
      return members_.back().id > 0;
    };
    if (!batch_) {
      const std::string* name = request.Header("X-Txn");
      return name != nullptr && add(*name);
    }
    const auto rows = nlohmann::json::parse(request.body, nullptr, false);
    if (!rows.is_array() || rows.empty()) return false;
    return std::all_of(rows.begin(), rows.end(), [&](const nlohmann::json& row) {
      return row.is_object() && row.contains("id") && row["id"].is_string() && add(row["id"]);
    });
  }

  void After(Seconds delay, std::function<void()> then) {
    timer_ = all_.loop_.At(all_.loop_.Now() + delay, [this, then = std::move(then)] {
      timer_ = 0;
      then();
    });
  }

  void Take() {
    phase_ = Phase::kWorks;
    const Seconds now = all_.now();
    if (IsCut()) return GoSilent();
    if (crowded_) {
      for (const Member& member : std::exchange(awaited_, {}))
        if (member.attempt != Ledger::kVoid)
          all_.ledger_.Over(now, member.id, member.attempt, Outcome::kOutOfConnections);
      connection_->Write(net::FormatResponse(503, {{"Connection", "close"}}, {}));
      return all_.sessions_.Remove(*this);
    }
    const bool all_void = !probe_ && std::all_of(members_.begin(), members_.end(), [](const Member& member) {
      return member.attempt == Ledger::kVoid;
    });
    if (all_void) return left_ ? all_.sessions_.Remove(*this) : Answer({});
    const RouteModel::CallResult verdict =
        ServeCall(all_.world_, all_.auditor_, all_.tally_, now, relay_, all_.world_.endpoint(endpoint_));
    if (verdict.ran)
      for (const Member& member : members_)
        if (member.attempt != Ledger::kVoid) all_.ledger_.Ran(now, member.id);
    if (left_) return all_.sessions_.Remove(*this);
    if (verdict.status == RouteModel::CallStatus::kNoResponse) return;  // until its relay gives up
    After(verdict.duration + all_.WayOf(endpoint_, relay_), [this, verdict] { Answer(verdict); });
  }

  bool IsCut() const { return all_.IsCut(endpoint_, relay_); }
  // What is open stays open, and nothing comes through it any more: its relay gives it up.
  void GoSilent() {
    if (left_) all_.sessions_.Remove(*this);
  }

  void Answer(const RouteModel::CallResult& verdict) {
    const Seconds now = all_.now();
    if (IsCut()) return GoSilent();
    if (verdict.status != RouteModel::CallStatus::kServed && Lane().InOutage(now))
      all_.auditor_.OnOutageObserved(relay_, Machine());
    if (verdict.status == RouteModel::CallStatus::kReset) return End(Outcome::kReset);
    if (verdict.status == RouteModel::CallStatus::kInvalidResponse) {
      connection_->Write("HTTP/1.1 2xx fine\r\nContent-Length: many\r\n\r\n");
      return End(Outcome::kReset);
    }
    const bool full = verdict.status == RouteModel::CallStatus::kRejected;
    const bool error = verdict.status == RouteModel::CallStatus::kError;
    const Seconds wait = full && !probe_ ? verdict.retry_after : 0;
    for (const Member& member : std::exchange(awaited_, {}))
      if (member.attempt != Ledger::kVoid)
        all_.ledger_.Over(now, member.id, member.attempt,
                          full    ? Outcome::kRejected
                          : error ? Outcome::kError
                                  : Outcome::kServed);
    if (wait > 0) all_.auditor_.OnRetryAfterReceived(now, relay_, LaneNumber(), wait);
    const bool one_void = std::any_of(members_.begin(), members_.end(),
                                      [](const Member& member) { return member.attempt == Ledger::kVoid; });
    if (!batch_) return Write(one_void ? 410 : full ? (wait > 0 ? 429 : 503) : error ? 500 : 200, wait, {});
    if ((full || error) && !one_void) return Write(full ? (wait > 0 ? 429 : 503) : 500, wait, {});
    nlohmann::json rows = nlohmann::json::array();
    for (const Member& member : members_)
      rows.push_back({{"id", member.name},
                      {"state", member.attempt == Ledger::kVoid ? "void"
                                : full                          ? "busy"
                                : error                         ? "failed"
                                                                : "done"}});
    Write(200, wait, rows.dump());
  }

  void Write(int status, Seconds wait, const std::string& body) {
    net::Headers headers;
    if (wait > 0)
      headers.emplace_back("X-RateLimit-Wait-Ms", std::to_string(static_cast<long>(std::ceil(wait * 1000))));
    phase_ = Phase::kRests;
    connection_->Write(net::FormatResponse(status, headers, body));
    OnData(*connection_);
  }

  Endpoints& all_;
  const EndpointId endpoint_;
  const int relay_;
  const bool crowded_;
  std::unique_ptr<net::Connection> connection_;
  net::HttpParser parser_;
  Phase phase_ = Phase::kRests;
  bool fresh_ = true, left_ = false, probe_ = false, batch_ = false;
  std::vector<Member> members_, awaited_;
  net::EventLoop::TimerId timer_ = 0;
};

Endpoints::Endpoints(net::EventLoop& loop, World& world, Auditor& auditor, Ledger& ledger, Tally& tally,
                     std::uint64_t seed)
    : loop_(loop),
      world_(world),
      auditor_(auditor),
      ledger_(ledger),
      tally_(tally),
      links_(world.scenario().links, seed),
      start_(loop.Now()),
      sessions_(loop) {
  pcg32 random(seed, 3);
  const Scenario& s = world.scenario();
  for (int relay = 0; relay < s.relays; ++relay) {
    one_way_.emplace_back();
    for (std::size_t zone = 0; zone < s.zones.size(); ++zone)
      one_way_.back().push_back(DrawFrom(s.one_way, random));
    listeners_.push_back(std::make_unique<net::Listener>(loop, ListenOnLoopback(),
                                                         [this, relay](int fd) { Accept(fd, relay); }));
  }
  for (EndpointId id = 1; id <= world.endpoint_count(); ++id) {
    const auto& outages = world.lane(world.endpoint(id).machine).faults();
    const bool closes = std::any_of(outages.begin(), outages.end(), [](const RouteFault& outage) {
      return outage.kind == RouteFaultKind::kRefuseConnections || outage.kind == RouteFaultKind::kUnreachable;
    });
    for (int relay = 0; relay < s.relays; ++relay) {
      if (!closes && !MeetsCut(id, relay)) continue;
      Door& door = doors_[{id, relay}];
      door.endpoint = id;
      door.relay = relay;
      door.address = std::make_unique<ReservedAddress>(LoopbackOf(id).sin_addr);
      Tend(door);
    }
  }
}

Endpoints::~Endpoints() { ending_ = true; }

bool Endpoints::Crowded(EndpointId endpoint) const {
  const int most = world_.endpoint(endpoint).connections;
  const auto taken = taken_.find(endpoint);
  return most > 0 && taken != taken_.end() && taken->second >= most;
}

void Endpoints::Tend(Door& door) {
  const int relay = door.relay;
  const bool silent = door.vanished || IsCut(door.endpoint, door.relay);
  if (!silent) door.hole.reset();  // before anybody listens there again
  if (door.refuses || silent)
    door.listener.reset();
  else if (door.listener == nullptr)
    door.listener = std::make_unique<net::Listener>(loop_, door.address->address(),
                                                    [this, relay](int fd) { Accept(fd, relay); });
  if (silent && door.hole == nullptr) door.hole = std::make_unique<BlackHole>(door.address->address());
}

bool Endpoints::IsCut(EndpointId endpoint, int relay) const {
  return begun_ && loop_.Now() >= start_ &&
         links_.IsEndpointLinkCut(now(), relay, world_.endpoint(endpoint).zone);
}

bool Endpoints::MeetsCut(EndpointId endpoint, int relay) const {
  const auto& cuts = world_.scenario().links.cuts;
  return std::any_of(cuts.begin(), cuts.end(), [&](const LinkCut& cut) {
    return cut.target == LinkCut::Target::kEndpoints && relay >= cut.first && relay <= cut.last &&
           (cut.zone < 0 || cut.zone == world_.endpoint(endpoint).zone);
  });
}

// Cuts may begin, flap and end at any time.
void Endpoints::LookForCuts() {
  for (auto& [key, door] : doors_)
    if (MeetsCut(key.first, key.second)) Tend(door);
  loop_.At(loop_.Now() + kLookEvery, [this] { LookForCuts(); });
}

void Endpoints::Left(EndpointId endpoint) {
  if (ending_ || world_.endpoint(endpoint).connections == 0) return;
  --taken_[endpoint];
}

void Endpoints::Begin(net::Seconds start) {
  start_ = start;
  begun_ = true;
  for (auto& [key, value] : doors_) {
    Door& door = value;
    for (const RouteFault& outage : world_.lane(world_.endpoint(door.endpoint).machine).faults()) {
      if (outage.kind != RouteFaultKind::kRefuseConnections && outage.kind != RouteFaultKind::kUnreachable)
        continue;
      bool& state = outage.kind == RouteFaultKind::kUnreachable ? door.vanished : door.refuses;
      for (const bool holds : {true, false})
        loop_.At(start + (holds ? outage.from : outage.to), [this, &door, &state, holds] {
          state = holds;
          Tend(door);
        });
    }
  }
  LookForCuts();
}

std::string Endpoints::AddressOf(EndpointId endpoint, int relay) const {
  const auto door = doors_.find({endpoint, relay});
  if (door != doors_.end()) return net::FormatAddress(door->second.address->address());
  sockaddr_in address = LoopbackOf(endpoint);
  address.sin_port = listeners_[static_cast<std::size_t>(relay)]->address().sin_port;
  return net::FormatAddress(address);
}

Seconds Endpoints::WayOf(EndpointId endpoint, int relay) const {
  return one_way_[static_cast<std::size_t>(relay)][static_cast<std::size_t>(world_.endpoint(endpoint).zone)];
}

void Endpoints::Accept(int fd, int relay) {
  const EndpointId endpoint = EndpointAt(net::BoundAddress(fd));
  const bool there = endpoint >= 1 && endpoint <= world_.endpoint_count() &&
                     (endpoint >= gone_.size() || !gone_[endpoint]) &&
                     !world_.lane(world_.endpoint(endpoint).machine).collapsed();
  if (!there) return Reset(fd);
  const bool crowded = Crowded(endpoint);
  if (!crowded && world_.endpoint(endpoint).connections > 0) ++taken_[endpoint];
  if (!crowded) tally_.Connected();
  sessions_.Add(std::make_unique<Session>(*this, endpoint, relay, crowded), fd);
}

void Endpoints::Remove(EndpointId endpoint) {
  if (gone_.size() <= endpoint) gone_.resize(endpoint + 1);
  gone_[endpoint] = true;
  std::vector<Session*> ending;
  for (const auto& [key, session] : sessions_.all())
    if (session->endpoint() == endpoint) ending.push_back(key);
  for (Session* session : ending) session->End(Outcome::kReset);
}

}  // namespace opalroute::lab
