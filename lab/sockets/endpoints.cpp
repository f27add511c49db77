#include "lab/sockets/endpoints.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

#include "lab/serve_call.h"
#include "net/address.h"
#include "net/connection.h"
#include "net/http.h"

namespace opalroute::lab {

namespace {

const net::HttpBounds kBounds{16 * 1024, 64, 1 << 20};
constexpr net::Seconds kCutPollInterval = 0.02;  // cuts may flap, so their state is polled

// The socket's connection is reset when it is closed.
void ResetOnClose(int fd) {
  const linger no_linger{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
}

void CloseWithReset(int fd) {
  ResetOnClose(fd);
  close(fd);
}

// Returns the number of a request id, which is "m" and a number, or 0 if the laboratory didn't create it.
std::uint64_t ParseRequestId(const std::string& id) {
  return id.size() > 1 && id[0] == 'm' ? std::strtoull(id.c_str() + 1, nullptr, 10) : 0;
}

}  // namespace

// A relay's connection to an endpoint. It carries one call at a time.
class Endpoints::Session : public net::Connection::Owner {
 public:
  // `over_limit`: the endpoint has as many connections as it accepts. The first request gets a 503, and the
  // connection is closed.
  Session(Endpoints& owner, EndpointId endpoint, int relay, bool over_limit)
      : owner_(owner),
        endpoint_(endpoint),
        relay_(relay),
        over_limit_(over_limit),
        parser_(net::HttpParser::Kind::kRequest, kBounds),
        stray_responses_(owner.world_.scenario().stray_responses,
                         owner.world_.scenario().stray_responses.share, owner.stray_random_),
        faults_(owner.world_.scenario().connection_faults, owner.connection_random_) {}
  ~Session() override {
    CancelTimers();
    if (!over_limit_) owner_.OnConnectionEnded(endpoint_);
  }

  bool Open(int fd) {
    fd_ = fd;
    connection_ = net::Connection::Adopt(owner_.loop_, fd, *this, {2 << 20, 1 << 20});
    return connection_ != nullptr;
  }
  EndpointId endpoint() const { return endpoint_; }
  void Close() {
    CancelTimers();
    connection_->Close();
  }

  void OnData(net::Connection& connection) override {
    net::RingBuffer& in = connection.in();
    while (phase_ == Phase::kIdle && !in.empty()) {
      in.Consume(parser_.Parse(in.Front()));
      if (parser_.failed()) return End(Outcome::kReset);
      if (!parser_.done()) continue;
      const net::HttpMessage call = std::move(parser_.message());
      parser_.Reset();
      StartCall(call);
    }
    if (connection.peer_closed()) End(Outcome::kTimeout);
  }
  void OnClosed(net::Connection&, net::Connection::CloseReason) override { End(Outcome::kTimeout); }

  // Ends the session: the relay has closed the connection, or the endpoint does. A call that is still on its
  // way to the endpoint arrives nevertheless.
  void End(Outcome outcome) {
    const RouteModel& model = MachineModel();
    if (phase_ != Phase::kIdle && model.InOutage(owner_.now()))
      owner_.auditor_.OnOutageObserved(owner_.now(), relay_, MachineNumber());
    for (const Request& request : std::exchange(unanswered_, {}))
      if (request.attempt >= 0)
        owner_.tracker_.OnAttemptEnded(owner_.now(), request.id, request.attempt, outcome);
    if (phase_ == Phase::kArriving && !std::exchange(has_ended_, true)) return connection_->Close();
    if (phase_ != Phase::kArriving) owner_.sessions_.Remove(*this);
  }

 private:
  enum class Phase { kIdle, kArriving, kProcessing };
  struct Request {
    std::uint64_t id = 0;
    std::string name;
    int attempt = MessageTracker::kVoid;
    bool is_withdrawn = false;

    bool IsOver() const { return attempt == MessageTracker::kVoid || is_withdrawn; }
    bool MayRun() const { return attempt >= 0 && !is_withdrawn; }
  };

  std::uint32_t RouteNumber() const { return owner_.world_.endpoint(endpoint_).route; }
  std::uint32_t MachineNumber() const { return owner_.world_.endpoint(endpoint_).machine_route; }
  RouteModel& MachineModel() const { return owner_.world_.route(MachineNumber()); }
  const WithdrawalPlan& Withdrawals() const { return owner_.world_.scenario().withdrawals; }

