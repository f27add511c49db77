#include "lab/sockets/socket_run.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <utility>

#include "config/fields.h"
#include "lab/sockets/datagram_forwarder_thread.h"
#include "lab/sockets/endpoints.h"
#include "lab/sockets/load_generator.h"
#include "lab/sockets/message_tracker.h"
#include "lab/sockets/platform_server.h"
#include "lab/sockets/relay_config.h"
#include "lab/sockets/relay_process.h"
#include "lab/sockets/stalling_clients.h"
#include "lab/tally.h"
#include "lab/traffic.h"
#include "net/address.h"

namespace opalroute::lab {

namespace {

using net::Seconds;

constexpr Seconds kTickInterval = 0.01;     // polls the processes and measures the laboratory's lateness
constexpr Seconds kStartInterval = 0.02;    // between the starts of two relays
constexpr Seconds kAllReadyTimeout = 30;    // for the start of all relays
constexpr Seconds kDeathDetectionTime = 1;  // until clients notice that a relay was killed
constexpr Seconds kNewConnectionsAfterStop = 0.3;  // clients open connections this long after SIGTERM
constexpr Seconds kOverdueAfterReady = 1.5;  // after a restart, for answers that became overdue meanwhile
constexpr Seconds kOverdueAfterCut = 0.5;    // after a cut, for answers that became overdue meanwhile
constexpr Seconds kRestartAllowance = 5;     // a restart may take this long before requests are overdue
constexpr Seconds kReadyTimeout = 6;         // for a restart in a short run, as in the standing test
constexpr Seconds kExitDetectionTime = 0.3;  // after which a process's exit is surely known
constexpr Seconds kStopTimeout = 5;          // for all relays at the end of the run

Auditor::Rules RulesOf(const Scenario& scenario) {
  Auditor::Rules rules;
  rules.deadline_tolerance = 0.35;  // the platform's 0.3 s plus 50 ms for sockets
  rules.drain_grace_period = 2.05;
  rules.retry_after_grace_period = 0.1;
  rules.overload_window = scenario.settings.overload_window;
  return rules;
}

class SocketRun : private PlatformServer::Owner, private RelayProcess::Owner {
 public:
  SocketRun(const Scenario& scenario, std::uint64_t seed, const SocketOptions& options)
      : scenario_(scenario),
        options_(options),
        random_(seed, 5),
        loop_(clock_),
        world_(scenario, seed),
        traffic_(world_, seed),
        auditor_(RulesOf(scenario), scenario.settings.classes),
        tally_(world_, seed),
        tracker_(world_, auditor_, tally_),
        endpoints_(loop_, world_, auditor_, tracker_, tally_, seed),
        platform_server_(
            loop_, world_, seed, [this](EndpointId id, int relay) { return endpoints_.AddressOf(id, relay); },
            *this),
        load_generator_(loop_, scenario, traffic_, tracker_, seed),
        stalling_clients_(loop_, [this](int relay) { auditor_.ReportStalledClient(now(), relay); }) {
    load_generator_.on_closed = [this](int relay, std::uint64_t id, bool may_race_close) {
      CheckClosed(relay, id, may_race_close);
    };
    load_generator_.on_accepted = [this](int relay) { KillAfterAccept(relay); };
    if (scenario_.peer_datagrams)
      forwarder_ = std::make_unique<DatagramForwarderThread>(scenario_.relays, scenario_.links, seed);
    tally_.result().mode = "sockets";
    tally_.result().processes.resize(static_cast<std::size_t>(scenario_.relays));
    for (EndpointId id = 1; id <= world_.endpoint_count(); ++id)
      auditor_.OnEndpointListed(id, world_.endpoint(id).destination, world_.endpoint(id).route);
    for (int i = 0; i < scenario_.relays; ++i) {
      RelayProcess::Options relay_options;
      relay_options.program = options.program;
      relay_options.arguments = options.relay_arguments;
      if (scenario_.share_quotas) relay_options.arguments.emplace_back("--tier-shares");
      if (scenario_.evacuate_zones) relay_options.arguments.emplace_back("--tier-zones");
      relay_options.has_admin_address = !scenario_.operator_overrides.empty();
      relay_options.folder = options.folder + "/relay" + std::to_string(i);
      std::filesystem::remove_all(relay_options.folder);
      relay_options.config = [this, i](const std::string& listen) { return ConfigOf(i, listen); };
      if (options.variables)
        relay_options.variables = [this, i](const std::string& state_folder) {
          return options_.variables(i, state_folder);
        };
      relays_.push_back(std::make_unique<RelayProcess>(loop_, i, std::move(relay_options),
                                                       static_cast<RelayProcess::Owner&>(*this)));
    }
  }

