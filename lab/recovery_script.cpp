#include "lab/recovery_script.h"

#include <algorithm>
#include <string>

#include "lab/random_source.h"

namespace opalroute::lab {

namespace {

using nlohmann::json;

constexpr double kDuration = 60;      // seconds of arrivals
constexpr double kOutageStart = 15;   // seconds
constexpr double kMaxOutage = 25;     // seconds; a whole slow start fits in after it
constexpr double kSlowStart = 13;     // seconds
constexpr double kRestartTime = 0.6;  // seconds from SIGKILL to the next process
constexpr double kMaxRate = 240;      // requests a second of the whole fleet
constexpr double kOutageShare = 0.3;  // of the load
constexpr double kSeparateRoutes = 0.33;

class RecoveryScriptGenerator : private RandomSource {
 public:
  explicit RecoveryScriptGenerator(std::uint64_t seed) : RandomSource(seed, 43), relays_(DrawRelays()) {}

  json Draw(std::uint64_t seed) {
    const double outage = OneIn(4) ? UniformRounded(0.5, 2) : UniformRounded(2, kMaxOutage);
    outage_end_ = kOutageStart + outage;
    json s = {{"name", "recovery" + std::to_string(seed)},
              {"relays", relays_},
              {"lasts_s", kDuration},
              {"notes", !OneIn(3)},
              {"load", {{"rate", UniformRounded(30, kMaxRate)}, {"clump_share", UniformBelow(3) * 0.1}}},
              {"partners", DrawPartners()},
              {"settings", DrawSettings()}};
    if (OneIn(3)) s["links"] = {{"loss", 0.1 + UniformBelow(4) * 0.2}, {"reorder", UniformBelow(2) * 0.2}};
    s["troubles"].push_back(DrawOutage(kOutageStart, outage));
    if (OneIn(5))
      s["troubles"].push_back(
          DrawOutage(outage_end_ + UniformRounded(0.5, kSlowStart), UniformRounded(0.5, 4)));
    if (!OneIn(3)) AddRestarts(s["relay_faults"]);
    if (OneIn(5))
      s["pool_changes"].push_back({{"kind", OneIn(2) ? "drain" : "replace"},
                                   {"at_s", UniformRounded(kOutageStart, outage_end_ + kSlowStart)},
                                   {"share", UniformRounded(0.1, 0.4)}});
    return s;
  }

 private:
  int DrawRelays() {
    const int sizes[] = {1, 2, 3, 8, 9, 20, 41, 41, 41, 100, 300};
    return PickOne(sizes);
  }

  json DrawPartners() {
    json p = {{"count", 4 + UniformBelow(12)},
              {"apart", OneIn(3) ? 1.0 : kSeparateRoutes},
              {"bundle", OneIn(3) ? 1 : 5},
              {"refused_count", OneIn(2)}};
    if (OneIn(4)) p["headroom"] = {4, 12};  // limits far above the load
    if (OneIn(6)) p["headroom"] = {0, 0};   // no limit
    if (OneIn(4)) p["least_limit"] = UniformRounded(0.3, 2);
    if (OneIn(4)) p["connections"] = {4, 20};
    return p;
  }

  json DrawSettings() {
    const char* const ratings[] = {"none", "exact", "rough", "rough"};
    return {{"rating", PickOne(ratings)}, {"may_probe", !OneIn(4)}, {"may_copy", !OneIn(4)}};
  }

  json DrawOutage(double from, double duration) {
    const char* const kinds[] = {"shut", "refuse", "hang", "hang", "reset", "errors", "spoilt", "vanish"};
    return {{"kind", PickOne(kinds)}, {"share", kOutageShare}, {"from_s", from}, {"lasts_s", duration}};
  }

  // Restarts shortly before the return, at any time of the outage, or within the slow start.
  double DrawRestartTime() {
    const double before = std::max(kOutageStart, outage_end_ - 4);
    if (OneIn(2)) return UniformRounded(before, std::max(before + 0.01, outage_end_ - kRestartTime));
    if (OneIn(2)) return UniformRounded(kOutageStart, outage_end_);
    return UniformRounded(outage_end_, outage_end_ + kSlowStart);
  }

  void AddRestarts(json& faults) {
    const double at = DrawRestartTime();
    const auto add = [&](const char* kind, int first, int last, double when) {
      faults.push_back(
          {{"kind", kind}, {"relay", first}, {"through", last}, {"at_s", when}, {"down_s", kRestartTime}});
    };
    const int one = UniformBelow(relays_);
    switch (UniformBelow(6)) {
      case 0:  // one relay
        return add("kill", one, one, at);
      case 1:  // one in eight
        for (int relay = one % 8; relay < relays_; relay += 8) add("kill", relay, relay, at);
        return;
      case 2:
      case 3:
        return add("kill", 0, relays_ - 1, at);
      case 4:
        return add("stop", 0, relays_ - 1, std::max(1.0, at - 4));
      default: {  // all in turn, a tenth at a time
        const int step = std::max(1, relays_ / 10);
        for (int first = 0, i = 0; first < relays_; first += step, ++i)
          add("kill", first, std::min(relays_ - 1, first + step - 1), at + i);
      }
    }
  }

  const int relays_;
  double outage_end_ = 0;
};

}  // namespace

json DrawRecoveryScript(std::uint64_t seed) { return RecoveryScriptGenerator(seed).Draw(seed); }

}  // namespace opalroute::lab
