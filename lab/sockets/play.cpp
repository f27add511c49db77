#include "lab/sockets/play.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <utility>

#include "config/fields.h"
#include "lab/sockets/endpoints.h"
#include "lab/sockets/front.h"
#include "lab/sockets/ledger.h"
#include "lab/sockets/post_thread.h"
#include "lab/sockets/registry.h"
#include "lab/sockets/relay_config.h"
#include "lab/sockets/relay_process.h"
#include "lab/sockets/rude_clients.h"
#include "lab/tally.h"
#include "lab/traffic.h"
#include "net/address.h"

namespace opalroute::lab {

namespace {

using net::Seconds;

constexpr Seconds kBeat = 0.01;        // at which the laboratory looks after processes, and at itself
constexpr Seconds kStartGap = 0.02;    // between one relay's start and the next
constexpr Seconds kAllReady = 30;      // from the first start, or there is no run
constexpr Seconds kFrontSees = 1;      // after this the front notices that a relay has died
constexpr Seconds kFrontDrains = 0.3;  // after SIGTERM new connections come for so long
constexpr Seconds kAfterReady = 1.5;   // what was overdue at a restart may be answered until then
constexpr Seconds kAfterCut = 0.5;     // what was overdue in a cut may be answered until then
constexpr Seconds kToReady = 5;        // a new start may take so long before what it holds is overdue
constexpr Seconds kReadyWithin = 6;    // of a restart on a short day (the standing test)
constexpr Seconds kEndSeen = 0.3;      // after its end a process is known to have ended
constexpr Seconds kToEnd = 5;          // for all relays, once the run is over

Auditor::Rules RulesOf(const Scenario& scenario) {
  Auditor::Rules rules;
  rules.deadline_tolerance = 0.35;  // the platform's 0.3 s, and 50 ms for sockets
  rules.drain_grace_period = 2.05;
  rules.retry_after_grace_period = 0.1;
  rules.overload_window = scenario.settings.overload_window;
  return rules;
}

class SocketPlay : private Registry::Owner, private RelayProcess::Owner {
 public:
  SocketPlay(const Scenario& scenario, std::uint64_t seed, const SocketOptions& options)
      : s_(scenario),
        options_(options),
        random_(seed, 5),
        loop_(clock_),
        world_(scenario, seed),
        traffic_(world_, seed),
        auditor_(RulesOf(scenario), scenario.settings.classes),
        tally_(world_, seed),
        ledger_(world_, auditor_, tally_),
        endpoints_(loop_, world_, auditor_, ledger_, tally_, seed),
        registry_(
            loop_, world_, seed, [this](EndpointId id, int relay) { return endpoints_.AddressOf(id, relay); },
            *this),
        front_(loop_, scenario, traffic_, ledger_, seed),
        rude_clients_(loop_, [this](int relay) { auditor_.ReportStalledClient(now(), relay); }) {
    front_.on_closed = [this](int relay, std::uint64_t id, bool crossed) { CheckClosed(relay, id, crossed); };
    front_.on_accepted = [this](int relay) { KillAfterAccept(relay); };
    if (s_.notes) post_ = std::make_unique<PostThread>(s_.relays, s_.links, seed);
    tally_.result().played = "sockets";
    tally_.result().processes.resize(static_cast<std::size_t>(s_.relays));
    for (EndpointId id = 1; id <= world_.endpoint_count(); ++id)
      auditor_.OnEndpointListed(id, world_.endpoint(id).destination, world_.endpoint(id).lane);
    for (int i = 0; i < s_.relays; ++i) {
      RelayProcess::Plan plan;
      plan.program = options.program;
      plan.arguments = options.relay_arguments;
      if (s_.tier) plan.arguments.emplace_back("--tier-shares");
      if (s_.leave) plan.arguments.emplace_back("--tier-zones");
      plan.has_pages = !s_.zone_orders.empty();
      plan.folder = options.folder + "/relay" + std::to_string(i);
      std::filesystem::remove_all(plan.folder);
      plan.config = [this, i](const std::string& listen) { return ConfigOf(i, listen); };
      if (options.variables)
        plan.variables = [this, i](const std::string& state_folder) {
          return options_.variables(i, state_folder);
        };
      relays_.push_back(std::make_unique<RelayProcess>(loop_, i, std::move(plan),
                                                       static_cast<RelayProcess::Owner&>(*this)));
    }
  }