  RunResult Run() {
    StartRelays();
    start_ = loop_.Now() + 0.05;
    if (forwarder_) forwarder_->Begin(start_);
    endpoints_.Begin(start_);
    platform_server_.Begin(start_);
    load_generator_.Begin(start_);
    for (const EndpointChange& change : scenario_.endpoint_changes)
      loop_.At(start_ + change.at, [this, change] { ChangeList(change); });
    for (const StalledClientsPlan& plan : scenario_.stalled_clients)
      loop_.At(start_ + plan.at, [this, plan] {
        stalling_clients_.Connect(plan.relay, RelayAt(plan.relay).address(), plan.kind, plan.count);
      });
    for (const LinkCut& cut : scenario_.links.cuts) ExcuseAllAt(cut.from);
    for (const ListFault& fault : scenario_.list_faults) ExcuseAllAt(fault.start);
    for (const RelayFault& fault : scenario_.relay_faults)
      loop_.At(start_ + fault.at, [this, fault] { ApplyFault(fault); });
    for (const OperatorOverridePlan& order : scenario_.operator_overrides)
      loop_.At(start_ + order.at, [this, order] { SendOverride(order); });
    Tick(loop_.Now());
    SampleSecond(0);
    const Seconds ends = start_ + LatestEnd(scenario_);
    while (loop_.Now() < ends && !AllDone()) {
      loop_.RunOnce(kTickInterval);
      if (options_.interrupted && options_.interrupted()) throw Interrupted();
    }
    constexpr Seconds kForever = 1e9;  // requests that have not ended by now never will
    auditor_.CheckDeadlines(kForever);
    restarts_.unattempted = tracker_.untried();
    restarts_.unattempted_ended = tracker_.untried_ended();
    auditor_.CheckRestarts(now(), restarts_);
    StopRelays();
    return TakeResult();
  }

 private:
  Seconds now() const { return loop_.Now() - start_; }
  RelayProcess& RelayAt(int relay) { return *relays_[static_cast<std::size_t>(relay)]; }

  nlohmann::json ConfigOf(int relay, const std::string& listen) {
    nlohmann::json file = {{"name", "n" + std::to_string(relay)},
                           {"listen", listen},
                           {"discovery", net::FormatAddress(platform_server_.address(relay))},
                           {"seed", std::to_string(random_())},
                           {"limits", {{"sockets", 1024}, {"disk_mb", 3}}},
                           {"known", nlohmann::json::parse(platform_server_.FullList(relay))},
                           {"settings", SettingsJson(scenario_, relay)}};
    if (!forwarder_) return file;
    file["peer_listen"] = net::FormatAddress(forwarder_->RelayAddress(relay));
    for (const sockaddr_in& peer : forwarder_->PeerAddresses())
      file["peers"].push_back(net::FormatAddress(peer));
    return file;
  }

