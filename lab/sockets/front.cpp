#include "lab/sockets/front.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace opalroute::lab {

namespace {

constexpr std::size_t kBodyBytes = 200;
constexpr Seconds kLooksAgain = 1;     // a relay that refused a connection gets no other for so long
constexpr Seconds kNobodyThere = 0.1;  // the front asks again after this while it knows no relay
// After SIGTERM new connections come for so long (the platform's protocol, 'Figures').
constexpr Range kNewConnectionsCome = {0.2, 0.4};
constexpr Seconds kClosesIdle = 0.45;       // after SIGTERM, as README tells clients; and ...
constexpr Seconds kEndsAtLatest = 3.45;     // ... the end of the process
constexpr Seconds kFirstRequestWithin = 2;  // after its connection, as README tells clients
constexpr Seconds kCrossingGathers = 0.1;   // arrivals of so long are sent at once
constexpr Seconds kCrossingSpread = 0.004;  // on either side of the moment
constexpr double kBegunBefore = 0.5;        // so many of the requests have begun before it ...
constexpr std::size_t kBytesBefore = 100;   // ... with so much of them
constexpr Seconds kLeastRemaining = 0.001;  // of a message's time, for it to be handed in
constexpr int kUnwatchedAtStop = 8;         // connections opened to a relay that is told to end ...
constexpr int kUnwatchedAtStart = 2;        // ... and to one that has become ready

net::ClientBounds Bounds() {
  net::ClientBounds bounds;
  bounds.http = {16 * 1024, 64, 64 * 1024};
  bounds.request_bytes = 64 * 1024;
  bounds.connections = 4096;
  bounds.connect_timeout = Front::kAnswerTime;
  bounds.idle_timeout = 5;  // less than a relay keeps a client's connection
  bounds.response_timeout = bounds.response_rest_timeout = Front::kAnswerTime;
  return bounds;
}

}  // namespace

class Front::Call : public net::HttpClient::Call {
 public:
  Call(Front& front, std::size_t client, int relay, std::uint64_t id, std::string request)
      : front_(front), client_(client), relay_(relay), id_(id), request_(std::move(request)) {}
  ~Call() override { Settle(); }
  void Settle() { front_.loop_.Cancel(timer_); }

  void Start(const sockaddr_in& address) {
    AwaitAnswer();
    front_.client_.Start({address, 0}, *this);
  }
  // So many bytes of the request go out now, the rest at the moment given.
  void SendAt(net::Seconds when, std::size_t bytes_now, std::unique_ptr<UnwatchedConnection> connection) {
    connection_ = std::move(connection);
    if (bytes_now > 0) connection_->Send(request_.substr(0, bytes_now));
    timer_ = front_.loop_.At(when, [this, bytes_now, starts = front_.relays_[Index()].starts] {
      timer_ = 0;
      const bool is_same_process = front_.relays_[Index()].starts == starts;
      if (!is_same_process || !connection_->Send(request_.substr(bytes_now)))
        return OnFailure(net::HttpClient::Failure::kNotWritten, 0);
      sent_ = front_.loop_.Now();
      AwaitAnswer();
      connection_->Watch(front_.loop_, *this);
    });
  }

 private:
  std::size_t Index() const { return static_cast<std::size_t>(relay_); }
  void AwaitAnswer() {
    timer_ = front_.loop_.At(front_.loop_.Now() + kAnswerTime, [this] {
      timer_ = 0;
      front_.client_.Abandon(*this);
      ComeElsewhere();
    });
  }
  std::string OnReady() override {
    sent_ = front_.loop_.Now();
    return request_;
  }
  void OnResponse(net::HttpMessage& answer) override {
    const Seconds now = front_.now();
    if (answer.status == 202 || answer.status == 200) {
      front_.answer_times_.Add(front_.loop_.Now() - sent_);
      front_.ledger_.TakenOn(now, id_);
      if (front_.on_accepted) front_.on_accepted(relay_);
    } else if (answer.status == 429 || answer.status == 503) {
      const std::string* wait = answer.Header("Retry-After");
      front_.ledger_.Refused(now, id_);
      front_.ComeAgain(client_, wait == nullptr ? 0 : std::max(0.0, std::strtod(wait->c_str(), nullptr)));
    } else {
      front_.ledger_.Failed(now, id_);
    }
    front_.Drop(*this);
  }
  void OnFailure(net::HttpClient::Failure how, int) override {
    if (how == net::HttpClient::Failure::kNotConnected) front_.Avoid(relay_);
    if (how == net::HttpClient::Failure::kReset && front_.on_closed)
      front_.on_closed(relay_, id_, connection_ != nullptr);
    ComeElsewhere();
  }
  // No answer: what this relay has done or still does under this id counts no more.
  void ComeElsewhere() {
    Front& front = front_;
    front.ledger_.Withdrawn(front.now(), id_);
    front.Later(client_, 0, "again");
    front.Drop(*this);
  }

