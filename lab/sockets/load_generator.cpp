#include "lab/sockets/load_generator.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace opalroute::lab {

namespace {

constexpr std::size_t kBodyBytes = 200;
constexpr Seconds kUnconnectedRelayPause = 1;  // of a relay that could not be connected to
constexpr Seconds kNoRelayRetryDelay = 0.1;    // while no relay is believed to be usable
// After SIGTERM clients open new connections for this long (the platform's protocol, 'Figures').
constexpr Range kNewConnectionsAfterStop = {0.2, 0.4};
// When a relay closes connections, as the README tells clients: idle ones after SIGTERM, all others at the
// latest when its process ends after SIGTERM, and a new connection without a request.
constexpr Seconds kIdleCloseAfterStop = 0.45;
constexpr Seconds kLatestExitAfterStop = 3.45;
constexpr Seconds kFirstRequestTimeout = 2;
constexpr Seconds kRaceCollectTime = 0.1;      // arrivals in this time before the moment are sent at it
constexpr Seconds kRaceSpread = 0.004;         // requests are sent up to this long before or after it
constexpr double kPartiallySentShare = 0.5;    // of the requests, which are started before the moment ...
constexpr std::size_t kBytesSentBefore = 100;  // ... with this many bytes
constexpr Seconds kMinRemainingTime = 0.001;   // below this a message is not submitted
constexpr int kUnwatchedAtStop = 8;            // connections opened to a relay that is told to stop ...
constexpr int kUnwatchedAtStart = 2;           // ... and to one that has become ready

net::ClientBounds MakeClientBounds() {
  net::ClientBounds bounds;
  bounds.http = {16 * 1024, 64, 64 * 1024};
  bounds.request_bytes = 64 * 1024;
  bounds.connections = 4096;
  bounds.connect_timeout = LoadGenerator::kResponseTimeout;
  bounds.idle_timeout = 5;  // shorter than a relay's own idle timeout
  bounds.response_timeout = bounds.response_rest_timeout = LoadGenerator::kResponseTimeout;
  return bounds;
}

}  // namespace

class LoadGenerator::Call : public net::HttpClient::Call {
 public:
  Call(LoadGenerator& generator, std::size_t message, int relay, std::uint64_t id, std::string request)
      : generator_(generator), message_(message), relay_(relay), id_(id), request_(std::move(request)) {}
  ~Call() override { CancelTimer(); }
  void CancelTimer() { generator_.loop_.Cancel(timer_); }

  void Start(const sockaddr_in& address) {
    StartTimeout();
    generator_.client_.Start({address, 0}, *this);
  }
  // Sends the first `bytes_now` bytes of the request now and the rest at the given time.
  void SendAt(net::Seconds time, std::size_t bytes_now, std::unique_ptr<UnwatchedConnection> connection) {
    connection_ = std::move(connection);
    if (bytes_now > 0) connection_->Send(request_.substr(0, bytes_now));
    timer_ = generator_.loop_.At(time, [this, bytes_now, starts = generator_.relays_[Index()].starts] {
      timer_ = 0;
      const bool is_same_process = generator_.relays_[Index()].starts == starts;
      if (!is_same_process || !connection_->Send(request_.substr(bytes_now)))
        return OnFailure(net::HttpClient::Failure::kNotWritten, 0);
      sent_ = generator_.loop_.Now();
      StartTimeout();
      connection_->Watch(generator_.loop_, *this);
    });
  }

 private:
  std::size_t Index() const { return static_cast<std::size_t>(relay_); }
  void StartTimeout() {
    timer_ = generator_.loop_.At(generator_.loop_.Now() + kResponseTimeout, [this] {
      timer_ = 0;
      generator_.client_.Abandon(*this);
      WithdrawAndRetry();
    });
  }
  std::string OnReady() override {
    sent_ = generator_.loop_.Now();
    return request_;
  }
  void OnResponse(net::HttpMessage& response) override {
    const Seconds now = generator_.now();
    if (response.status == 202 || response.status == 200) {
      generator_.response_times_.Add(generator_.loop_.Now() - sent_);
      generator_.tracker_.OnAccepted(now, id_);
      if (generator_.on_accepted) generator_.on_accepted(relay_);
    } else if (response.status == 429 || response.status == 503) {
      const std::string* retry_after = response.Header("Retry-After");
      generator_.tracker_.OnRejected(now, id_);
      generator_.RetryAfterRejection(
          message_, retry_after == nullptr ? 0 : std::max(0.0, std::strtod(retry_after->c_str(), nullptr)));
    } else {
      generator_.tracker_.OnFailed(now, id_);
    }
    generator_.Drop(*this);
  }
  void OnFailure(net::HttpClient::Failure failure, int) override {
    if (failure == net::HttpClient::Failure::kNotConnected) generator_.OnNotConnected(relay_);
    if (failure == net::HttpClient::Failure::kReset && generator_.on_closed)
      generator_.on_closed(relay_, id_, connection_ != nullptr);
    WithdrawAndRetry();
  }
  // There was no response: whatever the relay does with this request id no longer counts.
  void WithdrawAndRetry() {
    LoadGenerator& generator = generator_;
    generator.tracker_.OnWithdrawn(generator.now(), id_);
    generator.SubmitLater(message_, 0, "again");
    generator.Drop(*this);
  }

