#include "config/settings.h"

#include <string>

#include "config/fields.h"

namespace opalroute::config {

using nlohmann::json;

namespace {

const Words<Effect> kEffects = {
    {"idempotent", Effect::kSafe}, {"deduplicated", Effect::kKeyed}, {"at_most_once", Effect::kUnsafe}};
const Words<KeyGroup> kGroups = {
    {"all", KeyGroup::kAll}, {"cell", KeyGroup::kDestination}, {"zone", KeyGroup::kZone}};
const Words<LateWorth> kLate = {{"even", LateWorth::kEven}, {"by_half", LateWorth::kHalving}};
const Words<RatingMeaning> kRatings = {
    {"none", RatingMeaning::kNone}, {"nominal", RatingMeaning::kExact}, {"rough", RatingMeaning::kRough}};
const Words<bool> kDiscovery = {{"push", false}, {"ask", true}};

MessageClass ParseClass(const json& item) {
  MessageClass result;
  result.effect = Word(kEffects, item, "effect");
  result.group = Find(item, "group") != nullptr ? Word(kGroups, item, "group") : KeyGroup::kZone;
  result.key_window = GetOr(item, "keyTtlS", 0.0);
  result.aim = Get<double>(item, "aimS");
  result.deadline = Get<double>(item, "deadlineS");
  result.late_share = GetOr(item, "lateShare", 0.0);
  result.worth = Get<double>(item, "worth");
  result.in_order = GetOr(item, "keepOrder", false);
  return result;
}

template <typename T>
T At(const json& info, const char* field, std::size_t index, T absent) {
  const json* list = Find(info, field);
  if (list == nullptr || !list->is_array() || index >= list->size()) return absent;
  return As<T>((*list)[index], field);
}

}  // namespace

Settings ParseSettings(const json& options, std::uint64_t seed) {
  Settings s;
  Collector faults;
  // A part that is missing is told once, and read as an empty one.
  const auto part = [&](const char* name) {
    json found;
    faults.Try([&] {
      found = Need(options, name);
      if (!found.is_object()) throw FieldError(std::string("field '") + name + "' is no object");
    });
    return found;
  };
  const json limits = part("limits"), rules = part("rules"), info = part("familyInfo");
  const auto in = [&](const char* place, const auto& step) {
    faults.In(place == nullptr ? "" : std::string("in '") + place + "': ", step);
  };
  const auto number = [&](const char* place, const json& from, const char* field, auto& to) {
    if (from.is_null()) return;  // told already
    in(place, [&] { to = Get<std::decay_t<decltype(to)>>(from, field); });
  };
  const auto perhaps = [&](const char* place, const json& from, const char* field, auto& to) {
    in(place, [&] { to = GetOr(from, field, to); });
  };
  faults.Try([&] {
    for (const json& item : Need(options, "classes"))
      in("classes", [&] { s.classes.push_back(ParseClass(item)); });
  });
  if (const json* realms = Find(options, "realms")) {
    for (const json& item : *realms)
      in("realms", [&] { s.tenants.push_back({Get<double>(item, "allowancePerS")}); });
  }
  faults.Try([&] {
    for (std::size_t i = 0; i < NamesIn(options, "kinds", nullptr).size(); ++i)
      s.kinds.push_back({At(info, "routesApart", i, false), At(info, "bundleMax", i, 1)});
  });
  number(nullptr, options, "balancers", s.couriers);
  number("familyInfo", info, "callsOut", s.slots);
  number("limits", limits, "openCap", s.room);
  number("limits", limits, "mostTries", s.most_tries);
  perhaps("limits", limits, "cancel", s.may_cancel);
  perhaps("limits", limits, "secondCopies", s.may_copy);
  perhaps("limits", limits, "probes", s.may_probe);
  perhaps("limits", limits, "peers", s.may_tell_peers);
  perhaps("limits", limits, "retryAfter", s.may_advise_wait);
  perhaps("limits", limits, "maxRetryAfterS", s.longest_wait);
  faults.Try([&] { s.ask_for_list = Word(kDiscovery, options, "discovery"); });
  faults.Try([&] { s.late = Find(info, "late") != nullptr ? Word(kLate, info, "late") : LateWorth::kEven; });
  faults.Try([&] {
    s.rating =
        Find(options, "weightKind") != nullptr ? Word(kRatings, options, "weightKind") : RatingMeaning::kNone;
  });
  s.over_share_worth = 1;
  perhaps(nullptr, options, "overShareWorth", s.over_share_worth);
  number(nullptr, options, "tickS", s.tick);
  perhaps("rules", rules, "askWithinS", s.ask_within);
  perhaps("rules", rules, "drainGraceS", s.drain_grace);
  number("rules", rules, "overloadForS", s.overload_for);
  number("rules", rules, "overloadFactor", s.overload_factor);
  number("rules", rules, "coldFrom", s.cold_from);
  number("rules", rules, "rampTimeS", s.ramp_time);
  if (Find(rules, "keyRestS") != nullptr) in("rules", [&] { s.key_rest = Get<double>(rules, "keyRestS"); });
  s.seed = seed;
  faults.Throw();
  return s;
}

}  // namespace opalroute::config
