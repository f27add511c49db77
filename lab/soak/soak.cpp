#include "lab/soak/soak.h"

#include <cerrno>
#include <filesystem>
#include <map>
#include <pcg_random.hpp>
#include <utility>
#include <vector>

#include "lab/random_source.h"
#include "lab/scenario.h"
#include "lab/sockets/relay_process.h"
#include "lab/sockets/socket_run.h"

namespace opalroute::lab {

namespace {

using nlohmann::json;

constexpr double kArrivalDuration = 12;   // seconds
constexpr double kFaultFreeStart = 1;     // seconds, the first of the arrivals
constexpr double kFreezeDuration = 0.15;  // seconds from SIGSTOP to SIGCONT
constexpr int kZones = 2;
constexpr int kMaxSmallFleet = 12, kLargeFleet = 30;  // relays
constexpr double kMaxTotalFailure = 0.2;              // seconds: only shorter periods may fail every call
constexpr int kConnectionFlood = 520;                 // more connections than a relay keeps
constexpr int kLargeFleetOneIn = 10;                  // one seed in so many has a large fleet
// One seed in so many has a connection flood, and one in so many an unreachable platform.
constexpr int kRareFaultOneIn = 5;
constexpr double kKillGracePeriod = RelayProcess::kGracePeriod;
constexpr const char* kRequestsRead = "requests_read";  // file name in a relay's folder

class ScenarioGenerator : private RandomSource {
 public:
  explicit ScenarioGenerator(std::uint64_t seed)
      : RandomSource(seed, 51),
        relays_(OneIn(kLargeFleetOneIn) ? kLargeFleet : 1 + UniformBelow(kMaxSmallFleet)) {}

  json Generate(std::uint64_t seed) {
    json s = {{"name", "soak" + std::to_string(seed)},
              {"relays", relays_},
              {"zones", kZones},
              {"lasts_s", kArrivalDuration},
              {"load", {{"rate", UniformRounded(20, 80)}}},
              {"classes", RequestClasses()},
              {"partners", RandomPartners()},
              {"list_late_s", {0, UniformRounded(0, 1)}},
              {"settings", {{"ramp_s", UniformRounded(1, 5)}, {"most_tries", 2 + UniformBelow(8)}}}};
    if (OneIn(2)) s["load"]["bursts"] = {{{"from_s", RandomTime()}, {"lasts_s", 2}, {"times", 3}}};
    for (int i = UniformBelow(4); i > 0; --i) s["troubles"].push_back(RandomPartnerFault());
    for (int i = 1 + UniformBelow(4); i > 0; --i) AddRelayFaults(s["relay_faults"]);
    // At least one change is early, so that calls continue long after it.
    for (int i = 1 + UniformBelow(2); i > 0; --i)
      s["pool_changes"].push_back({{"kind", OneIn(2) ? "drain" : "replace"},
                                   {"at_s", i == 1 ? UniformRounded(kFaultFreeStart, 3) : RandomTime()},
                                   {"share", UniformRounded(0.1, 0.5)}});
    for (int i = UniformBelow(4); i > 0; --i) s["rude_clients"].push_back(RandomStalledClients());
    for (int i = UniformBelow(4); i > 0; --i) s["list_faults"].push_back(RandomListFault());
    for (int i = UniformBelow(3); i > 0; --i) s["links"]["cuts"].push_back(RandomLinkCut());
    // Drawn last, so that everything above stays the same for the seeds that documentation and commit
    // messages mention.
    for (int i = UniformBelow(3); i > 0; --i) AddRelayStop(s["relay_faults"]);
    if (OneIn(2)) AddSignalSeries(s["relay_faults"]);
    if (OneIn(kRareFaultOneIn)) AddConnectionFlood(s);
    if (OneIn(kRareFaultOneIn)) s["list_faults"].push_back(UnreachablePlatform());
    if (OneIn(2)) s["withdrawals"] = {{"share", UniformRounded(0.05, 0.2)}};
    if (OneIn(2)) s["connection_faults"] = RandomConnectionFaults();
    return s;
  }

 private:
  double RandomTime() { return UniformRounded(kFaultFreeStart, kArrivalDuration - 2); }

  json RequestClasses() {
    return {{{"name", "safe"},
             {"effect", "idempotent"},
             {"aim_s", 0.8},
             {"deadline_s", 4},
             {"worth", 1},
             {"late_share", 0.1},
             {"share", 0.4}},
            {{"name", "keyed"},
             {"effect", "deduplicated"},
             {"key_window_s", UniformRounded(1, 6)},
             {"aim_s", 1.5},
             {"deadline_s", 6},
             {"worth", 1},
             {"late_share", 0.5},
             {"share", 0.3}},
            {{"name", "once"},
             {"effect", "at_most_once"},
             {"aim_s", 1.5},
             {"deadline_s", 5},
             {"worth", 3},
             {"late_share", 0.5},
             {"share", 0.3}}};
  }