  void StartCall(const net::HttpMessage& call) {
    is_health_check_ = call.method == "GET" && (call.target == "/health/live" || call.target == "/stats");
    is_batch_ = call.target == "/hook/batch";
    if (!is_health_check_ && (call.method != "POST" || (call.target != "/hook" && !is_batch_)))
      return Write(404, 0, {});
    requests_.clear();
    if (!is_health_check_ && !ReadRequests(call)) return Write(400, 0, {});
    const Seconds now = owner_.now();
    for (Request& request : requests_)
      request.attempt = owner_.tracker_.OnAttemptArrived(now, relay_, request.id, endpoint_);
    unanswered_ = requests_;
    owner_.tally_.CountCall(now, relay_, endpoint_);
    if (is_health_check_) ++owner_.tally_.result().health_checks;
    phase_ = Phase::kArriving;
    ScheduleStrayResponse();
    const Seconds delay = owner_.OneWayDelay(endpoint_, relay_);
    const Seconds handshake =
        std::exchange(is_first_call_, false) ? 2 * delay + owner_.world_.scenario().handshake_time : 0;
    Schedule(delay + handshake, [this] { HandleArrival(); });
  }

  void ScheduleStrayResponse() {
    stray_ = stray_responses_.OnRequest();
    if (!stray_) return;
    ++owner_.tally_.result().stray_responses;
    owner_.loop_.Cancel(stray_timer_);
    stray_timer_ = owner_.loop_.At(owner_.loop_.Now() + stray_->delay, [this, bytes = stray_->bytes] {
      stray_timer_ = 0;
      connection_->Write(bytes);
    });
  }
  bool ReplacesOwnResponse() const {
    return stray_ && OwnResponseToStray() != StrayResponsePlan::OwnResponse::kUnchanged;
  }
  StrayResponsePlan::OwnResponse OwnResponseToStray() const {
    return owner_.world_.scenario().stray_responses.own_response;
  }
  // The call does not run.
  void HandleCallWithStrayResponse() {
    using OwnResponse = StrayResponsePlan::OwnResponse;
    constexpr Seconds kRetryAfter = 0.3;
    const OwnResponse own = OwnResponseToStray();
    if (own == OwnResponse::kNone) return;  // until the relay closes the connection
    RouteModel::CallResult result;
    result.status =
        own == OwnResponse::kClosed ? RouteModel::CallStatus::kReset : RouteModel::CallStatus::kRejected;
    result.retry_after = own == OwnResponse::kRetryAfter ? kRetryAfter : 0;
    Schedule(stray_->own_delay, [this, result] { SendResponse(result); });
  }

  bool ReadRequests(const net::HttpMessage& call) {
    const auto add = [this](const std::string& name) {
      const std::uint64_t id = ParseRequestId(name);
      requests_.push_back({id, name, MessageTracker::kVoid, IsWithdrawn(Withdrawals(), id)});
      return id > 0;
    };
    if (!is_batch_) {
      const std::string* name = call.Header("X-Txn");
      return name != nullptr && add(*name);
    }
    const auto rows = nlohmann::json::parse(call.body, nullptr, false);
    if (!rows.is_array() || rows.empty()) return false;
    return std::all_of(rows.begin(), rows.end(), [&](const nlohmann::json& row) {
      return row.is_object() && row.contains("id") && row["id"].is_string() && add(row["id"]);
    });
  }

  void Schedule(Seconds delay, std::function<void()> action) {
    timer_ = owner_.loop_.At(owner_.loop_.Now() + delay, [this, action = std::move(action)] {
      timer_ = 0;
      action();
    });
  }