  LoadGenerator& generator_;
  const std::size_t message_;
  const int relay_;
  const std::uint64_t id_;
  const std::string request_;
  net::Seconds sent_ = 0;
  net::EventLoop::TimerId timer_ = 0;
  std::unique_ptr<UnwatchedConnection> connection_;
};

LoadGenerator::LoadGenerator(net::EventLoop& loop, const Scenario& scenario, Traffic& traffic,
                             MessageTracker& tracker, std::uint64_t seed)
    : loop_(loop),
      scenario_(scenario),
      traffic_(traffic),
      tracker_(tracker),
      random_(seed, 6),
      client_(loop, MakeClientBounds()),
      relays_(static_cast<std::size_t>(scenario.relays)) {
  tracker.on_rejected_after_accept = [this](std::size_t message, Seconds retry_after) {
    RetryAfterRejection(message, retry_after);
  };
}

LoadGenerator::~LoadGenerator() {
  tracker_.on_rejected_after_accept = nullptr;
  for (const auto& [key, call] : calls_) client_.Abandon(*call);
}

void LoadGenerator::OnRelayStarted(int relay, const sockaddr_in& address) {
  Relay& entry = relays_[static_cast<std::size_t>(relay)];
  entry = {address, false, false, entry.starts + 1};
}
void LoadGenerator::SetBelievedAlive(int relay, bool alive) {
  relays_[static_cast<std::size_t>(relay)].alive = alive;
}

void LoadGenerator::OnRelayStopping(int relay) {
  const Seconds now = loop_.Now();
  Relay& stopping = relays_[static_cast<std::size_t>(relay)];
  loop_.At(now + DrawFrom(kNewConnectionsAfterStop, random_), [&stopping, starts = stopping.starts] {
    if (stopping.starts == starts) stopping.open_connections_only = true;
  });
  // The relay closes idle connections at the first of these moments.
  OpenUnwatched(AddCloseRace(relay, kIdleCloseAfterStop), kUnwatchedAtStop);
  AddCloseRace(relay, kLatestExitAfterStop);
}

void LoadGenerator::RaceFirstRequestTimeout(int relay) {
  OpenUnwatched(AddCloseRace(relay, kFirstRequestTimeout), kUnwatchedAtStart);
}

LoadGenerator::CloseRace& LoadGenerator::AddCloseRace(int relay, Seconds after) {
  const net::Seconds at = loop_.Now() + after;
  const int starts = relays_[static_cast<std::size_t>(relay)].starts;
  return close_races_.emplace_back(CloseRace{relay, at - kRaceCollectTime, at, starts, {}});
}

void LoadGenerator::OpenUnwatched(CloseRace& race, int count) {
  for (int i = 0; i < count; ++i) {
    if (auto connection = UnwatchedConnection::Connect(relays_[static_cast<std::size_t>(race.relay)].address))
      race.connections.push_back(std::move(connection));
  }
  race.needs_connection = true;
}

// Returns the latest race that still collects arrivals, or null.
LoadGenerator::CloseRace* LoadGenerator::FindCollectingRace() {
  const Seconds now = loop_.Now();
  const auto found = std::find_if(close_races_.rbegin(), close_races_.rend(), [now](const CloseRace& race) {
    return now >= race.from && now < race.at && (!race.needs_connection || !race.connections.empty());
  });
  return found == close_races_.rend() ? nullptr : &*found;
}

// Some requests are started at once, and only their remaining bytes are sent at the moment of the race.
void LoadGenerator::AddToRace(CloseRace& race, std::size_t message) {
  const net::Seconds time = race.at + DrawFrom({-kRaceSpread, kRaceSpread}, random_);
  const bool is_same_process = relays_[static_cast<std::size_t>(race.relay)].starts == race.starts;
  if (!race.needs_connection || !is_same_process) {
    ++scheduled_;
    loop_.At(time, [this, message, relay = race.relay] {
      --scheduled_;
      Submit(message, nullptr, relay);
    });
    return;
  }
  if (!MaySubmit(message, time - start_)) return;
  auto connection = std::move(race.connections.back());
  race.connections.pop_back();
  const std::size_t bytes_now = DrawUniform(random_) < kPartiallySentShare ? kBytesSentBefore : 0;
  AddCall(message, race.relay, nullptr, time - start_).SendAt(time, bytes_now, std::move(connection));
}