  RunResult Play() {
    BringUp();
    start_ = loop_.Now() + 0.05;
    if (post_) post_->Begin(start_);
    endpoints_.Begin(start_);
    registry_.Begin(start_);
    front_.Begin(start_);
    for (const PoolChange& change : s_.pool_changes)
      loop_.At(start_ + change.at, [this, change] { ChangeList(change); });
    for (const RudePlan& rude : s_.rude_clients)
      loop_.At(start_ + rude.at, [this, rude] {
        rude_clients_.Connect(rude.relay, Of(rude.relay).address(), rude.kind, rude.count);
      });
    for (const LinkCut& cut : s_.links.cuts) ExcuseAllAt(cut.from);
    for (const ListFault& fault : s_.list_faults) ExcuseAllAt(fault.from);
    for (const RelayFault& fault : s_.relay_faults)
      loop_.At(start_ + fault.at, [this, fault] { Strike(fault); });
    for (const HandGiven& order : s_.zone_orders) loop_.At(start_ + order.at, [this, order] { Give(order); });
    Beat(loop_.Now());
    Second(0);
    const Seconds ends = start_ + EndOf(s_);
    while (loop_.Now() < ends && !AllDone()) {
      loop_.RunOnce(kBeat);
      if (options_.interrupted && options_.interrupted()) throw Interrupted();
    }
    constexpr Seconds kEver = 1e9;  // what is not over by now never will be
    auditor_.CheckDeadlines(kEver);
    restarts_.unattempted = ledger_.untried();
    restarts_.unattempted_ended = ledger_.untried_ended();
    auditor_.CheckRestarts(now(), restarts_);
    End();
    return Result();
  }

 private:
  Seconds now() const { return loop_.Now() - start_; }
  RelayProcess& Of(int relay) { return *relays_[static_cast<std::size_t>(relay)]; }

  nlohmann::json ConfigOf(int relay, const std::string& listen) {
    nlohmann::json file = {{"name", "n" + std::to_string(relay)},
                           {"listen", listen},
                           {"discovery", net::FormatAddress(registry_.address(relay))},
                           {"seed", std::to_string(random_())},
                           {"limits", {{"sockets", 1024}, {"disk_mb", 3}}},
                           {"known", nlohmann::json::parse(registry_.WholeList(relay))},
                           {"settings", SettingsJson(s_, relay)}};
    if (!post_) return file;
    file["peer_listen"] = net::FormatAddress(post_->ListenOf(relay));
    for (const sockaddr_in& peer : post_->Peers()) file["peers"].push_back(net::FormatAddress(peer));
    return file;
  }

  void BringUp() {
    const Seconds until = loop_.Now() + kAllReady + kStartGap * s_.relays;
    for (int i = 0; i < s_.relays; ++i)  // hundreds at once would take this machine's cores from one another
      loop_.At(loop_.Now() + kStartGap * i, [this, i] { StartRelay(i); });
    while (std::any_of(relays_.begin(), relays_.end(), [](const auto& relay) { return !relay->ready(); })) {
      for (const auto& relay : relays_) relay->Poll();
      loop_.RunOnce(kBeat);
      if (options_.interrupted && options_.interrupted()) throw Interrupted();
      if (!tally_.result().crashes.empty()) {
        const Crash& crash = tally_.result().crashes.front();
        throw std::runtime_error("relay " + std::to_string(crash.relay) + " did not come up: " + crash.how +
                                 "; its log says:\n" + crash.last_log);
      }
      if (loop_.Now() > until) throw std::runtime_error("the relays were not ready in time");
    }
  }

  // ---- what the relays do -----------------------------------------------------------------------------