  void HandleArrival() {
    phase_ = Phase::kProcessing;
    const Seconds now = owner_.now();
    if (IsCut()) return StaySilent();
    if (over_limit_) {
      for (const Request& request : std::exchange(unanswered_, {}))
        if (request.attempt >= 0)
          owner_.tracker_.OnAttemptEnded(now, request.id, request.attempt, Outcome::kOutOfConnections);
      connection_->Write(net::FormatResponse(503, {{"Connection", "close"}}, {}));
      return owner_.sessions_.Remove(*this);
    }
    const auto call_fault = faults_.DrawCallFault();
    if (call_fault != ConnectionFaults::CallFault::kNone) return FailCall(call_fault);
    const bool is_void =
        !is_health_check_ && std::none_of(requests_.begin(), requests_.end(), std::mem_fn(&Request::MayRun));
    if (is_void) return has_ended_ ? owner_.sessions_.Remove(*this) : SendResponse({});
    if (ReplacesOwnResponse())
      return has_ended_ ? owner_.sessions_.Remove(*this) : HandleCallWithStrayResponse();
    const RouteModel::CallResult verdict = ServeCall(owner_.world_, owner_.auditor_, owner_.tally_, now,
                                                     relay_, owner_.world_.endpoint(endpoint_));
    if (verdict.ran)
      for (const Request& request : requests_)
        if (request.MayRun()) owner_.tracker_.OnExecuted(now, request.id);
    if (has_ended_) return owner_.sessions_.Remove(*this);
    if (verdict.status == RouteModel::CallStatus::kNoResponse)
      return;  // until the relay closes the connection
    Schedule(verdict.duration + owner_.OneWayDelay(endpoint_, relay_),
             [this, verdict] { SendResponse(verdict); });
  }

  // The call does not run.
  void FailCall(ConnectionFaults::CallFault fault) {
    if (fault == ConnectionFaults::CallFault::kSilent) return StaySilent();
    if (fault == ConnectionFaults::CallFault::kReset) ResetOnClose(fd_);
    End(Outcome::kReset);
  }

  bool IsCut() const { return owner_.IsCut(endpoint_, relay_); }
  // Leaves the connection open without a response, until the relay closes it.
  void StaySilent() {
    if (has_ended_) owner_.sessions_.Remove(*this);
  }

  void SendResponse(const RouteModel::CallResult& verdict) {
    const Seconds now = owner_.now();
    if (IsCut()) return StaySilent();
    if (verdict.status != RouteModel::CallStatus::kServed && MachineModel().InOutage(now))
      owner_.auditor_.OnOutageObserved(now, relay_, MachineNumber());
    if (verdict.status == RouteModel::CallStatus::kReset) return End(Outcome::kReset);
    if (verdict.status == RouteModel::CallStatus::kInvalidResponse) {
      connection_->Write("HTTP/1.1 2xx fine\r\nContent-Length: many\r\n\r\n");
      return End(Outcome::kReset);
    }
    const bool full = verdict.status == RouteModel::CallStatus::kRejected;
    const bool error = verdict.status == RouteModel::CallStatus::kError;
    const Seconds wait = full && !is_health_check_ ? verdict.retry_after : 0;
    for (const Request& request : std::exchange(unanswered_, {})) {
      if (request.attempt < 0) continue;
      owner_.tracker_.OnAttemptEnded(now, request.id, request.attempt,
                                     request.is_withdrawn ? Outcome::kNotSent
                                     : full               ? Outcome::kRejected
                                     : error              ? Outcome::kError
                                                          : Outcome::kServed);
      if (request.is_withdrawn) owner_.tracker_.OnWithdrawnByEndpoint(now, request.id);
    }
    if (wait > 0) owner_.auditor_.OnRetryAfterReceived(now, relay_, RouteNumber(), wait);
    const bool has_void = std::any_of(requests_.begin(), requests_.end(), std::mem_fn(&Request::IsOver));
    if (!is_batch_)
      return Write(has_void ? 410 : full ? (wait > 0 ? 429 : 503) : error ? 500 : 200, wait, {});
    if ((full || error) && !has_void) return Write(full ? (wait > 0 ? 429 : 503) : 500, wait, {});
    nlohmann::json rows = nlohmann::json::array();
    for (const Request& request : requests_)
      rows.push_back({{"id", request.name},
                      {"state", request.IsOver()                             ? "void"
                                : request.attempt == MessageTracker::kRepeat ? "done"
                                : full                                       ? "busy"
                                : error                                      ? "failed"
                                                                             : "done"}});
    Write(200, wait, rows.dump());
  }

