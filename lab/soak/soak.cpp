#include "lab/soak/soak.h"

#include <cerrno>
#include <filesystem>
#include <map>
#include <pcg_random.hpp>
#include <utility>
#include <vector>

#include "lab/drawer.h"
#include "lab/scenario.h"
#include "lab/sockets/play.h"
#include "lab/sockets/relay_process.h"

namespace opalroute::lab {

namespace {

using nlohmann::json;

constexpr double kLasts = 12;     // seconds of arrivals
constexpr double kQuiet = 1;      // of them at the beginning without troubles
constexpr double kFrozen = 0.15;  // a relay is held up for so long at most
constexpr int kZones = 2;
constexpr int kFewRelays = 12, kManyRelays = 30;
constexpr double kAllMayFail = 0.2;  // seconds
constexpr int kCrowd = 520;          // more connections than a relay keeps
constexpr int kOneInMany = 10;       // seeds, one has many relays
constexpr int kOneInFew = 5;         // seeds, one has a crowd; one, a platform that nobody reaches
constexpr double kKillGrace = RelayProcess::kGracePeriod;
constexpr const char* kRequestsRead = "requests_read";  // file in a relay's folder

class ScenarioDrawer : private RandomSource {
 public:
  explicit ScenarioDrawer(std::uint64_t seed)
      : RandomSource(seed, 51), relays_(OneIn(kOneInMany) ? kManyRelays : 1 + UniformBelow(kFewRelays)) {}

  json Draw(std::uint64_t seed) {
    json s = {{"name", "soak" + std::to_string(seed)},
              {"relays", relays_},
              {"zones", kZones},
              {"lasts_s", kLasts},
              {"load", {{"rate", UniformRounded(20, 80)}}},
              {"classes", Classes()},
              {"partners", Partners()},
              {"list_late_s", {0, UniformRounded(0, 1)}},
              {"settings", {{"ramp_s", UniformRounded(1, 5)}, {"most_tries", 2 + UniformBelow(8)}}}};
    if (OneIn(2)) s["load"]["bursts"] = {{{"from_s", Moment()}, {"lasts_s", 2}, {"times", 3}}};
    for (int i = UniformBelow(4); i > 0; --i) s["troubles"].push_back(TroubleOf());
    for (int i = 1 + UniformBelow(4); i > 0; --i) AddFaults(s["relay_faults"]);
    // One at least is early, so that calls go on long after it.
    for (int i = 1 + UniformBelow(2); i > 0; --i)
      s["pool_changes"].push_back({{"kind", OneIn(2) ? "drain" : "replace"},
                                   {"at_s", i == 1 ? UniformRounded(kQuiet, 3) : Moment()},
                                   {"share", UniformRounded(0.1, 0.5)}});
    for (int i = UniformBelow(4); i > 0; --i) s["rude_clients"].push_back(RudeClientsOf());
    for (int i = UniformBelow(4); i > 0; --i) s["list_faults"].push_back(ListFaultOf());
    for (int i = UniformBelow(3); i > 0; --i) s["links"]["cuts"].push_back(CutOf());
    // Drawn last: what comes before is as it was for seeds that stand in pages and messages.
    for (int i = UniformBelow(3); i > 0; --i) AddStop(s["relay_faults"]);
    if (OneIn(2)) AddSignalSeries(s["relay_faults"]);
    if (OneIn(kOneInFew)) AddCrowd(s);
    if (OneIn(kOneInFew)) s["list_faults"].push_back(UnreachableOf());
    return s;
  }

 private:
  double Moment() { return UniformRounded(kQuiet, kLasts - 2); }