  json RandomPartners() {
    json p = {{"count", 2 + UniformBelow(5)},
              {"endpoints", {1 + UniformBelow(2), 3 + UniformBelow(2)}},
              {"apart", UniformBelow(3) * 0.5},
              {"bundle", OneIn(2) ? 5 : 1}};
    if (OneIn(3)) p["connections"] = {2 + UniformBelow(4), 8};
    if (OneIn(3)) p["latency_s"] = {0.3, 1};
    return p;
  }

  json RandomPartnerFault() {
    const char* const kinds[] = {"shut", "refuse", "hang", "reset", "errors", "slow", "spoilt", "vanish"};
    json trouble = {{"kind", PickOne(kinds)},
                    {"share", OneIn(2) ? 1.0 : UniformRounded(0.2, 1)},
                    {"from_s", RandomTime()},
                    {"lasts_s", UniformRounded(0.3, 4)}};
    if (OneIn(2)) trouble["zone"] = UniformBelow(kZones);
    if (OneIn(3)) trouble["chance"] = UniformRounded(0.1, 1);
    if (trouble["kind"] == "slow") trouble["factor"] = 2 + UniformBelow(6);
    return trouble;
  }

  json RandomConnectionFaults() {
    const char* const kinds[] = {"closed", "reset", "silent", "idle_closed"};
    return {{PickOne(kinds), UniformRounded(0.05, 0.3)}, {"idle_s", {0.01, UniformRounded(0.02, 1)}}};
  }

  // One kill or stop, or a series of signals.
  void AddRelayFaults(json& faults) {
    const int first = UniformBelow(relays_), last = OneIn(2) ? first : first + UniformBelow(relays_ - first);
    const double at = RandomTime();
    const auto add = [&](const char* kind, double when, double down) {
      faults.push_back(
          {{"kind", kind}, {"relay", first}, {"through", last}, {"at_s", when}, {"down_s", down}});
    };
    switch (UniformBelow(5)) {
      case 0:
        return add("kill", at, UniformRounded(0.05, 2));
      case 1:
        return add("stop", at, UniformRounded(0.05, 1));
      case 2:
        for (int i = 0; i < 4; ++i) add("freeze", at + i * 0.4, kFreezeDuration);
        return;
      case 3:
        for (int i = 1 + UniformBelow(4); i > 0; --i) add("reload", at + i * 0.1, 0);
        return;
      default:
        for (int i = 0; i < 3; ++i) add("reload", at + i * 0.05, 0);
        add("stop", at + 0.2, 0.1);
        for (int i = 0; i < 3; ++i) add("reload", at + 0.3 + i * 0.2, 0);
    }
  }

  void AddRelayStop(json& faults) {
    const int first = UniformBelow(relays_);
    faults.push_back({{"kind", "stop"},
                      {"relay", first},
                      {"through", OneIn(2) ? first : first + UniformBelow(relays_ - first)},
                      {"at_s", RandomTime()},
                      {"down_s", UniformRounded(0.05, 1)}});
  }

  // A series of signals to one relay, some of them while it is stopping, recovering or has just started.
  void AddSignalSeries(json& faults) {
    const int relay = UniformBelow(relays_);
    const double at = RandomTime();
    const auto add = [&](const char* kind, double when, double down) {
      faults.push_back({{"kind", kind}, {"relay", relay}, {"at_s", when}, {"down_s", down}});
    };
    const double down = UniformRounded(0.05, 0.6);
    switch (UniformBelow(6)) {
      case 0:  // a second SIGTERM while it is stopping
        add("stop", at, down);
        return add("stop", at + UniformRounded(0.05, 2), down);
      case 1:  // SIGHUP and SIGTERM 10 ms apart, and SIGHUP while it is stopping
        add("reload", at, 0);
        add("stop", at + 0.01, down);
        return add("reload", at + UniformRounded(0.05, 1), 0);
      case 2:  // SIGSTOP and SIGCONT while it is stopping
        add("stop", at, down);
        return add("freeze", at + UniformRounded(0, 0.6), kFreezeDuration);
      case 3:  // SIGKILL while it is stopping
        add("stop", at, down);
        return add("kill", at + UniformRounded(0.05, 1), down);
      case 4:  // SIGKILL shortly after the start, and while it recovers its requests
        for (int i = 0; i < 3; ++i) add("kill", at + i * (down + UniformRounded(0.02, 0.2)), down);
        return;
      default:
        for (int i = 0; i < 3; ++i) add("kill_after_accept", at + i * (down + 0.5), down);
    }
  }