void LoadGenerator::OnNotConnected(int relay) {
  if (!std::exchange(relays_[static_cast<std::size_t>(relay)].alive, false)) return;
  loop_.At(loop_.Now() + kUnconnectedRelayPause, [this, relay] { SetBelievedAlive(relay, true); });
}

void LoadGenerator::Begin(net::Seconds start) {
  start_ = start;
  ScheduleNextArrival();
}

void LoadGenerator::ScheduleNextArrival() {
  const auto next = traffic_.Next();
  if (!next) {
    arrivals_done_ = true;
    return;
  }
  loop_.At(start_ + next->due, [this, arrival = *next] {
    const std::size_t message = tracker_.AddMessage(arrival);
    retries_.resize(message + 1, 0);
    if (CloseRace* race = FindCollectingRace()) {
      AddToRace(*race, message);
    } else {
      Submit(message, nullptr);
    }
    ScheduleNextArrival();
  });
}

bool LoadGenerator::IsUsable(int relay) const {
  const Relay& candidate = relays_[static_cast<std::size_t>(relay)];
  return candidate.alive &&
         (!candidate.open_connections_only || client_.HasIdleConnection({candidate.address, 0}));
}

int LoadGenerator::PickRelay(int preferred) {
  if (preferred != kAnyRelay && IsUsable(preferred)) return preferred;
  for (std::size_t attempts = 0; attempts < relays_.size(); ++attempts) {
    const int next = static_cast<int>(next_relay_++ % relays_.size());
    if (IsUsable(next)) return next;
  }
  return kAnyRelay;
}

bool LoadGenerator::MaySubmit(std::size_t message, Seconds at) const {
  return tracker_.DeadlineOf(message) - at >= kMinRemainingTime && !tracker_.delivered(message);
}

void LoadGenerator::Submit(std::size_t message, const char* resent, int preferred) {
  if (!MaySubmit(message, now())) return;
  const int relay = PickRelay(preferred);
  if (relay == kAnyRelay) return SubmitLater(message, kNoRelayRetryDelay, resent);
  AddCall(message, relay, resent, now()).Start(relays_[static_cast<std::size_t>(relay)].address);
}

LoadGenerator::Call& LoadGenerator::AddCall(std::size_t message, int relay, const char* resent, Seconds at) {
  const Arrival& arrival = tracker_.arrival(message);
  const ClassPlan& plan = scenario_.classes[static_cast<std::size_t>(arrival.message_class)];
  const std::uint64_t id = tracker_.Submit(now(), relay, message);
  const auto remaining_ms = static_cast<long>((tracker_.DeadlineOf(message) - at) * 1000);
  net::Headers headers = {{"Host", "lab"},
                          {"X-Txn", "m" + std::to_string(id)},
                          {"X-Lane", plan.name},
                          {"X-Org", scenario_.tenants[static_cast<std::size_t>(arrival.tenant)].name},
                          {"X-Remaining-Ms", std::to_string(remaining_ms)},
                          {"X-Addressing", "dest=" + std::to_string(arrival.partner + 1)}};
  if (plan.rules.idempotency == Idempotency::kIdempotencyKey)
    headers.emplace_back("Idempotency-Key", "k" + std::to_string(message));
  if (resent != nullptr) headers.emplace_back("X-Resent", resent);
  auto call = std::make_unique<Call>(
      *this, message, relay, id, net::FormatRequest("POST", "/api", headers, std::string(kBodyBytes, 'x')));
  Call& added = *call;
  calls_.emplace(&added, std::move(call));
  return added;
}

void LoadGenerator::RetryAfterRejection(std::size_t message, Seconds retry_after) {
  if (retries_[message]++ >= scenario_.clients.max_retries) return;
  const Seconds default_wait = DrawFrom(scenario_.clients.retry_delay, random_);
  SubmitLater(message,
              retry_after > 0 ? std::min(retry_after, scenario_.settings.max_retry_after) : default_wait,
              "1");
}

void LoadGenerator::SubmitLater(std::size_t message, Seconds wait, const char* resent) {
  ++scheduled_;
  loop_.At(loop_.Now() + wait, [this, message, resent] {
    --scheduled_;
    Submit(message, resent);
  });
}

void LoadGenerator::Drop(Call& call) {
  const auto it = calls_.find(&call);
  it->second->CancelTimer();  // its timeout may be due in this very turn of the loop
  loop_.Retire(std::move(it->second));
  calls_.erase(it);
}

}  // namespace opalroute::lab
