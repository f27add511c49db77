#include "lab/experiments/state_transfer_experiment.h"

#include <algorithm>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "lab/fake_partner.h"
#include "lab/fake_platform.h"
#include "lab/simulated_clock.h"
#include "lab/single_relay_load.h"
#include "relay/relay.h"

namespace opalroute::lab {

namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr int kRelays = 2;
constexpr int kEndpoints = 2;
constexpr long long kDestination = 7;
constexpr int kInitialBurst = 40;  // requests due at the new relay's start: the partner's capacity for 1.3 s
constexpr Seconds kOutageStart = 4, kOutageEnd = 14, kRunEnd = 34;  // from the start of the run
// Latency objective and priority weight.
const std::map<std::string, std::pair<Seconds, double>> kClasses = {
    {"board-status", {0.8, 1}}, {"notice-order", {2, 1}}, {"payment", {2, 3}}};

// Settings like those of the operators' deployments: 2 relays, approximate weights, retries depending on the
// class.
json RelaySettings(int me, bool capacity_known) {
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
      {"weightKind", capacity_known ? "rough" : "none"}};
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

class Experiment {
 public:
  Experiment(const StateTransferRun& run, std::string folder)
      : run_(run), folder_(std::move(folder)), random_(run.seed), loop_(clock_) {
    start_ = clock_.Now();
    PartnerSettings partner;
    partner.route.rate_limit = 30;
    partner.route.window = 1;
    partner.route.latency_cv = 0.3;
    partner.route.rejected_calls_count = false;
    partner.route.overload_tolerance = false;  // no tolerance for random variation
    partner.seed = run.seed;
    if (run.outage) {
      partner.outage_from = start_ + kOutageStart;
      partner.outage_to = start_ + kOutageEnd;
    }
    partner_ = std::make_unique<FakePartner>(loop_, partner, kEndpoints, kRelays);
    // The new relay starts between 5 s before the partner's recovery and 2 s after it.
    new_relay_at_ = start_ + kOutageEnd + std::uniform_real_distribution<double>(-5, 2)(random_);
    for (int i = 0; i < kRelays; ++i) {
      LoadSettings load;
      load.rate = i == 0 ? 6 : 8;
      load.initial_burst = i == 0 ? 0 : kInitialBurst;
      load.from = i == 0 ? start_ : new_relay_at_;
      load.to = start_ + kRunEnd - 8;
      load.destinations = {kDestination};
      load.seed = run.seed * 10 + static_cast<std::uint64_t>(i);
      load.prefix = i == 0 ? "a" : "b";
      loads_.push_back(std::make_unique<SingleRelayLoad>(loop_, load));
    }
    for (int i = 0; i < kRelays; ++i) peer_ports_.push_back(FreeDatagramPort());
  }

  StateTransferResult Run() {
    Start(0);
    RunEventLoopUntil(loop_, clock_, new_relay_at_);
    Start(1);
    RunEventLoopUntil(loop_, clock_, start_ + kRunEnd);
    return Evaluate();
  }

 private:
  // The port is bound only briefly: each relay's configuration needs the addresses of both before either
  // runs.
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
                 {"settings", RelaySettings(relay, run_.capacity_known)}};
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
    OperatorSettings settings;
    using Transfer = StateTransferRun::Transfer;
    if (run_.transfer == Transfer::kDatagrams) settings.state_transfer.use_datagrams = true;
    if (run_.transfer == Transfer::kTcp && relay == 0)
      settings.state_transfer.listen = *net::ParseAddress("127.0.0.1:0");
    if (run_.transfer == Transfer::kTcp && relay == 1)
      settings.state_transfer.donors = {*relays_[0]->state_transfer()->snapshot_address()};
    if (run_.transfer == Transfer::kStateFolder) settings.state_transfer.use_state_folder = true;
    configs_.push_back(std::make_unique<Config>(ConfigOf(relay)));
    // As if the new relay had saved the file itself before a restart.
    if (run_.transfer == Transfer::kStateFolder && relay == 1 && fs::exists(folder_ + "/0/learned"))
      fs::copy_file(folder_ + "/0/learned", folder_ + "/1/learned");
    relays_.push_back(std::make_unique<Relay>(loop_, *configs_.back(), settings));
    loads_[static_cast<std::size_t>(relay)]->SetRelay(relays_.back()->address());
  }

  bool HasNotification(const std::string& id) const {
    return std::any_of(platforms_.begin(), platforms_.end(),
                       [&](const auto& platform) { return platform->notifications().count(id) > 0; });
  }

  StateTransferResult Evaluate() const {
    StateTransferResult r;
    const PartnerModel& model = partner_->model();
    const Seconds recovery = run_.outage ? start_ + kOutageEnd : new_relay_at_;
    r.calls_by_second.assign(16, 0);
    for (const PartnerModel::Call& call : model.calls()) {
      const bool by_new_relay = call.relay == 1;
      if (by_new_relay && call.at >= recovery && call.at < recovery + 2) ++r.new_relay_calls;
      if (by_new_relay && call.at < recovery) ++r.new_relay_calls_in_outage;
      if (by_new_relay && call.retry_after_since > 0 && call.retry_after_since < new_relay_at_)
        ++r.new_relay_calls_during_retry_after;
      const auto second = static_cast<int>(call.at - recovery);
      if (call.at >= recovery && second < static_cast<int>(r.calls_by_second.size()))
        ++r.calls_by_second[static_cast<std::size_t>(second)];
    }
    r.calls_during_own_retry_after = model.Count(PartnerModel::BreachKind::kDuringRetryAfter);
    r.collapses = model.Count(PartnerModel::BreachKind::kCollapse);
    r.duplicate_payments = model.Count(PartnerModel::BreachKind::kRanTwice);
    for (const auto& load : loads_) {
      for (const auto& [id, message] : load->messages()) {
        const auto delivered = partner_->delivered().find(id);
        const bool ended = delivered != partner_->delivered().end() || HasNotification(id);
        if (message.status == 202 && !ended) ++r.lost;
        if (message.due < recovery || message.due >= recovery + 10) continue;
        const auto [latency_objective, priority_weight] = kClasses.at(message.message_class);
        r.weight_due += priority_weight;
        if (delivered != partner_->delivered().end() && delivered->second <= message.due + latency_objective)
          r.weight += priority_weight;
      }
    }
    return r;
  }

  const StateTransferRun run_;
  const std::string folder_;
  std::mt19937_64 random_;
  SimulatedClock clock_;
  net::EventLoop loop_;
  // One per relay: the partner has a different address for each.
  std::vector<std::unique_ptr<FakePlatform>> platforms_;
  std::unique_ptr<FakePartner> partner_;
  std::vector<std::unique_ptr<SingleRelayLoad>> loads_;
  std::vector<std::string> peer_ports_;
  std::vector<std::unique_ptr<Config>> configs_;
  std::vector<std::unique_ptr<Relay>> relays_;
  Seconds start_ = 0, new_relay_at_ = 0;
};

}  // namespace

StateTransferResult RunStateTransfer(const StateTransferRun& run, const std::string& folder) {
  fs::remove_all(folder);
  fs::create_directories(folder);
  StateTransferResult result = Experiment(run, folder).Run();
  fs::remove_all(folder);
  return result;
}

}  // namespace opalroute::lab
