#include "lab/script.h"

#include <string>

#include "lab/drawer.h"

namespace opalroute::lab {

namespace {

using nlohmann::json;

constexpr double kLasts = 20;  // seconds of arrivals
constexpr int kZones = 3;

class ScriptDrawer : private Drawer {
 public:
  explicit ScriptDrawer(std::uint64_t seed) : Drawer(seed, 41), relays_(2 + Below(13)) {}

  json Script(std::uint64_t seed) {
    json s = {{"name", "script" + std::to_string(seed)},
              {"relays", relays_},
              {"zones", kZones},
              {"lasts_s", kLasts},
              {"notes", true},
              {"tier", true},
              {"leave", true},
              {"load", {{"rate", Rounded(5, 60)}}},
              {"classes", Classes()},
              {"partners", Partners()},
              {"settings", {{"ramp_s", Rounded(1, 8)}, {"most_tries", 2 + Below(11)}}},
              {"links", Links()}};
    if (OneIn(3)) s["load"]["bursts"] = {{{"from_s", Moment()}, {"lasts_s", 4}, {"times", 1 + Below(3)}}};
    Some(3, [&] { s["troubles"].push_back(TroubleOf()); });
    Some(4, [&] { s["relay_faults"].push_back(Fault()); });
    Some(2, [&] {
      s["pool_changes"].push_back(
          {{"kind", OneIn(2) ? "drain" : "replace"}, {"at_s", Moment()}, {"share", Rounded(0.1, 0.5)}});
    });
    Some(2, [&] {
      const char* const orders[] = {"leave", "keep", "none"};
      s["zone_orders"].push_back({{"order", orders[Below(3)]},
                                  {"zone", Below(kZones)},
                                  {"relay", Below(relays_)},
                                  {"at_s", Moment()},
                                  {"lasts_s", Rounded(1, 8)}});
    });
    return s;
  }

 private:
  double Moment() { return Rounded(1, kLasts - 3); }
  template <typename Do>
  void Some(int most, const Do& what) {
    for (int i = Below(most + 1); i > 0; --i) what();
  }

  json Classes() {
    const json keyed = {{"name", "keyed"},
                        {"effect", "deduplicated"},
                        {"key_window_s", Rounded(1, 12)},
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

  json Partners() {
    json p = {{"count", 2 + Below(7)},
              {"endpoints", {1 + Below(2), 3 + Below(3)}},
              {"apart", Below(3) * 0.5},
              {"bundle", OneIn(2) ? 5 : 1},
              {"refused_count", OneIn(2)}};
    if (OneIn(3)) p["connections"] = {2 + Below(4), 8};
    if (OneIn(3)) p["latency_s"] = {0.3, 1.5};
    return p;
  }

  json Links() {
    json links = {{"loss", Below(4) * 0.2}, {"duplicate", Below(2) * 0.1}, {"reorder", Below(2) * 0.2}};
    Some(3, [&] {
      const char* const whats[] = {"peers", "endpoints", "discovery"};
      const char* const ways[] = {"both", "out", "in"};
      const int first = Below(relays_);
      json cut = {{"what", whats[Below(3)]},
                  {"first", first},
                  {"last", first + Below(relays_ - first)},
                  {"from_s", Moment()},
                  {"lasts_s", Rounded(0.5, 10)}};
      if (cut["what"] == "peers") cut["way"] = ways[Below(3)];
      if (cut["what"] == "endpoints" && OneIn(2)) cut["zone"] = Below(kZones);
      if (OneIn(3)) cut.update({{"on_s", 0.3}, {"off_s", Rounded(0.2, 3)}});
      links["cuts"].push_back(cut);
    });
    return links;
  }

  json TroubleOf() {
    const char* const kinds[] = {"shut", "refuse", "hang", "reset", "errors", "slow", "spoilt", "vanish"};
    json trouble = {{"kind", kinds[Below(8)]},
                    {"share", OneIn(2) ? 1.0 : Rounded(0.2, 1)},
                    {"from_s", Moment()},
                    {"lasts_s", Rounded(0.3, 8)}};
    if (!OneIn(3)) trouble["zone"] = Below(kZones);
    if (OneIn(3)) trouble["chance"] = Rounded(0.1, 1);
    if (trouble["kind"] == "slow") trouble["factor"] = 2 + Below(10);
    return trouble;
  }

  json Fault() {
    const char* const kinds[] = {"kill", "stop", "freeze"};
    const int first = Below(relays_);
    return {{"kind", kinds[Below(3)]}, {"relay", first},   {"through", first + Below(relays_ - first)},
            {"forgets", OneIn(4)},     {"at_s", Moment()}, {"down_s", Rounded(0.1, 6)}};
  }

  const int relays_;
};

}  // namespace

json DrawScript(std::uint64_t seed) { return ScriptDrawer(seed).Script(seed); }

}  // namespace opalroute::lab