  Front& front_;
  const std::size_t client_;
  const int relay_;
  const std::uint64_t id_;
  const std::string request_;
  net::Seconds sent_ = 0;
  net::EventLoop::TimerId timer_ = 0;
  std::unique_ptr<UnwatchedConnection> connection_;
};

Front::Front(net::EventLoop& loop, const Scenario& scenario, Traffic& traffic, Ledger& ledger,
             std::uint64_t seed)
    : loop_(loop),
      s_(scenario),
      traffic_(traffic),
      ledger_(ledger),
      random_(seed, 6),
      client_(loop, Bounds()),
      relays_(static_cast<std::size_t>(scenario.relays)) {
  ledger.on_handed_back = [this](std::size_t client, Seconds advice) { ComeAgain(client, advice); };
}

Front::~Front() {
  ledger_.on_handed_back = nullptr;
  for (const auto& [key, call] : calls_) client_.Abandon(*call);
}

void Front::SetRelay(int relay, const sockaddr_in& address) {
  Relay& started = relays_[static_cast<std::size_t>(relay)];
  started = {address, false, false, started.starts + 1};
}
void Front::SetAlive(int relay, bool alive) { relays_[static_cast<std::size_t>(relay)].alive = alive; }

void Front::RelayStops(int relay) {
  const Seconds now = loop_.Now();
  Relay& stopping = relays_[static_cast<std::size_t>(relay)];
  loop_.At(now + DrawFrom(kNewConnectionsCome, random_), [&stopping, starts = stopping.starts] {
    if (stopping.starts == starts) stopping.open_connections_only = true;
  });
  // What rests is closed in the first of these moments.
  OpenUnwatched(AddCrossing(relay, kClosesIdle), kUnwatchedAtStop);
  AddCrossing(relay, kEndsAtLatest);
}

void Front::CrossFirstRequests(int relay) {
  OpenUnwatched(AddCrossing(relay, kFirstRequestWithin), kUnwatchedAtStart);
}

Front::Crossing& Front::AddCrossing(int relay, Seconds after) {
  const net::Seconds at = loop_.Now() + after;
  const int starts = relays_[static_cast<std::size_t>(relay)].starts;
  return crossings_.emplace_back(Crossing{relay, at - kCrossingGathers, at, starts, {}});
}

void Front::OpenUnwatched(Crossing& crossing, int count) {
  for (int i = 0; i < count; ++i) {
    if (auto connection =
            UnwatchedConnection::Connect(relays_[static_cast<std::size_t>(crossing.relay)].address))
      crossing.connections.push_back(std::move(connection));
  }
  crossing.needs_connection = true;
}

// The latest that still takes arrivals.
Front::Crossing* Front::CrossingNow() {
  const Seconds now = loop_.Now();
  const auto found = std::find_if(crossings_.rbegin(), crossings_.rend(), [now](const Crossing& c) {
    return now >= c.from && now < c.at && (!c.needs_connection || !c.connections.empty());
  });
  return found == crossings_.rend() ? nullptr : &*found;
}

// Some requests are begun at once, and only their rest comes in the moment of the crossing.
void Front::Cross(Crossing& crossing, std::size_t client) {
  const net::Seconds when = crossing.at + DrawFrom({-kCrossingSpread, kCrossingSpread}, random_);
  const bool is_same_process = relays_[static_cast<std::size_t>(crossing.relay)].starts == crossing.starts;
  if (!crossing.needs_connection || !is_same_process) {
    ++coming_;
    loop_.At(when, [this, client, relay = crossing.relay] {
      --coming_;
      HandIn(client, nullptr, relay);
    });
    return;
  }
  if (!MayHandIn(client, when - start_)) return;
  auto connection = std::move(crossing.connections.back());
  crossing.connections.pop_back();
  const std::size_t bytes_now = DrawUniform(random_) < kBegunBefore ? kBytesBefore : 0;
  AddCall(client, crossing.relay, nullptr, when - start_).SendAt(when, bytes_now, std::move(connection));
}