  void StartRelays() {
    const Seconds deadline = loop_.Now() + kAllReadyTimeout + kStartInterval * scenario_.relays;
    for (int i = 0; i < scenario_.relays; ++i)  // hundreds at once would compete for the machine's cores
      loop_.At(loop_.Now() + kStartInterval * i, [this, i] { StartRelay(i); });
    while (std::any_of(relays_.begin(), relays_.end(), [](const auto& relay) { return !relay->ready(); })) {
      for (const auto& relay : relays_) relay->Poll();
      loop_.RunOnce(kTickInterval);
      if (options_.interrupted && options_.interrupted()) throw Interrupted();
      if (!tally_.result().crashes.empty()) {
        const Crash& crash = tally_.result().crashes.front();
        throw std::runtime_error("relay " + std::to_string(crash.relay) + " did not come up: " + crash.cause +
                                 "; the end of its log:\n" + crash.last_log);
      }
      if (loop_.Now() > deadline) throw std::runtime_error("not all relays became ready in time");
    }
  }

  // ---- relay processes and requests --------------------------------------------------------------------

  void OnReady(int relay) override {
    load_generator_.OnRelayStarted(relay, RelayAt(relay).address());
    load_generator_.SetBelievedAlive(relay, true);
    if (options_.clients_use_stopping_relays) load_generator_.RaceFirstRequestTimeout(relay);
    if (start_ <= 0) return;
    ++restarts_.ready;
    if (now() > started_at_[relay] + kReadyTimeout) ++restarts_.late;
    auditor_.OnRelayReady(relay, now() + kOverdueAfterReady);  // requests that it holds are due again
    ExcuseForCuts(relay);
  }
  void StartRelay(int relay) {
    RelayAt(relay).Start();
    OnRestart(relay);
  }
  void OnRestart(int relay) override {
    started_at_[relay] = now();
    tracker_.OnRelayRestarted(now(), relay);
    if (forwarder_) forwarder_->SetRunning(relay, true);
  }
  void OnExit(int relay) override {
    if (options_.clients_use_stopping_relays) load_generator_.SetBelievedAlive(relay, false);
    OnProcessGone(relay);
  }
  void OnKilled(int relay) override {
    tracker_.OnRelayKilled(now(), relay);
    const Seconds down = RelayAt(relay).next_start() - loop_.Now();
    loop_.At(loop_.Now() + std::min(kDeathDetectionTime, down), [this, relay] {
      if (!RelayAt(relay).ready()) load_generator_.SetBelievedAlive(relay, false);
    });
    OnProcessGone(relay);
  }
  // The relay's knowledge of waits and outages is lost. Requests that it held are not overdue until its next
  // process is ready.
  void OnProcessGone(int relay) {
    if (forwarder_) forwarder_->SetRunning(relay, false);
    auditor_.OnRelayStopped(relay, LatestReadyTime(relay));
    ExcuseForCuts(relay);
  }
  Seconds LatestReadyTime(int relay) { return RelayAt(relay).next_start() - start_ + kRestartAllowance; }
  void OnCrash(int relay, const std::string& reason) override {
    if (forwarder_) forwarder_->SetRunning(relay, false);
    auditor_.OnRelayStopped(relay, 0);
    ExcuseForCuts(relay);
    load_generator_.SetBelievedAlive(relay, false);
    tally_.result().crashes.push_back({relay, start_ > 0 ? now() : 0, reason, RelayAt(relay).LogTail()});
  }
  // What the laboratory reads after it stood still may have been sent before.
  void ExcuseOwnLateness() {
    for (int relay = 0; relay < scenario_.relays; ++relay) tracker_.OnRelayFrozen(relay, now());
  }
  // While a relay can't reach the platform, its notifications can't arrive, so its requests are not overdue.
  void ExcuseForCuts(int relay) {
    for (const LinkCut& cut : scenario_.links.cuts)
      if (cut.target == LinkCut::Target::kDiscovery)
        ExcuseWhile(relay, cut.first, cut.last, cut.from, cut.duration);
    for (const ListFault& fault : scenario_.list_faults)
      if (fault.kind == ListFault::Kind::kUnreachable)
        ExcuseWhile(relay, fault.first_relay, fault.last_relay, fault.start, fault.duration);
  }
  void ExcuseWhile(int relay, int first, int last, Seconds from, Seconds duration) {
    const bool is_active = start_ > 0 && now() >= from && now() < from + duration;
    if (is_active && relay >= first && relay <= last)
      auditor_.ExtendDeadlines(relay, from + duration + kOverdueAfterCut);
  }
  void ExcuseAllAt(Seconds from) {
    loop_.At(start_ + from, [this] {
      for (int relay = 0; relay < scenario_.relays; ++relay) ExcuseForCuts(relay);
    });
  }
  // A client's connection has ended after a request was written and without a complete response. The relay is
  // at fault if it had read the request. While it is not stopping it is also at fault if it had not, unless
  // the relay may have closed the connection while it was idle. A killed process resets all connections and
  // is not at fault.
  void CheckClosed(int relay, std::uint64_t id, bool may_race_close) {
    if (!options_.clients_use_stopping_relays) return;
    const Seconds closed_at = loop_.Now();
    const int starts = RelayAt(relay).starts();
    const bool must_answer = RelayAt(relay).serving() && !may_race_close;
    loop_.At(closed_at + kExitDetectionTime, [this, relay, id, closed_at, starts, must_answer] {
      if (RelayAt(relay).WasKilled(starts, closed_at)) return;
      if (must_answer || HasRead(relay, id))
        return auditor_.ReportClosedUnanswered(closed_at - start_, relay, id);
      ++tally_.result().closed_unread;
    });
  }
  bool HasRead(int relay, std::uint64_t id) const {
    if (options_.requests_read_file.empty()) return false;
    std::ifstream file(options_.folder + "/relay" + std::to_string(relay) + "/" +
                       options_.requests_read_file);
    const std::string request_id = "m" + std::to_string(id);
    for (std::string line; std::getline(file, line);)
      if (line == request_id) return true;
    return false;
  }
  void OnChangeKnown(int relay, EndpointId endpoint, EndpointStatus status) override {
    if (status != EndpointStatus::kInService) auditor_.OnDrainReceived(now(), relay, endpoint);
  }
  void OnNotification(const std::string& message, bool rejected, Seconds retry_after) override {
    tracker_.OnNotification(
        now(), std::strtoull(message.c_str() + 1, nullptr, 10),
        rejected ? MessageTracker::Notification::kRejected : MessageTracker::Notification::kFailed,
        retry_after);
  }