  void OnReady(int relay) override {
    front_.SetRelay(relay, Of(relay).address());
    front_.SetAlive(relay, true);
    if (options_.clients_stay) front_.CrossFirstRequests(relay);
    if (start_ <= 0) return;
    ++restarts_.ready;
    if (now() > started_at_[relay] + kReadyWithin) ++restarts_.late;
    auditor_.OnRelayReady(relay, now() + kAfterReady);  // what it held is due from now on
    ExcuseForCuts(relay);
  }
  void StartRelay(int relay) {
    Of(relay).Start();
    OnStart(relay);
  }
  void OnStart(int relay) override {
    started_at_[relay] = now();
    ledger_.RelayRestarted(now(), relay);
    if (post_) post_->SetThere(relay, true);
  }
  void OnEnd(int relay) override {
    if (options_.clients_stay) front_.SetAlive(relay, false);
    OnDeath(relay);
  }
  void OnKilled(int relay) override {
    const Seconds down = Of(relay).next_start() - loop_.Now();
    loop_.At(loop_.Now() + std::min(kFrontSees, down), [this, relay] {
      if (!Of(relay).ready()) front_.SetAlive(relay, false);
    });
    OnDeath(relay);
  }
  // What it was told ends with the process; nothing that it held is overdue until the next one is ready.
  void OnDeath(int relay) {
    if (post_) post_->SetThere(relay, false);
    auditor_.OnRelayStopped(relay, ReadyAtLatest(relay));
    ExcuseForCuts(relay);
  }
  Seconds ReadyAtLatest(int relay) { return Of(relay).next_start() - start_ + kToReady; }
  void OnCrash(int relay, const std::string& how) override {
    if (post_) post_->SetThere(relay, false);
    auditor_.OnRelayStopped(relay, 0);
    ExcuseForCuts(relay);
    front_.SetAlive(relay, false);
    tally_.result().crashes.push_back({relay, start_ > 0 ? now() : 0, how, Of(relay).LastLog()});
  }
  // While the platform is out of a relay's reach no notice can arrive there.
  void ExcuseForCuts(int relay) {
    for (const LinkCut& cut : s_.links.cuts)
      if (cut.target == LinkCut::Target::kDiscovery)
        ExcuseWhile(relay, cut.first, cut.last, cut.from, cut.duration);
    for (const ListFault& fault : s_.list_faults)
      if (fault.kind == ListFault::Kind::kUnreachable)
        ExcuseWhile(relay, fault.first, fault.last, fault.from, fault.lasts);
  }
  void ExcuseWhile(int relay, int first, int last, Seconds from, Seconds lasts) {
    const bool holds = start_ > 0 && now() >= from && now() < from + lasts;
    if (holds && relay >= first && relay <= last) auditor_.ExtendDeadlines(relay, from + lasts + kAfterCut);
  }
  void ExcuseAllAt(Seconds from) {
    loop_.At(start_ + from, [this] {
      for (int relay = 0; relay < s_.relays; ++relay) ExcuseForCuts(relay);
    });
  }
  // A client's connection has ended with its request written and no whole answer. That is the relay's doing
  // wherever the request had been read, and if it was serving, also where it had not been, unless the request
  // crossed the end of a resting connection; a process that is killed resets all it has.
  void CheckClosed(int relay, std::uint64_t id, bool crossed) {
    if (!options_.clients_stay) return;
    const Seconds closed = loop_.Now();
    const int starts = Of(relay).starts();
    const bool owes_all = Of(relay).serves() && !crossed;
    loop_.At(closed + kEndSeen, [this, relay, id, closed, starts, owes_all] {
      if (Of(relay).WasKilled(starts, closed)) return;
      if (owes_all || HasRead(relay, id)) return auditor_.ReportClosedUnanswered(closed - start_, relay, id);
      ++tally_.result().closed_unread;
    });
  }
  bool HasRead(int relay, std::uint64_t id) const {
    if (options_.requests_read.empty()) return false;
    std::ifstream file(options_.folder + "/relay" + std::to_string(relay) + "/" + options_.requests_read);
    const std::string wanted = "m" + std::to_string(id);
    for (std::string line; std::getline(file, line);)
      if (line == wanted) return true;
    return false;
  }
  void OnTold(int relay, EndpointId endpoint, EndpointStatus listing) override {
    if (listing != EndpointStatus::kInService) auditor_.OnDrainReceived(now(), relay, endpoint);
  }
  void OnNotice(const std::string& message, bool handed_back, Seconds advice) override {
    ledger_.Noticed(now(), std::strtoull(message.c_str() + 1, nullptr, 10),
                    handed_back ? Ledger::Notice::kHandedBack : Ledger::Notice::kGivenUp, advice);
  }