  // Idle clients that use up a relay's connections as it stops, and those of the next process as it starts.
  void AddConnectionFlood(json& scenario) {
    const int relay = UniformBelow(relays_);
    const double at = UniformRounded(kFaultFreeStart, kArrivalDuration / 2), down = UniformRounded(0.05, 0.6);
    const auto add = [&](double when) {
      scenario["rude_clients"].push_back(
          {{"kind", "idle"}, {"relay", relay}, {"count", kConnectionFlood}, {"at_s", when}});
    };
    add(std::max(0.0, at - UniformRounded(0, 1)));
    scenario["relay_faults"].push_back({{"kind", "stop"}, {"relay", relay}, {"at_s", at}, {"down_s", down}});
    add(at + kKillGracePeriod + down + UniformRounded(0.02, 0.5));
  }

  json UnreachablePlatform() {
    json fault = RandomListFault();
    fault["kind"] = "unreachable";
    return fault;
  }

  // A few clients that stop in the middle of a request or stay idle, or a flood of idle ones.
  json RandomStalledClients() {
    const char* const kinds[] = {"idle", "half_head", "half_body"};
    const int kind = UniformBelow(3);
    return {{"kind", kinds[kind]},
            {"relay", UniformBelow(relays_)},
            {"count", kind == 0 && OneIn(2) ? kConnectionFlood : 1 + UniformBelow(20)},
            {"at_s", RandomTime()}};
  }

  json RandomListFault() {
    const char* const kinds[] = {"busy", "refuse", "reset", "silent", "old", "cut_line"};
    const int first = UniformBelow(relays_);
    return {{"kind", PickOne(kinds)},
            {"first", first},
            {"last", first + UniformBelow(relays_ - first)},
            {"from_s", UniformRounded(kFaultFreeStart, kArrivalDuration / 2)},
            {"lasts_s", UniformRounded(0.1, 4)}};
  }

  json RandomLinkCut() {
    const int first = UniformBelow(relays_);
    json cut = {{"what", OneIn(2) ? "discovery" : "endpoints"},
                {"first", first},
                {"last", first + UniformBelow(relays_ - first)},
                {"from_s", RandomTime()},
                {"lasts_s", UniformRounded(0.5, 4)}};
    if (cut["what"] == "endpoints") cut["zone"] = UniformBelow(kZones);
    return cut;
  }

  const int relays_;
};

class FaultPlanGenerator : private RandomSource {
 public:
  FaultPlanGenerator(std::uint64_t seed, int relay, int start)
      : RandomSource(
            seed, 52 + 2 * (static_cast<std::uint64_t>(relay) * 1000 + static_cast<std::uint64_t>(start))) {}

  faults::Plan Generate(const std::string& state_folder) {
    faults::Plan plan;
    plan.seed = random_();
    plan.state_folder = state_folder;
    AddInterruptions(plan);
    for (int i = UniformBelow(5); i > 0; --i) plan.episodes.push_back(RandomSocketEpisode());
    for (int i = UniformBelow(3); i > 0; --i) plan.episodes.push_back(RandomFileEpisode());
    if (OneIn(2))
      plan.episodes.push_back(
          RandomEpisode(faults::SystemCall::kFileRead, EIO, {0, 0.01}, 0.3));  // at the start
    for (int i = UniformBelow(3); i > 0; --i) plan.clock_steps.push_back(RandomClockStep());
    return plan;
  }

 private:
  using SystemCall = faults::SystemCall;

  // Interrupted waits and short reads and writes occur throughout the life of every process.
  void AddInterruptions(faults::Plan& plan) {
    const double forever = 1e9;
    const double probability = UniformRounded(0, 0.1);
    plan.episodes.push_back({SystemCall::kWait, EINTR, 0, forever, probability, 0});
    plan.episodes.push_back({SystemCall::kSocketRead, EINTR, 0, forever, probability, 0});
    plan.episodes.push_back({SystemCall::kSocketRead, 0, 0, forever, probability,
                             1 + static_cast<std::uint64_t>(UniformBelow(64))});
    plan.episodes.push_back({SystemCall::kSocketWrite, EINTR, 0, forever, probability, 0});
    plan.episodes.push_back({SystemCall::kSocketWrite, 0, 0, forever, probability,
                             1 + static_cast<std::uint64_t>(UniformBelow(64))});
    plan.episodes.push_back({SystemCall::kConnect, EINTR, 0, forever, probability, 0});
    plan.episodes.push_back({SystemCall::kAccept, ECONNABORTED, 0, forever, probability, 0});
  }