  // ---- faults -----------------------------------------------------------------------------------------

  // Faults on one relay may overlap; RestartSchedule defines the effect of each signal then.
  void ApplyFault(const RelayFault& fault) {
    if (!RelayAt(fault.relay).running()) return;
    switch (fault.kind) {
      case RelayFault::Kind::kReload:
        return RelayAt(fault.relay).Reload();
      case RelayFault::Kind::kFreeze:
        return Freeze(fault.relay, fault.downtime);
      case RelayFault::Kind::kStop:
        return Stop(fault.relay, fault.downtime);
      case RelayFault::Kind::kKill:
        return Kill(fault.relay, fault.downtime, fault.loses_saved_state);
      case RelayFault::Kind::kKillAfterAccept:
        killed_after_accept_[fault.relay] = fault.downtime;
        return;
    }
  }
  void Freeze(int relay, Seconds duration) {
    RelayAt(relay).Freeze();
    tracker_.OnRelayFrozen(relay, now() + duration);
    auditor_.ExtendDeadlines(relay, now() + duration + kOverdueAfterReady);
    loop_.At(loop_.Now() + duration, [this, relay] { RelayAt(relay).Thaw(); });
  }
  // No request is overdue from the signal until some time after the next process is ready, which OnReady()
  // sets.
  void Stop(int relay, Seconds down) {
    const bool is_first = !RelayAt(relay).stopping();
    RelayAt(relay).Terminate(down);
    auditor_.ExtendDeadlines(relay, LatestReadyTime(relay));
    if (!is_first) return;
    if (options_.clients_use_stopping_relays) return load_generator_.OnRelayStopping(relay);
    loop_.At(loop_.Now() + kNewConnectionsAfterStop,
             [this, relay] { load_generator_.SetBelievedAlive(relay, false); });
  }
  void Kill(int relay, Seconds down, bool forgets) {
    RelayAt(relay).Kill(down);
    if (forgets) std::filesystem::remove(options_.folder + "/relay" + std::to_string(relay) + "/state/tier");
  }
  // Right after a 202, in the loop's next turn.
  void KillAfterAccept(int relay) {
    const auto planned = killed_after_accept_.find(relay);
    if (planned == killed_after_accept_.end()) return;
    loop_.At(loop_.Now(), [this, relay, down = planned->second] { RelayAt(relay).Kill(down); });
    killed_after_accept_.erase(planned);
  }

