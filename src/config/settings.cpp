#include "config/settings.h"

#include <string>

#include "config/fields.h"

namespace opalroute::config {

using nlohmann::json;

namespace {

const Words<Idempotency> kEffects = {{"idempotent", Idempotency::kIdempotent},
                                     {"deduplicated", Idempotency::kIdempotencyKey},
                                     {"at_most_once", Idempotency::kNonIdempotent}};
const Words<DeduplicationScope> kGroups = {{"all", DeduplicationScope::kAll},
                                           {"cell", DeduplicationScope::kDestination},
                                           {"zone", DeduplicationScope::kZone}};
const Words<LateDecay> kLate = {{"even", LateDecay::kLinear}, {"by_half", LateDecay::kHalving}};
const Words<ListedRateAccuracy> kRatings = {{"none", ListedRateAccuracy::kNone},
                                            {"nominal", ListedRateAccuracy::kExact},
                                            {"rough", ListedRateAccuracy::kRough}};
const Words<bool> kDiscovery = {{"push", false}, {"ask", true}};

RequestClass ParseClass(const json& item) {
  RequestClass result;
  result.idempotency = Word(kEffects, item, "effect");
  result.deduplication_scope =
      Find(item, "group") != nullptr ? Word(kGroups, item, "group") : DeduplicationScope::kZone;
  result.deduplication_window = GetOr(item, "keyTtlS", 0.0);
  result.latency_objective = Get<double>(item, "aimS");
  result.deadline = Get<double>(item, "deadlineS");
  result.weight_at_deadline = GetOr(item, "lateShare", 0.0);
  result.priority_weight = Get<double>(item, "worth");
  result.ordered_by_key = GetOr(item, "keepOrder", false);
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
  number(nullptr, options, "balancers", s.relay_count);
  number("familyInfo", info, "callsOut", s.concurrency_limit);
  number("limits", limits, "openCap", s.request_capacity);
  number("limits", limits, "mostTries", s.max_attempts);
  perhaps("limits", limits, "cancel", s.may_cancel);
  perhaps("limits", limits, "secondCopies", s.may_hedge);
  perhaps("limits", limits, "probes", s.may_health_check);
  perhaps("limits", limits, "peers", s.may_gossip);
  perhaps("limits", limits, "retryAfter", s.may_send_retry_after);
  perhaps("limits", limits, "maxRetryAfterS", s.max_retry_after);
  faults.Try([&] { s.poll_endpoint_list = Word(kDiscovery, options, "discovery"); });
  faults.Try(
      [&] { s.late_decay = Find(info, "late") != nullptr ? Word(kLate, info, "late") : LateDecay::kLinear; });
  faults.Try([&] {
    s.listed_rate_accuracy = Find(options, "weightKind") != nullptr ? Word(kRatings, options, "weightKind")
                                                                    : ListedRateAccuracy::kNone;
  });
  s.over_quota_weight = 1;
  perhaps(nullptr, options, "overShareWorth", s.over_quota_weight);
  number(nullptr, options, "tickS", s.tick);
  perhaps("rules", rules, "askWithinS", s.max_poll_interval);
  perhaps("rules", rules, "drainGraceS", s.drain_grace);
  number("rules", rules, "overloadForS", s.overload_window);
  number("rules", rules, "overloadFactor", s.overload_factor);
  number("rules", rules, "coldFrom", s.slow_start_initial_share);
  number("rules", rules, "rampTimeS", s.slow_start_duration);
  if (Find(rules, "keyRestS") != nullptr)
    in("rules", [&] { s.ordered_key_pause = Get<double>(rules, "keyRestS"); });
  s.seed = seed;
  faults.Throw();
  return s;
}

}  // namespace opalroute::config