void Front::Avoid(int relay) {
  if (!std::exchange(relays_[static_cast<std::size_t>(relay)].alive, false)) return;
  loop_.At(loop_.Now() + kLooksAgain, [this, relay] { SetAlive(relay, true); });
}

void Front::Begin(net::Seconds start) {
  start_ = start;
  Arm();
}

void Front::Arm() {
  const auto next = traffic_.Next();
  if (!next) {
    done_ = true;
    return;
  }
  loop_.At(start_ + next->due, [this, arrival = *next] {
    const std::size_t client = ledger_.Ask(arrival);
    tries_.resize(client + 1, 0);
    if (Crossing* crossing = CrossingNow()) {
      Cross(*crossing, client);
    } else {
      HandIn(client, nullptr);
    }
    Arm();
  });
}

bool Front::MayTake(int relay) const {
  const Relay& to = relays_[static_cast<std::size_t>(relay)];
  return to.alive && (!to.open_connections_only || client_.HasIdleConnection({to.address, 0}));
}

int Front::PickRelay(int preferred) {
  if (preferred != kAnyRelay && MayTake(preferred)) return preferred;
  for (std::size_t tries = 0; tries < relays_.size(); ++tries) {
    const int next = static_cast<int>(next_relay_++ % relays_.size());
    if (MayTake(next)) return next;
  }
  return kAnyRelay;
}

bool Front::MayHandIn(std::size_t client, Seconds at) const {
  return ledger_.DeadlineOf(client) - at >= kLeastRemaining && !ledger_.delivered(client);
}

void Front::HandIn(std::size_t client, const char* resent, int preferred) {
  if (!MayHandIn(client, now())) return;
  const int relay = PickRelay(preferred);
  if (relay == kAnyRelay) return Later(client, kNobodyThere, resent);
  AddCall(client, relay, resent, now()).Start(relays_[static_cast<std::size_t>(relay)].address);
}

Front::Call& Front::AddCall(std::size_t client, int relay, const char* resent, Seconds at) {
  const Arrival& arrival = ledger_.arrival(client);
  const ClassPlan& plan = s_.classes[static_cast<std::size_t>(arrival.message_class)];
  const std::uint64_t id = ledger_.HandIn(now(), relay, client);
  const auto remaining_ms = static_cast<long>((ledger_.DeadlineOf(client) - at) * 1000);
  net::Headers headers = {{"Host", "lab"},
                          {"X-Txn", "m" + std::to_string(id)},
                          {"X-Lane", plan.name},
                          {"X-Org", s_.tenants[static_cast<std::size_t>(arrival.tenant)].name},
                          {"X-Remaining-Ms", std::to_string(remaining_ms)},
                          {"X-Addressing", "dest=" + std::to_string(arrival.partner + 1)}};
  if (plan.rules.idempotency == Idempotency::kIdempotencyKey)
    headers.emplace_back("Idempotency-Key", "k" + std::to_string(client));
  if (resent != nullptr) headers.emplace_back("X-Resent", resent);
  auto call = std::make_unique<Call>(
      *this, client, relay, id, net::FormatRequest("POST", "/api", headers, std::string(kBodyBytes, 'x')));
  Call& added = *call;
  calls_.emplace(&added, std::move(call));
  return added;
}

void Front::ComeAgain(std::size_t client, Seconds advice) {
  if (tries_[client]++ >= s_.clients.max_retries) return;
  const Seconds own = DrawFrom(s_.clients.retry_delay, random_);
  Later(client, advice > 0 ? std::min(advice, s_.settings.max_retry_after) : own, "1");
}

void Front::Later(std::size_t client, Seconds wait, const char* resent) {
  ++coming_;
  loop_.At(loop_.Now() + wait, [this, client, resent] {
    --coming_;
    HandIn(client, resent);
  });
}

void Front::Drop(Call& call) {
  const auto it = calls_.find(&call);
  it->second->Settle();  // its time may be up in this very turn of the loop
  loop_.Retire(std::move(it->second));
  calls_.erase(it);
}

}  // namespace opalroute::lab
