#include "lab/experiments/learning_experiment.h"

#include <algorithm>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "lab/clock.h"
#include "lab/load.h"
#include "lab/partner.h"
#include "lab/platform.h"
#include "relay/relay.h"

namespace opalroute::lab {

namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr int kRelays = 2;
constexpr int kEndpoints = 2;
constexpr long long kDestination = 7;
constexpr int kClump = 40;  // messages that the newcomer finds at its start: what the partner takes in 1.3 s
constexpr Seconds kShutAfter = 4, kOpensAfter = 14, kEndsAfter = 34;
const std::map<std::string, std::pair<Seconds, double>> kClasses = {  // aim and worth
    {"board-status", {0.8, 1}},
    {"notice-order", {2, 1}},
    {"payment", {2, 3}}};

// The settings of a deployment like the operators': 2 relays, rough ratings, retries allowed by class.
json SettingsOf(int me, bool rated) {
  json settings = {
      {"balancers", kRelays},
      {"me", me},
      {"discovery", "ask"},
      {"kinds", {"small"}},
      {"zones", {"ground"}},
      {"familyInfo", {{"bundleMax", {1}}, {"callsOut", 40}, {"late", "even"}, {"routesApart", {false}}}},
      {"limits",
       {{"cancel", true},
        {"connIdleS", 15},
        {"dialTimeoutS", 1.5},
        {"maxRetryAfterS", 3},
        {"mostTries", 12},
        {"openCap", 400},
        {"peers", true},
        {"probes", true},
        {"retryAfter", true},
        {"secondCopies", true}}},
      {"realms", {{{"name", "lab"}, {"share", 1}, {"allowancePerS", 1000}}}},
      {"rules",
       {{"askWithinS", 10},
        {"coldFrom", 0.22},
        {"drainGraceS", 2},
        {"overloadFactor", 2},
        {"overloadForS", 2},
        {"rampTimeS", 13}}},
      {"tickS", 0.005},
      {"weightKind", rated ? "rough" : "none"}};
  settings["classes"] = json::array();
  settings["classes"].push_back({{"name", "board-status"},
                                 {"aimS", 0.8},
                                 {"deadlineS", 8},
                                 {"effect", "idempotent"},
                                 {"group", "all"},
                                 {"worth", 1},
                                 {"lateShare", 0.1}});
  settings["classes"].push_back({{"name", "notice-order"},
                                 {"aimS", 2},
                                 {"deadlineS", 20},
                                 {"effect", "deduplicated"},
                                 {"group", "all"},
                                 {"keyTtlS", 12},
                                 {"worth", 1},
                                 {"lateShare", 0.5}});
  settings["classes"].push_back({{"name", "payment"},
                                 {"aimS", 2},
                                 {"deadlineS", 16},
                                 {"effect", "at_most_once"},
                                 {"group", "all"},
                                 {"worth", 3},
                                 {"lateShare", 0.5}});
  return settings;
}

class World {
 public:
  World(const LearningRun& run, std::string folder)
      : run_(run), folder_(std::move(folder)), draw_(run.seed), loop_(clock_) {
    start_ = clock_.Now();
    PartnerSettings partner;
    partner.route.rate_limit = 30;
    partner.route.window = 1;
    partner.route.latency_cv = 0.3;
    partner.route.rejected_calls_count = false;
    partner.route.overload_tolerance = 0;  // no chance is allowed for
    partner.seed = run.seed;
    if (run.outage) {
      partner.outage_from = start_ + kShutAfter;
      partner.outage_to = start_ + kOpensAfter;
    }
    partner_ = std::make_unique<FakePartner>(loop_, partner, kEndpoints, kRelays);
    // The newcomer starts between 5 s before the partner opens and 2 s after.
    newcomer_at_ = start_ + kOpensAfter + std::uniform_real_distribution<double>(-5, 2)(draw_);
    for (int i = 0; i < kRelays; ++i) {
      LoadSettings load;
      load.rate = i == 0 ? 6 : 8;
      load.clump = i == 0 ? 0 : kClump;
      load.from = i == 0 ? start_ : newcomer_at_;
      load.to = start_ + kEndsAfter - 8;
      load.destinations = {kDestination};
      load.seed = run.seed * 10 + static_cast<std::uint64_t>(i);
      load.prefix = i == 0 ? "a" : "b";
      loads_.push_back(std::make_unique<Load>(loop_, load));
    }
    for (int i = 0; i < kRelays; ++i) peer_ports_.push_back(FreeDatagramPort());
  }

  LearningResult Play() {
    Start(0);
    RunEventLoopUntil(loop_, clock_, newcomer_at_);
    Start(1);
    RunEventLoopUntil(loop_, clock_, start_ + kEndsAfter);
    return Reckon();
  }

 private:
  // Bound for a moment only: relays name one another's addresses before they run.
  std::string FreeDatagramPort() {
    net::DatagramSocket probe(loop_, *net::ParseAddress("127.0.0.1:0"), 256,
                              [](const sockaddr_in&, std::string) {});
    return net::FormatAddress(probe.address());
  }