  void Write(int status, Seconds wait, const std::string& body) {
    net::Headers headers;
    if (wait > 0)
      headers.emplace_back("X-RateLimit-Wait-Ms", std::to_string(static_cast<long>(std::ceil(wait * 1000))));
    phase_ = Phase::kIdle;
    const std::string response = net::FormatResponse(status, headers, body);
    connection_->Write(response);
    stray_responses_.OnResponseWritten(response);
    if (const auto idle_close = faults_.DrawIdleClose()) CloseIfIdleAfter(*idle_close);
    OnData(*connection_);
  }
  void CloseIfIdleAfter(Seconds delay) {
    owner_.loop_.Cancel(idle_close_timer_);
    idle_close_timer_ = owner_.loop_.At(owner_.loop_.Now() + delay, [this] {
      idle_close_timer_ = 0;
      if (phase_ == Phase::kIdle) End(Outcome::kReset);
    });
  }
  void CancelTimers() {
    owner_.loop_.Cancel(idle_close_timer_);
    owner_.loop_.Cancel(timer_);
    owner_.loop_.Cancel(stray_timer_);
  }

  Endpoints& owner_;
  const EndpointId endpoint_;
  const int relay_;
  const bool over_limit_;
  std::unique_ptr<net::Connection> connection_;
  int fd_ = -1;  // of the connection
  net::HttpParser parser_;
  Phase phase_ = Phase::kIdle;
  bool is_first_call_ = true;
  bool has_ended_ = false;  // while the call was still arriving
  bool is_health_check_ = false, is_batch_ = false;
  std::vector<Request> requests_;    // of the current call
  std::vector<Request> unanswered_;  // those whose outcome is not reported yet
  net::EventLoop::TimerId timer_ = 0, stray_timer_ = 0, idle_close_timer_ = 0;
  StrayResponses stray_responses_;
  ConnectionFaults faults_;
  std::optional<StrayResponse> stray_;  // of the current call
};

Endpoints::Endpoints(net::EventLoop& loop, World& world, Auditor& auditor, MessageTracker& tracker,
                     Tally& tally, std::uint64_t seed)
    : loop_(loop),
      world_(world),
      auditor_(auditor),
      tracker_(tracker),
      tally_(tally),
      links_(world.scenario().links, seed),
      start_(loop.Now()),
      stray_random_(seed, 6),
      connection_random_(seed, 8),
      sessions_(loop) {
  pcg32 random(seed, 3);
  const Scenario& scenario = world.scenario();
  for (int relay = 0; relay < scenario.relays; ++relay) {
    one_way_delays_.emplace_back();
    for (std::size_t zone = 0; zone < scenario.zones.size(); ++zone)
      one_way_delays_.back().push_back(DrawFrom(scenario.one_way_delay, random));
    shared_listeners_.push_back(std::make_unique<net::Listener>(
        loop, ListenOnLoopback(), [this, relay](int fd) { Accept(fd, relay); }));
  }
  for (EndpointId id = 1; id <= world.endpoint_count(); ++id) {
    const auto& outages = world.route(world.endpoint(id).machine_route).faults();
    const bool is_unreachable_at_times =
        std::any_of(outages.begin(), outages.end(), [](const RouteFault& outage) {
          return outage.kind == RouteFaultKind::kRefuseConnections ||
                 outage.kind == RouteFaultKind::kUnreachable;
        });
    for (int relay = 0; relay < scenario.relays; ++relay) {
      if (!is_unreachable_at_times && !HasScheduledCut(id, relay)) continue;
      SeparateListener& entry = separate_listeners_[{id, relay}];
      entry.endpoint = id;
      entry.relay = relay;
      entry.address = std::make_unique<ReservedAddress>(LoopbackAddress(id).sin_addr);
      Update(entry);
    }
  }
}

Endpoints::~Endpoints() { is_shutting_down_ = true; }

bool Endpoints::IsAtConnectionLimit(EndpointId endpoint) const {
  const int limit = world_.endpoint(endpoint).max_connections;
  const auto count = connection_counts_.find(endpoint);
  return limit > 0 && count != connection_counts_.end() && count->second >= limit;
}

void Endpoints::Update(SeparateListener& entry) {
  const int relay = entry.relay;
  const bool silent = entry.vanished || IsCut(entry.endpoint, entry.relay);
  if (!silent) entry.black_hole.reset();  // before the listener is opened again
  if (entry.refuses || silent)
    entry.listener.reset();
  else if (entry.listener == nullptr)
    entry.listener = std::make_unique<net::Listener>(loop_, entry.address->address(),
                                                     [this, relay](int fd) { Accept(fd, relay); });
  if (silent && entry.black_hole == nullptr)
    entry.black_hole = std::make_unique<BlackHole>(entry.address->address());
}

bool Endpoints::IsCut(EndpointId endpoint, int relay) const {
  return has_begun_ && loop_.Now() >= start_ &&
         links_.IsEndpointLinkCut(now(), relay, world_.endpoint(endpoint).zone);
}

bool Endpoints::HasScheduledCut(EndpointId endpoint, int relay) const {
  const auto& cuts = world_.scenario().links.cuts;
  return std::any_of(cuts.begin(), cuts.end(), [&](const LinkCut& cut) {
    return cut.target == LinkCut::Target::kEndpoints && relay >= cut.first && relay <= cut.last &&
           (cut.zone < 0 || cut.zone == world_.endpoint(endpoint).zone);
  });
}

void Endpoints::PollCuts() {
  for (auto& [key, entry] : separate_listeners_)
    if (HasScheduledCut(key.first, key.second)) Update(entry);
  loop_.At(loop_.Now() + kCutPollInterval, [this] { PollCuts(); });
}

void Endpoints::OnConnectionEnded(EndpointId endpoint) {
  if (is_shutting_down_ || world_.endpoint(endpoint).max_connections == 0) return;
  --connection_counts_[endpoint];
}

void Endpoints::Begin(net::Seconds start) {
  start_ = start;
  has_begun_ = true;
  for (auto& [key, value] : separate_listeners_) {
    SeparateListener& entry = value;
    for (const RouteFault& outage : world_.route(world_.endpoint(entry.endpoint).machine_route).faults()) {
      if (outage.kind != RouteFaultKind::kRefuseConnections && outage.kind != RouteFaultKind::kUnreachable)
        continue;
      bool& flag = outage.kind == RouteFaultKind::kUnreachable ? entry.vanished : entry.refuses;
      for (const bool is_active : {true, false})
        loop_.At(start + (is_active ? outage.from : outage.to), [this, &entry, &flag, is_active] {
          flag = is_active;
          Update(entry);
        });
    }
  }
  PollCuts();
}

std::string Endpoints::AddressOf(EndpointId endpoint, int relay) const {
  const auto entry = separate_listeners_.find({endpoint, relay});
  if (entry != separate_listeners_.end()) return net::FormatAddress(entry->second.address->address());
  sockaddr_in address = LoopbackAddress(endpoint);
  address.sin_port = shared_listeners_[static_cast<std::size_t>(relay)]->address().sin_port;
  return net::FormatAddress(address);
}

Seconds Endpoints::OneWayDelay(EndpointId endpoint, int relay) const {
  return one_way_delays_[static_cast<std::size_t>(relay)]
                        [static_cast<std::size_t>(world_.endpoint(endpoint).zone)];
}

void Endpoints::Accept(int fd, int relay) {
  const EndpointId endpoint = EndpointIdOf(net::BoundAddress(fd));
  const bool exists = endpoint >= 1 && endpoint <= world_.endpoint_count() &&
                      (endpoint >= removed_.size() || !removed_[endpoint]) &&
                      !world_.route(world_.endpoint(endpoint).machine_route).collapsed();
  if (!exists) return CloseWithReset(fd);
  const bool over_limit = IsAtConnectionLimit(endpoint);
  if (!over_limit && world_.endpoint(endpoint).max_connections > 0) ++connection_counts_[endpoint];
  if (!over_limit) tally_.CountConnection();
  sessions_.Add(std::make_unique<Session>(*this, endpoint, relay, over_limit), fd);
}

void Endpoints::Remove(EndpointId endpoint) {
  if (removed_.size() <= endpoint) removed_.resize(endpoint + 1);
  removed_[endpoint] = true;
  std::vector<Session*> sessions;
  for (const auto& [key, session] : sessions_.all())
    if (session->endpoint() == endpoint) sessions.push_back(key);
  for (Session* session : sessions) session->End(Outcome::kReset);
}

}  // namespace opalroute::lab