  faults::Episode RandomEpisode(SystemCall call, int error, const Range& from, double duration) {
    const double begin = DrawFrom(from, random_);
    // If every call failed for long, no relay could send anything in time, whatever it does.
    const double probability = duration < kMaxTotalFailure && OneIn(2) ? 1 : UniformRounded(0.2, 0.8);
    return {call, error, begin, begin + duration, probability, 0};
  }

  // Errors documented in accept(2), socket(2), connect(2), tcp(7) and send(2).
  faults::Episode RandomSocketEpisode() {
    static constexpr std::pair<SystemCall, int> kErrors[] = {{SystemCall::kAccept, ENFILE},
                                                             {SystemCall::kAccept, EMFILE},
                                                             {SystemCall::kAccept, ENOBUFS},
                                                             {SystemCall::kAccept, ENETUNREACH},
                                                             {SystemCall::kSocket, ENFILE},
                                                             {SystemCall::kSocket, ENOBUFS},
                                                             {SystemCall::kSocket, EMFILE},
                                                             {SystemCall::kConnect, EADDRNOTAVAIL},
                                                             {SystemCall::kConnect, ENETUNREACH},
                                                             {SystemCall::kConnect, ENOBUFS},
                                                             {SystemCall::kSocketWrite, ENOBUFS},
                                                             {SystemCall::kSocketWrite, ENOMEM},
                                                             {SystemCall::kSocketRead, ENOMEM},
                                                             {SystemCall::kSocketWrite, ETIMEDOUT},
                                                             {SystemCall::kSocketWrite, EHOSTUNREACH},
                                                             {SystemCall::kSocketRead, ETIMEDOUT},
                                                             {SystemCall::kSocketRead, EHOSTUNREACH},
                                                             {SystemCall::kSendDatagram, ENOBUFS}};
    const auto [call, error] = PickOne(kErrors);
    const bool breaks_connection = error == ETIMEDOUT || error == EHOSTUNREACH;
    faults::Episode episode = RandomEpisode(call, error, {0.5, kArrivalDuration},
                                            breaks_connection ? 0.05 : UniformRounded(0.02, 1));
    if (breaks_connection) episode.probability = 0.1;  // breaks some of the connections, not all
    return episode;
  }

  faults::Episode RandomFileEpisode() {
    static constexpr std::pair<SystemCall, int> kErrors[] = {
        {SystemCall::kFileWrite, ENOSPC}, {SystemCall::kFileWrite, EIO},    {SystemCall::kFileWrite, 0},
        {SystemCall::kFileTruncate, EIO}, {SystemCall::kFileOpen, ENFILE},  {SystemCall::kFileOpen, ENOSPC},
        {SystemCall::kFileRename, EIO},   {SystemCall::kFileRename, ENOSPC}};
    const auto [call, error] = PickOne(kErrors);
    faults::Episode episode = RandomEpisode(call, error, {0, kArrivalDuration}, UniformRounded(0.02, 0.6));
    episode.max_bytes = static_cast<std::uint64_t>(UniformBelow(40));
    return episode;
  }

  faults::ClockStep RandomClockStep() {
    static constexpr double kShifts[] = {-3600, -10, -1, 1, 10, 3600};
    return {OneIn(2) ? 0 : UniformRounded(0, kArrivalDuration), PickOne(kShifts)};
  }
};

}  // namespace

json GenerateSoakScenario(std::uint64_t seed) { return ScenarioGenerator(seed).Generate(seed); }

faults::Plan GenerateFaultPlan(std::uint64_t seed, int relay, int start, const std::string& state_folder) {
  return FaultPlanGenerator(seed, relay, start).Generate(state_folder);
}

RunResult RunSoak(std::uint64_t seed, const SoakOptions& options) {
  SocketOptions sockets;
  sockets.program = options.program;
  sockets.relay_arguments = {"--log-level", "debug"};
  sockets.folder = options.folder;
  sockets.clients_use_stopping_relays = true;
  // The auditor's tolerances are wider than these.
  sockets.max_lateness_p99 = 0.1;
  sockets.max_lateness = 0.3;
  sockets.requests_read_file = kRequestsRead;
  auto starts = std::make_shared<std::map<int, int>>();
  if (!options.fault_library.empty())
    sockets.variables = [seed, starts, library = options.fault_library](int relay,
                                                                        const std::string& state_folder) {
      faults::Plan plan = GenerateFaultPlan(seed, relay, (*starts)[relay]++, state_folder);
      plan.requests_read = std::filesystem::path(state_folder).replace_filename(kRequestsRead);
      return std::map<std::string, std::string>{{"LD_PRELOAD", library},
                                                {faults::kPlanVariable, plan.Serialize()}};
    };
  return RunOnSockets(ReadScenario(GenerateSoakScenario(seed)), seed, sockets);
}

}  // namespace opalroute::lab
