#include "lab/fault_script.h"

#include <string>

#include "lab/random_source.h"

namespace opalroute::lab {

namespace {

using nlohmann::json;

constexpr double kDuration = 20;  // seconds of arrivals
constexpr int kZones = 3;

class FaultScriptGenerator : private RandomSource {
 public:
  explicit FaultScriptGenerator(std::uint64_t seed) : RandomSource(seed, 41), relays_(2 + UniformBelow(13)) {}

  json Draw(std::uint64_t seed) {
    json s = {{"name", "script" + std::to_string(seed)},
              {"relays", relays_},
              {"zones", kZones},
              {"lasts_s", kDuration},
              {"notes", true},
              {"tier", true},
              {"leave", true},
              {"load", {{"rate", UniformRounded(5, 60)}}},
              {"classes", DrawClasses()},
              {"partners", DrawPartners()},
              {"settings", {{"ramp_s", UniformRounded(1, 8)}, {"most_tries", 2 + UniformBelow(11)}}},
              {"links", DrawLinks()}};
    if (OneIn(3))
      s["load"]["bursts"] = {{{"from_s", RandomTime()}, {"lasts_s", 4}, {"times", 1 + UniformBelow(3)}}};
    RepeatUpTo(3, [&] { s["troubles"].push_back(DrawPartnerFault()); });
    RepeatUpTo(4, [&] { s["relay_faults"].push_back(DrawRelayFault()); });
    RepeatUpTo(2, [&] {
      s["pool_changes"].push_back({{"kind", OneIn(2) ? "drain" : "replace"},
                                   {"at_s", RandomTime()},
                                   {"share", UniformRounded(0.1, 0.5)}});
    });
    RepeatUpTo(2, [&] {
      const char* const orders[] = {"leave", "keep", "none"};
      s["zone_orders"].push_back({{"order", orders[UniformBelow(3)]},
                                  {"zone", UniformBelow(kZones)},
                                  {"relay", UniformBelow(relays_)},
                                  {"at_s", RandomTime()},
                                  {"lasts_s", UniformRounded(1, 8)}});
    });
    return s;
  }

 private:
  double RandomTime() { return UniformRounded(1, kDuration - 3); }
  template <typename Action>
  void RepeatUpTo(int max, const Action& action) {
    for (int i = UniformBelow(max + 1); i > 0; --i) action();
  }

  json DrawClasses() {
    const json keyed = {{"name", "keyed"},
                        {"effect", "deduplicated"},
                        {"key_window_s", UniformRounded(1, 12)},
                        {"aim_s", 2},
                        {"deadline_s", 12},
                        {"worth", 1},
                        {"late_share", 0.5},
                        {"share", 0.3},
                        {"keep_order", OneIn(3)}};
    return {{{"name", "safe"},
             {"effect", "idempotent"},
             {"aim_s", 0.8},
             {"deadline_s", 8},
             {"worth", 1},
             {"late_share", 0.1},
             {"share", 0.4}},
            keyed,
            {{"name", "once"},
             {"effect", "at_most_once"},
             {"aim_s", 2},
             {"deadline_s", 10},
             {"worth", 3},
             {"late_share", 0.5},
             {"share", 0.3}}};
  }

  json DrawPartners() {
    json p = {{"count", 2 + UniformBelow(7)},
              {"endpoints", {1 + UniformBelow(2), 3 + UniformBelow(3)}},
              {"apart", UniformBelow(3) * 0.5},
              {"bundle", OneIn(2) ? 5 : 1},
              {"refused_count", OneIn(2)}};
    if (OneIn(3)) p["connections"] = {2 + UniformBelow(4), 8};
    if (OneIn(3)) p["latency_s"] = {0.3, 1.5};
    return p;
  }

  json DrawLinks() {
    json links = {{"loss", UniformBelow(4) * 0.2},
                  {"duplicate", UniformBelow(2) * 0.1},
                  {"reorder", UniformBelow(2) * 0.2}};
    RepeatUpTo(3, [&] {
      const char* const targets[] = {"peers", "endpoints", "discovery"};
      const char* const directions[] = {"both", "out", "in"};
      const int first = UniformBelow(relays_);
      json cut = {{"what", targets[UniformBelow(3)]},
                  {"first", first},
                  {"last", first + UniformBelow(relays_ - first)},
                  {"from_s", RandomTime()},
                  {"lasts_s", UniformRounded(0.5, 10)}};
      if (cut["what"] == "peers") cut["way"] = directions[UniformBelow(3)];
      if (cut["what"] == "endpoints" && OneIn(2)) cut["zone"] = UniformBelow(kZones);
      if (OneIn(3)) cut.update({{"on_s", 0.3}, {"off_s", UniformRounded(0.2, 3)}});
      links["cuts"].push_back(cut);
    });
    return links;
  }

  json DrawPartnerFault() {
    const char* const kinds[] = {"shut", "refuse", "hang", "reset", "errors", "slow", "spoilt", "vanish"};
    json fault = {{"kind", kinds[UniformBelow(8)]},
                  {"share", OneIn(2) ? 1.0 : UniformRounded(0.2, 1)},
                  {"from_s", RandomTime()},
                  {"lasts_s", UniformRounded(0.3, 8)}};
    if (!OneIn(3)) fault["zone"] = UniformBelow(kZones);
    if (OneIn(3)) fault["chance"] = UniformRounded(0.1, 1);
    if (fault["kind"] == "slow") fault["factor"] = 2 + UniformBelow(10);
    return fault;
  }

  json DrawRelayFault() {
    const char* const kinds[] = {"kill", "stop", "freeze"};
    const int first = UniformBelow(relays_);
    return {{"kind", kinds[UniformBelow(3)]},
            {"relay", first},
            {"through", first + UniformBelow(relays_ - first)},
            {"forgets", OneIn(4)},
            {"at_s", RandomTime()},
            {"down_s", UniformRounded(0.1, 6)}};
  }

  const int relays_;
};

}  // namespace

json DrawFaultScript(std::uint64_t seed) { return FaultScriptGenerator(seed).Draw(seed); }

}  // namespace opalroute::lab