  json Classes() {
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

  json Partners() {
    json p = {{"count", 2 + UniformBelow(5)},
              {"endpoints", {1 + UniformBelow(2), 3 + UniformBelow(2)}},
              {"apart", UniformBelow(3) * 0.5},
              {"bundle", OneIn(2) ? 5 : 1}};
    if (OneIn(3)) p["connections"] = {2 + UniformBelow(4), 8};
    if (OneIn(3)) p["latency_s"] = {0.3, 1};
    return p;
  }

  json TroubleOf() {
    const char* const kinds[] = {"shut", "refuse", "hang", "reset", "errors", "slow", "spoilt", "vanish"};
    json trouble = {{"kind", PickOne(kinds)},
                    {"share", OneIn(2) ? 1.0 : UniformRounded(0.2, 1)},
                    {"from_s", Moment()},
                    {"lasts_s", UniformRounded(0.3, 4)}};
    if (OneIn(2)) trouble["zone"] = UniformBelow(kZones);
    if (OneIn(3)) trouble["chance"] = UniformRounded(0.1, 1);
    if (trouble["kind"] == "slow") trouble["factor"] = 2 + UniformBelow(6);
    return trouble;
  }

  // One fault, or several signals in series.
  void AddFaults(json& faults) {
    const int first = UniformBelow(relays_), last = OneIn(2) ? first : first + UniformBelow(relays_ - first);
    const double at = Moment();
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
        for (int i = 0; i < 4; ++i) add("freeze", at + i * 0.4, kFrozen);
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

  void AddStop(json& faults) {
    const int first = UniformBelow(relays_);
    faults.push_back({{"kind", "stop"},
                      {"relay", first},
                      {"through", OneIn(2) ? first : first + UniformBelow(relays_ - first)},
                      {"at_s", Moment()},
                      {"down_s", UniformRounded(0.05, 1)}});
  }

  // Signals in series to one relay, some of them while it stops, recovers or has just started.
  void AddSignalSeries(json& faults) {
    const int relay = UniformBelow(relays_);
    const double at = Moment();
    const auto add = [&](const char* kind, double when, double down) {
      faults.push_back({{"kind", kind}, {"relay", relay}, {"at_s", when}, {"down_s", down}});
    };
    const double down = UniformRounded(0.05, 0.6);
    switch (UniformBelow(6)) {
      case 0:  // SIGTERM again while it stops
        add("stop", at, down);
        return add("stop", at + UniformRounded(0.05, 2), down);
      case 1:  // SIGHUP and SIGTERM at once, and SIGHUP while it stops
        add("reload", at, 0);
        add("stop", at + 0.01, down);
        return add("reload", at + UniformRounded(0.05, 1), 0);
      case 2:  // SIGSTOP and SIGCONT while it stops
        add("stop", at, down);
        return add("freeze", at + UniformRounded(0, 0.6), kFrozen);
      case 3:  // SIGKILL while it stops
        add("stop", at, down);
        return add("kill", at + UniformRounded(0.05, 1), down);
      case 4:  // SIGKILL a few milliseconds after the start, and while it recovers what it held
        for (int i = 0; i < 3; ++i) add("kill", at + i * (down + UniformRounded(0.02, 0.2)), down);
        return;
      default:
        for (int i = 0; i < 3; ++i) add("kill_after_accept", at + i * (down + 0.5), down);
    }
  }

  // Idle clients that fill a relay's table while it stops, and the next process's as it starts.
  void AddCrowd(json& scenario) {
    const int relay = UniformBelow(relays_);
    const double at = UniformRounded(kQuiet, kLasts / 2), down = UniformRounded(0.05, 0.6);
    const auto add = [&](double when) {
      scenario["rude_clients"].push_back(
          {{"kind", "idle"}, {"relay", relay}, {"count", kCrowd}, {"at_s", when}});
    };
    add(std::max(0.0, at - UniformRounded(0, 1)));
    scenario["relay_faults"].push_back({{"kind", "stop"}, {"relay", relay}, {"at_s", at}, {"down_s", down}});
    add(at + kKillGrace + down + UniformRounded(0.02, 0.5));
  }

  json UnreachableOf() {
    json fault = ListFaultOf();
    fault["kind"] = "unreachable";
    return fault;
  }

  // Few that stop in a request, or a crowd that says nothing.
  json RudeClientsOf() {
    const char* const kinds[] = {"idle", "half_head", "half_body"};
    const int kind = UniformBelow(3);
    return {{"kind", kinds[kind]},
            {"relay", UniformBelow(relays_)},
            {"count", kind == 0 && OneIn(2) ? kCrowd : 1 + UniformBelow(20)},
            {"at_s", Moment()}};
  }

  json ListFaultOf() {
    const char* const kinds[] = {"busy", "refuse", "reset", "silent", "old", "cut_line"};
    const int first = UniformBelow(relays_);
    return {{"kind", PickOne(kinds)},
            {"first", first},
            {"last", first + UniformBelow(relays_ - first)},
            {"from_s", UniformRounded(kQuiet, kLasts / 2)},
            {"lasts_s", UniformRounded(0.1, 4)}};
  }

  json CutOf() {
    const int first = UniformBelow(relays_);
    json cut = {{"what", OneIn(2) ? "discovery" : "endpoints"},
                {"first", first},
                {"last", first + UniformBelow(relays_ - first)},
                {"from_s", Moment()},
                {"lasts_s", UniformRounded(0.5, 4)}};
    if (cut["what"] == "endpoints") cut["zone"] = UniformBelow(kZones);
    return cut;
  }

  const int relays_;
};

class FaultDrawer : private RandomSource {
 public:
  FaultDrawer(std::uint64_t seed, int relay, int start)
      : RandomSource(
            seed, 52 + 2 * (static_cast<std::uint64_t>(relay) * 1000 + static_cast<std::uint64_t>(start))) {}

  faults::Plan Draw(const std::string& state_folder) {
    faults::Plan plan;
    plan.seed = random_();
    plan.folder = state_folder;
    AddInterruptions(plan);
    for (int i = UniformBelow(5); i > 0; --i) plan.episodes.push_back(SocketEpisode());
    for (int i = UniformBelow(3); i > 0; --i) plan.episodes.push_back(FileEpisode());
    if (OneIn(2))
      plan.episodes.push_back(EpisodeOf(faults::Call::kLoad, EIO, {0, 0.01}, 0.3));  // at the start
    for (int i = UniformBelow(3); i > 0; --i) plan.steps.push_back(StepOf());
    return plan;
  }

 private:
  using Call = faults::Call;

  // Interrupted waits and short reads and writes are part of every process's life.
  void AddInterruptions(faults::Plan& plan) {
    const double ever = 1e9;
    const double chance = UniformRounded(0, 0.1);
    plan.episodes.push_back({Call::kWait, EINTR, 0, ever, chance, 0});
    plan.episodes.push_back({Call::kRead, EINTR, 0, ever, chance, 0});
    plan.episodes.push_back(
        {Call::kRead, 0, 0, ever, chance, 1 + static_cast<std::uint64_t>(UniformBelow(64))});
    plan.episodes.push_back({Call::kWrite, EINTR, 0, ever, chance, 0});
    plan.episodes.push_back(
        {Call::kWrite, 0, 0, ever, chance, 1 + static_cast<std::uint64_t>(UniformBelow(64))});
    plan.episodes.push_back({Call::kConnect, EINTR, 0, ever, chance, 0});
    plan.episodes.push_back({Call::kAccept, ECONNABORTED, 0, ever, chance, 0});
  }

  faults::Episode EpisodeOf(Call call, int error, const Range& from, double lasts) {
    const double begins = DrawFrom(from, random_);
    // Were each call to fail for long, nothing could leave in time whatever a relay does.
    const double chance = lasts < kAllMayFail && OneIn(2) ? 1 : UniformRounded(0.2, 0.8);
    return {call, error, begins, begins + lasts, chance, 0};
  }

  // (accept(2), socket(2), connect(2), tcp(7), send(2))
  faults::Episode SocketEpisode() {
    static constexpr std::pair<Call, int> kErrors[] = {
        {Call::kAccept, ENFILE},      {Call::kAccept, EMFILE},         {Call::kAccept, ENOBUFS},
        {Call::kAccept, ENETUNREACH}, {Call::kSocket, ENFILE},         {Call::kSocket, ENOBUFS},
        {Call::kSocket, EMFILE},      {Call::kConnect, EADDRNOTAVAIL}, {Call::kConnect, ENETUNREACH},
        {Call::kConnect, ENOBUFS},    {Call::kWrite, ENOBUFS},         {Call::kWrite, ENOMEM},
        {Call::kRead, ENOMEM},        {Call::kWrite, ETIMEDOUT},       {Call::kWrite, EHOSTUNREACH},
        {Call::kRead, ETIMEDOUT},     {Call::kRead, EHOSTUNREACH},     {Call::kSend, ENOBUFS}};
    const auto [call, error] = PickOne(kErrors);
    const bool breaks = error == ETIMEDOUT || error == EHOSTUNREACH;
    faults::Episode episode = EpisodeOf(call, error, {0.5, kLasts}, breaks ? 0.05 : UniformRounded(0.02, 1));
    if (breaks) episode.chance = 0.1;  // of several connections, some
    return episode;
  }

  faults::Episode FileEpisode() {
    static constexpr std::pair<Call, int> kErrors[] = {
        {Call::kStore, ENOSPC}, {Call::kStore, EIO},   {Call::kStore, 0},    {Call::kCut, EIO},
        {Call::kOpen, ENFILE},  {Call::kOpen, ENOSPC}, {Call::kRename, EIO}, {Call::kRename, ENOSPC}};
    const auto [call, error] = PickOne(kErrors);
    faults::Episode episode = EpisodeOf(call, error, {0, kLasts}, UniformRounded(0.02, 0.6));
    episode.bytes = static_cast<std::uint64_t>(UniformBelow(40));
    return episode;
  }

  faults::ClockStep StepOf() {
    static constexpr double kSteps[] = {-3600, -10, -1, 1, 10, 3600};
    return {OneIn(2) ? 0 : UniformRounded(0, kLasts), PickOne(kSteps)};
  }
};

}  // namespace

json DrawSoakScenario(std::uint64_t seed) { return ScenarioDrawer(seed).Draw(seed); }

faults::Plan DrawFaults(std::uint64_t seed, int relay, int start, const std::string& state_folder) {
  return FaultDrawer(seed, relay, start).Draw(state_folder);
}

RunResult PlaySoak(std::uint64_t seed, const SoakOptions& options) {
  SocketOptions play;
  play.program = options.program;
  play.relay_arguments = {"--log-level", "debug"};
  play.folder = options.folder;
  play.clients_use_stopping_relays = true;
  // Bounds of the auditor are wider than that.
  play.max_lateness_p99 = 0.1;
  play.max_lateness = 0.3;
  play.requests_read_file = kRequestsRead;
  auto starts = std::make_shared<std::map<int, int>>();
  if (!options.library.empty())
    play.variables = [seed, starts, library = options.library](int relay, const std::string& state_folder) {
      faults::Plan plan = DrawFaults(seed, relay, (*starts)[relay]++, state_folder);
      plan.requests_read = std::filesystem::path(state_folder).replace_filename(kRequestsRead);
      return std::map<std::string, std::string>{{"LD_PRELOAD", library},
                                                {faults::kPlanVariable, plan.Write()}};
    };
  return RunOnSockets(ReadScenario(DrawSoakScenario(seed)), seed, play);
}

}  // namespace opalroute::lab