  Config ConfigOf(int relay) {
    platforms_.push_back(std::make_unique<FakePlatform>(loop_));
    json file = {{"name", "n" + std::to_string(relay)},
                 {"listen", "127.0.0.1:0"},
                 {"discovery", net::FormatAddress(platforms_.back()->address())},
                 {"state", folder_ + "/" + std::to_string(relay)},
                 {"seed", std::to_string(run_.seed * 100 + static_cast<std::uint64_t>(relay))},
                 {"limits", {{"sockets", 1024}, {"disk_mb", 3}}},
                 {"peer_listen", peer_ports_[static_cast<std::size_t>(relay)]},
                 {"peers", peer_ports_},
                 {"settings", SettingsOf(relay, run_.rated)}};
    file["known"] = {{"generation", 1}, {"reset", true}, {"instances", json::array()}};
    for (int i = 0; i < kEndpoints; ++i)
      file["known"]["instances"].push_back({{"instanceId", "e" + std::to_string(i)},
                                            {"hostPort", net::FormatAddress(partner_->Address(i, relay))},
                                            {"zone", "ground"},
                                            {"machineType", "small"},
                                            {"cell", kDestination},
                                            {"lifecycle", "ready"},
                                            {"weight", 30.0}});
    platforms_.back()->SetEndpointList(file["known"]);
    fs::create_directories(folder_ + "/" + std::to_string(relay));
    return config::Parse(file, [](const char*) { return std::nullopt; });
  }

  void Start(int relay) {
    Operator settings;
    using Carrier = LearningRun::Carrier;
    if (run_.carrier == Carrier::kNotes) settings.learn.notes = true;
    if (run_.carrier == Carrier::kTcp && relay == 0)
      settings.learn.listen = *net::ParseAddress("127.0.0.1:0");
    if (run_.carrier == Carrier::kTcp && relay == 1)
      settings.learn.from = {*relays_[0]->state_transfer()->snapshot_address()};
    if (run_.carrier == Carrier::kState) settings.learn.state = true;
    configs_.push_back(std::make_unique<Config>(ConfigOf(relay)));
    if (run_.carrier == Carrier::kState && relay == 1 && fs::exists(folder_ + "/0/learned"))
      fs::copy_file(folder_ + "/0/learned", folder_ + "/1/learned");  // as if it were this one's earlier life
    relays_.push_back(std::make_unique<Relay>(loop_, *configs_.back(), settings));
    loads_[static_cast<std::size_t>(relay)]->SetRelay(relays_.back()->address());
  }

  bool Noticed(const std::string& id) const {
    return std::any_of(platforms_.begin(), platforms_.end(),
                       [&](const auto& platform) { return platform->notifications().count(id) > 0; });
  }

  LearningResult Reckon() const {
    LearningResult r;
    const PartnerModel& model = partner_->model();
    const Seconds opens = run_.outage ? start_ + kOpensAfter : newcomer_at_;
    r.load.assign(16, 0);
    for (const PartnerModel::Call& call : model.calls()) {
      const bool newcomer = call.relay == 1;
      if (newcomer && call.at >= opens && call.at < opens + 2) ++r.newcomer_calls;
      if (newcomer && call.at < opens) ++r.newcomer_shut;
      if (newcomer && call.retry_after_since > 0 && call.retry_after_since < newcomer_at_) ++r.in_wait;
      const auto second = static_cast<int>(call.at - opens);
      if (call.at >= opens && second < static_cast<int>(r.load.size()))
        ++r.load[static_cast<std::size_t>(second)];
    }
    r.own_breaches = model.Count(PartnerModel::BreachKind::kDuringRetryAfter);
    r.collapses = model.Count(PartnerModel::BreachKind::kCollapse);
    r.twice = model.Count(PartnerModel::BreachKind::kRanTwice);
    for (const auto& load : loads_) {
      for (const auto& [id, message] : load->messages()) {
        const auto delivered = partner_->delivered().find(id);
        const bool ended = delivered != partner_->delivered().end() || Noticed(id);
        if (message.status == 202 && !ended) ++r.lost;
        if (message.due < opens || message.due >= opens + 10) continue;
        const auto [aim, worth] = kClasses.at(message.message_class);
        r.asked += worth;
        if (delivered != partner_->delivered().end() && delivered->second <= message.due + aim)
          r.worth += worth;
      }
    }
    return r;
  }

  const LearningRun run_;
  const std::string folder_;
  std::mt19937_64 draw_;
  SimulatedClock clock_;
  net::EventLoop loop_;
  std::vector<std::unique_ptr<FakePlatform>> platforms_;  // one a relay: each has its own addresses
  std::unique_ptr<FakePartner> partner_;
  std::vector<std::unique_ptr<Load>> loads_;
  std::vector<std::string> peer_ports_;
  std::vector<std::unique_ptr<Config>> configs_;
  std::vector<std::unique_ptr<Relay>> relays_;
  Seconds start_ = 0, newcomer_at_ = 0;
};

}  // namespace

LearningResult RunLearning(const LearningRun& run, const std::string& folder) {
  fs::remove_all(folder);
  fs::create_directories(folder);
  LearningResult result = World(run, folder).Play();
  fs::remove_all(folder);
  return result;
}

}  // namespace opalroute::lab