  // ---- troubles ---------------------------------------------------------------------------------------

  // Faults may overlap on one relay: RestartSchedule says what each signal means then.
  void Strike(const RelayFault& fault) {
    if (!Of(fault.relay).running()) return;
    switch (fault.kind) {
      case RelayFault::Kind::kReload:
        return Of(fault.relay).Reload();
      case RelayFault::Kind::kFreeze:
        return Freeze(fault.relay, fault.down);
      case RelayFault::Kind::kStop:
        return Stop(fault.relay, fault.down);
      case RelayFault::Kind::kKill:
        return Kill(fault.relay, fault.down, fault.forgets);
      case RelayFault::Kind::kKillAfterAccept:
        killed_after_accept_[fault.relay] = fault.down;
        return;
    }
  }
  void Freeze(int relay, Seconds lasts) {
    Of(relay).Freeze();
    ledger_.Deaf(relay, now() + lasts);
    auditor_.ExtendDeadlines(relay, now() + lasts + kAfterReady);
    loop_.At(loop_.Now() + lasts, [this, relay] { Of(relay).Thaw(); });
  }
  // From the signal until it is ready again nothing is overdue; OnReady says until when.
  void Stop(int relay, Seconds down) {
    const bool is_first = !Of(relay).stopping();
    Of(relay).Terminate(down);
    auditor_.ExtendDeadlines(relay, ReadyAtLatest(relay));
    if (!is_first) return;
    if (options_.clients_stay) return front_.RelayStops(relay);
    loop_.At(loop_.Now() + kFrontDrains, [this, relay] { front_.SetAlive(relay, false); });
  }
  void Kill(int relay, Seconds down, bool forgets) {
    Of(relay).Kill(down);
    if (forgets) std::filesystem::remove(options_.folder + "/relay" + std::to_string(relay) + "/state/tier");
  }
  // Right behind a 202, in the loop's next turn.
  void KillAfterAccept(int relay) {
    const auto planned = killed_after_accept_.find(relay);
    if (planned == killed_after_accept_.end()) return;
    loop_.At(loop_.Now(), [this, relay, down = planned->second] { Of(relay).Kill(down); });
    killed_after_accept_.erase(planned);
  }

  void Give(const HandGiven& order) {
    nlohmann::json body = {{"zone", s_.zones[static_cast<std::size_t>(order.zone)]},
                           {"order", zone_failover::NameOf(order.what)}};
    if (order.what != zone_failover::OverrideKind::kNone) body["for_s"] = order.lasts;
    Of(order.relay).Order("/zones", body.dump());
  }

  void ChangeList(const PoolChange& change) {
    const auto changes = world_.Change(
        change, [this](EndpointId id) { return registry_.ListingOf(id); },
        [this] { return DrawUnit(random_); });
    for (const World::ListChange& c : changes) {
      if (c.listing == EndpointStatus::kInService)
        auditor_.OnEndpointListed(c.endpoint, world_.endpoint(c.endpoint).destination,
                                  world_.endpoint(c.endpoint).lane);
      registry_.Publish(c.endpoint, c.listing);
      if (c.listing != EndpointStatus::kDraining) continue;
      loop_.At(loop_.Now() + World::kDrainLasts, [this, id = c.endpoint] {
        registry_.Publish(id, EndpointStatus::kRemoved);
        endpoints_.Remove(id);
      });
    }
  }

  // ---- the run ----------------------------------------------------------------------------------------

  void Beat(Seconds due) {
    const Seconds late = std::max(0.0, loop_.Now() - due);
    lateness_.Add(late);
    most_late_ = std::max(most_late_, late);
    for (const auto& relay : relays_) relay->Poll();
    const Seconds next = loop_.Now() + kBeat;
    loop_.At(next, [this, next] { Beat(next); });
  }

  void Second(int number) {
    auditor_.CheckDeadlines(now());
    tally_.Sample(now());
    for (std::size_t i = 0; i < relays_.size(); ++i) {
      auto sample = relays_[i]->Sample();
      if (!sample) continue;
      sample->at = now();
      tally_.result().processes[i].push_back(*sample);
    }
    if (options_.progress) options_.progress(now());
    loop_.At(start_ + number + 1, [this, number] { Second(number + 1); });
  }