  void SendOverride(const OperatorOverridePlan& order) {
    nlohmann::json body = {{"zone", scenario_.zones[static_cast<std::size_t>(order.zone)]},
                           {"order", zone_failover::NameOf(order.kind)}};
    if (order.kind != zone_failover::OverrideKind::kNone) body["for_s"] = order.duration;
    RelayAt(order.relay).PostToAdmin("/zones", body.dump());
  }

  void ChangeList(const EndpointChange& change) {
    const auto changes = world_.ApplyChange(
        change, [this](EndpointId id) { return platform_server_.StatusOf(id); },
        [this] { return DrawUniform(random_); });
    for (const World::ListChange& entry : changes) {
      if (entry.status == EndpointStatus::kInService)
        auditor_.OnEndpointListed(entry.endpoint, world_.endpoint(entry.endpoint).destination,
                                  world_.endpoint(entry.endpoint).route);
      platform_server_.Publish(entry.endpoint, entry.status);
      if (entry.status != EndpointStatus::kDraining) continue;
      loop_.At(loop_.Now() + World::kDrainDuration, [this, id = entry.endpoint] {
        platform_server_.Publish(id, EndpointStatus::kRemoved);
        endpoints_.Remove(id);
      });
    }
  }

  // ---- the run ----------------------------------------------------------------------------------------

  void Tick(Seconds due) {
    const Seconds lateness = std::max(0.0, loop_.Now() - due);
    lateness_.Add(lateness);
    if (lateness > kTickInterval) ExcuseOwnLateness();
    max_lateness_ = std::max(max_lateness_, lateness);
    for (const auto& relay : relays_) relay->Poll();
    const Seconds next = loop_.Now() + kTickInterval;
    loop_.At(next, [this, next] { Tick(next); });
  }

  void SampleSecond(int number) {
    auditor_.CheckDeadlines(now());
    tally_.SampleCapacity(now());
    for (std::size_t i = 0; i < relays_.size(); ++i) {
      auto sample = relays_[i]->Sample();
      if (!sample) continue;
      sample->at = now();
      tally_.result().processes[i].push_back(*sample);
    }
    if (options_.progress) options_.progress(now());
    loop_.At(start_ + number + 1, [this, number] { SampleSecond(number + 1); });
  }

  bool AllDone() const {
    return now() > scenario_.duration && load_generator_.done() && tracker_.open() == 0;
  }

  void StopRelays() {
    for (const auto& relay : relays_) relay->Terminate();
    const Seconds deadline = loop_.Now() + kStopTimeout;
    const auto is_running = [](const auto& relay) { return relay->running(); };
    while (std::any_of(relays_.begin(), relays_.end(), is_running) && loop_.Now() < deadline) {
      for (const auto& relay : relays_) relay->Poll();
      loop_.RunOnce(kTickInterval);
    }
  }