  bool AllDone() const { return now() > s_.lasts && front_.done() && ledger_.open() == 0; }

  void End() {
    for (const auto& relay : relays_) relay->Terminate();
    const Seconds until = loop_.Now() + kToEnd;
    const auto runs = [](const auto& relay) { return relay->running(); };
    while (std::any_of(relays_.begin(), relays_.end(), runs) && loop_.Now() < until) {
      for (const auto& relay : relays_) relay->Poll();
      loop_.RunOnce(kBeat);
    }
  }

  RunResult Result() {
    RunResult& r = tally_.result();
    r.breaches = auditor_.breaches();
    r.client_doubles = auditor_.client_duplicates();
    r.restarts = restarts_;
    r.lateness_p99 = lateness_.At(0.99);
    r.lateness_most = most_late_;
    r.answer_time = front_.answer_times();
    if (post_) {
      post_->Stop();
      r.lateness_p99 = std::max(r.lateness_p99, post_->lateness_p99());
      r.lateness_most = std::max(r.lateness_most, post_->lateness_most());
      r.notes = post_->passed();
      r.note_bytes = post_->bytes();
    }
    for (int relay = 0; relay < s_.relays; ++relay) ReadStages(relay);
    if (r.lateness_p99 > options_.most_lateness_p99 || r.lateness_most > options_.most_lateness)
      r.void_because = "the laboratory itself was late: 1% of its beats by " +
                       std::to_string(r.lateness_p99) + " s and more, one by " +
                       std::to_string(r.lateness_most) + " s";
    return std::move(r);
  }

  // From its log: which stage it was in, one after another. Times are not told.
  void ReadStages(int relay) {
    std::ifstream log(options_.folder + "/relay" + std::to_string(relay) + "/log");
    const auto field = [](const std::string& line, const std::string& name) {
      const std::size_t at = line.find(" " + name + "=");
      if (at == std::string::npos) return std::string();
      const std::size_t from = at + name.size() + 2, to = line.find(' ', from);
      std::string value = line.substr(from, to == std::string::npos ? to : to - from);
      value.erase(std::remove(value.begin(), value.end(), '"'), value.end());
      return value;
    };
    for (std::string line; std::getline(log, line);) {
      if (line.find("zone_phase_changed") == std::string::npos) continue;
      const auto zone = std::find(s_.zones.begin(), s_.zones.end(), field(line, "zone"));
      if (zone == s_.zones.end()) continue;
      tally_.result().stage_changes.push_back({0, relay, static_cast<int>(zone - s_.zones.begin()),
                                               std::strtoull(field(line, "round").c_str(), nullptr, 10),
                                               field(line, "phase"), field(line, "from_peer") == "true"});
    }
  }

  const Scenario s_;
  const SocketOptions options_;
  pcg32 random_;
  const net::SystemClock clock_;
  net::EventLoop loop_;
  World world_;
  Traffic traffic_;
  Auditor auditor_;
  Tally tally_;
  Ledger ledger_;
  Endpoints endpoints_;
  Registry registry_;
  Front front_;
  RudeClients rude_clients_;
  std::unique_ptr<PostThread> post_;  // where relays may send one another datagrams
  std::vector<std::unique_ptr<RelayProcess>> relays_;
  std::map<int, Seconds> started_at_;  // by relay: its latest process
  Auditor::Restarts restarts_;
  std::map<int, Seconds> killed_after_accept_;  // by relay: its next process starts so long after
  LatencyHistogram lateness_;
  Seconds most_late_ = 0;
  Seconds start_ = 0;  // 0: the relays are still coming up
};

}  // namespace

RunResult PlayOnSockets(const Scenario& scenario, std::uint64_t seed, const SocketOptions& options) {
  if (scenario.load.order_keys > 0)
    throw config::FieldError(
        "'load.order_keys' can be played in simulated time only: the platform's protocol has no header for "
        "it");
  std::filesystem::create_directories(options.folder);
  return SocketPlay(scenario, seed, options).Play();
}

}  // namespace opalroute::lab