  RunResult TakeResult() {
    RunResult& result = tally_.result();
    result.breaches = auditor_.breaches();
    result.client_duplicates = auditor_.client_duplicates();
    result.restarts = restarts_;
    result.stray_responses += platform_server_.stray_responses();
    result.lateness_p99 = lateness_.Quantile(0.99);
    result.lateness_max = max_lateness_;
    result.answer_time = load_generator_.response_times();
    if (forwarder_) {
      forwarder_->Stop();
      result.lateness_p99 = std::max(result.lateness_p99, forwarder_->lateness_p99());
      result.lateness_max = std::max(result.lateness_max, forwarder_->max_lateness());
      result.datagrams = forwarder_->forwarded();
      result.datagram_bytes = forwarder_->bytes();
    }
    for (int relay = 0; relay < scenario_.relays; ++relay) ReadZonePhases(relay);
    if (result.lateness_p99 > options_.max_lateness_p99 || result.lateness_max > options_.max_lateness)
      result.void_reason = "the laboratory itself was late: 1% of its timers by " +
                           std::to_string(result.lateness_p99) + " s or more, one by " +
                           std::to_string(result.lateness_max) + " s";
    return std::move(result);
  }

  // Reads the changes of zone phases from the relay's log, in order. Their times are not known.
  void ReadZonePhases(int relay) {
    std::ifstream log(options_.folder + "/relay" + std::to_string(relay) + "/log");
    const auto field = [](const std::string& line, const std::string& name) {
      const std::size_t field_start = line.find(" " + name + "=");
      if (field_start == std::string::npos) return std::string();
      const std::size_t from = field_start + name.size() + 2, to = line.find(' ', from);
      std::string value = line.substr(from, to == std::string::npos ? to : to - from);
      value.erase(std::remove(value.begin(), value.end(), '"'), value.end());
      return value;
    };
    for (std::string line; std::getline(log, line);) {
      if (line.find("zone_phase_changed") == std::string::npos) continue;
      const auto zone = std::find(scenario_.zones.begin(), scenario_.zones.end(), field(line, "zone"));
      if (zone == scenario_.zones.end()) continue;
      tally_.result().zone_phase_changes.push_back(
          {0, relay, static_cast<int>(zone - scenario_.zones.begin()),
           std::strtoull(field(line, "round").c_str(), nullptr, 10), field(line, "phase"),
           field(line, "from_peer") == "true"});
    }
  }

  const Scenario scenario_;
  const SocketOptions options_;
  pcg32 random_;
  const net::SystemClock clock_;
  net::EventLoop loop_;
  World world_;
  Traffic traffic_;
  Auditor auditor_;
  Tally tally_;
  MessageTracker tracker_;
  Endpoints endpoints_;
  PlatformServer platform_server_;
  LoadGenerator load_generator_;
  StallingClients stalling_clients_;
  std::unique_ptr<DatagramForwarderThread>
      forwarder_;  // null unless the relays may send datagrams to each other
  std::vector<std::unique_ptr<RelayProcess>> relays_;
  std::map<int, Seconds> started_at_;  // by relay: start of its latest process
  Auditor::Restarts restarts_;
  std::map<int, Seconds> killed_after_accept_;  // by relay: seconds until its next process starts
  LatencyHistogram lateness_;
  Seconds max_lateness_ = 0;
  Seconds start_ = 0;  // 0: the relays are not all ready yet
};

}  // namespace

RunResult RunOnSockets(const Scenario& scenario, std::uint64_t seed, const SocketOptions& options) {
  if (scenario.load.ordering_keys > 0)
    throw config::FieldError(
        "'load.order_keys' is only supported in simulated time: the platform's protocol has no header for "
        "it");
  std::filesystem::create_directories(options.folder);
  return SocketRun(scenario, seed, options).Run();
}

}  // namespace opalroute::lab
