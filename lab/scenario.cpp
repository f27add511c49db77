#include "lab/scenario.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

#include "config/fields.h"

namespace opalroute::lab {

namespace {

using config::ErrorCollector;
using config::FieldError;
using nlohmann::json;

// Reads one JSON object. The destructor reports every key that was not read as an error.
class Reader {
 public:
  Reader(const json& object, std::string path, ErrorCollector& faults)
      : object_(object), path_(std::move(path)), faults_(faults) {
    if (!object_.is_object()) AddError("", "must be an object");
  }
  ~Reader() {
    if (!object_.is_object()) return;
    for (const auto& [key, value] : object_.items())
      if (read_.count(key) == 0) AddError(key, "is not known");
  }
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;

  void Number(const char* key, double& target, double min, double max) {
    const json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_number() || value->get<double>() < min || value->get<double>() > max)
      return AddError(key, "must be a number from " + json(min).dump() + " to " + json(max).dump());
    target = value->get<double>();
  }
  void Integer(const char* key, int& target, int min, int max) {
    const json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_number_integer() || value->get<double>() < min || value->get<double>() > max)
      return AddError(key,
                      "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    target = value->get<int>();
  }
  void Interval(const char* key, Range& target, double min, double max) {
    const json* value = Find(key);
    if (value == nullptr) return;
    const bool is_pair =
        value->is_array() && value->size() == 2 && (*value)[0].is_number() && (*value)[1].is_number();
    if (!is_pair || (*value)[0].get<double>() < min || (*value)[1].get<double>() > max ||
        (*value)[0].get<double>() > (*value)[1].get<double>())
      return AddError(key, "must be two numbers in ascending order, from " + json(min).dump() + " to " +
                               json(max).dump());
    target = {(*value)[0].get<double>(), (*value)[1].get<double>()};
  }
  void Boolean(const char* key, bool& target) {
    const json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_boolean()) return AddError(key, "must be true or false");
    target = value->get<bool>();
  }
  void String(const char* key, std::string& target) {
    const json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_string()) return AddError(key, "must be a string");
    target = value->get<std::string>();
  }
  template <typename T>
  void Enum(const char* key, T& target, const std::vector<std::pair<const char*, T>>& names) {
    const json* value = Find(key);
    if (value == nullptr) return AddError(key, "is missing");
    std::string all;
    for (const auto& [name, enum_value] : names) {
      if (*value == name) {
        target = enum_value;
        return;
      }
      all += (all.empty() ? "" : ", ") + std::string(name);
    }
    AddError(key, "must be one of " + all);
  }
  template <typename Read>
  void Object(const char* key, const Read& read) {
    const json* value = Find(key);
    if (value == nullptr) return;
    Reader inner(*value, PathOf(key), faults_);
    read(inner);
  }
  template <typename Read>
  void ForEach(const char* key, const Read& read) {
    const json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_array()) return AddError(key, "must be an array");
    for (std::size_t i = 0; i < value->size(); ++i) {
      Reader inner((*value)[i], PathOf(key) + "[" + std::to_string(i) + "]", faults_);
      read(inner);
    }
  }
  bool Has(const char* key) const { return object_.is_object() && object_.contains(key); }
  void AddError(const std::string& key, const std::string& message) {
    faults_.Try([&] { throw FieldError("'" + (key.empty() ? path_ : PathOf(key)) + "' " + message); });
  }
  const json* Find(const char* key) {
    read_.insert(key);
    return object_.is_object() && object_.contains(key) ? &object_[key] : nullptr;
  }

 private:
  std::string PathOf(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

  const json& object_;
  const std::string path_;
  ErrorCollector& faults_;
  std::set<std::string> read_;
};

constexpr double kDay = 86400;

Settings DefaultSettings() {
  Settings s;
  s.concurrency_limit = 0;  // 0: computed from the load in ReadScenario
  s.request_capacity = 0;
  s.max_attempts = 12;
  s.may_cancel = s.may_hedge = s.may_health_check = s.may_send_retry_after = true;
  s.listed_rate_accuracy = ListedRateAccuracy::kRough;
  s.over_quota_weight = 0.2;
  s.max_retry_after = 3;
  s.tick = 0.005;
  s.max_poll_interval = 10;
  s.overload_window = 2;
  s.overload_factor = 2;
  s.slow_start_initial_share = 0.22;
  s.slow_start_duration = 13;
  return s;
}

// The three classes that the operators use, with their shares of the messages.
std::vector<ClassPlan> DefaultClasses() {
  const auto plan = [](const char* name, Idempotency idempotency, double window, double objective,
                       double deadline, double weight_at_deadline, double weight, double share) {
    ClassPlan c;
    c.name = name;
    c.rules = {idempotency, DeduplicationScope::kAll, window, objective,
               deadline,    weight_at_deadline,       weight, false};
    c.share = share;
    return c;
  };
  return {plan("board-status", Idempotency::kIdempotent, 0, 0.8, 8, 0.1, 1, 0.55),
          plan("notice-order", Idempotency::kIdempotencyKey, 12, 2, 20, 0.5, 1, 0.26),
          plan("payment", Idempotency::kNonIdempotent, 0, 2, 16, 0.5, 3, 0.19)};
}

void ReadClasses(Reader& root, Scenario& s) {
  if (!root.Has("classes")) {
    s.classes = DefaultClasses();
    return;
  }
  root.ForEach("classes", [&](Reader& r) {
    ClassPlan c;
    c.rules = {Idempotency::kIdempotent, DeduplicationScope::kAll, 12, 1, 8, 0.5, 1, false};
    r.String("name", c.name);
    r.Number("share", c.share, 0, 1);
    r.Enum<Idempotency>("effect", c.rules.idempotency,
                        {{"idempotent", Idempotency::kIdempotent},
                         {"deduplicated", Idempotency::kIdempotencyKey},
                         {"at_most_once", Idempotency::kNonIdempotent}});
    r.Number("key_window_s", c.rules.deduplication_window, 0, kDay);
    r.Number("aim_s", c.rules.latency_objective, 0.001, kDay);
    r.Number("deadline_s", c.rules.deadline, 0.01, kDay);
    r.Number("late_share", c.rules.weight_at_deadline, 0, 1);
    r.Number("worth", c.rules.priority_weight, 0, 1000);
    r.Boolean("keep_order", c.rules.ordered_by_key);
    s.classes.push_back(c);
  });
  if (s.classes.empty()) root.AddError("classes", "must name at least one");
}

void ReadTenants(Reader& root, Scenario& s) {
  root.ForEach("tenants", [&](Reader& r) {
    TenantPlan t;
    r.String("name", t.name);
    r.Number("share", t.share, 0, 1);
    r.Number("allowance", t.quota, 0.01, 1e9);
    if (t.name.empty()) r.AddError("name", "is missing");
    if (t.quota <= 0) r.AddError("allowance", "is missing");
    s.tenants.push_back(t);
  });
  if (s.tenants.empty()) s.tenants = {{"lab", 1, 1e6}};
}

// The shares of all classes, or of all tenants, must sum to 1.
template <typename Plan>
void CheckShares(Reader& root, const char* key, const std::vector<Plan>& plans) {
  double sum = 0;
  for (const Plan& plan : plans) sum += plan.share;
  if (!plans.empty() && std::abs(sum - 1) > 0.001) root.AddError(key, "must have shares that sum to 1");
}

void ReadPartners(Reader& root, Scenario& s) {
  root.Object("partners", [&](Reader& r) {
    Scenario::Partners& p = s.partners;
    r.Integer("count", p.count, 1, 100000);
    r.Interval("endpoints", p.endpoints, 1, 64);
    r.Number("zipf", p.zipf_exponent, 0, 5);
    r.Number("apart", p.separate_routes_share, 0, 1);
    r.Integer("bundle", p.max_batch, 1, 64);
    r.Interval("latency_s", p.mean_latency, 0.0001, 60);
    r.Number("latency_cv", p.latency_cv, 0, 5);
    r.Interval("headroom", p.headroom, 0, 1000);
    r.Number("least_limit", p.min_limit, 0.01, 1e6);
    r.Number("window_share", p.window_share, 0, 1);
    r.Number("window_s", p.window, 0.01, 60);
    r.Interval("tells_wait", p.retry_after_share, 0, 1);
    r.Interval("wait_s", p.retry_after, 0, 60);
    r.Boolean("refused_count", p.rejected_calls_count);
    r.Number("spare", p.capacity_over_limit, 1, 100);
    r.Integer("queue", p.max_queued_calls, -1, 1000000);
    r.Interval("connections", p.max_connections, 0, 100000);
  });
}

void ReadLoad(Reader& root, Scenario& s) {
  root.Object("load", [&](Reader& r) {
    r.Number("rate", s.load.rate, 0.01, 1e6);
    r.Number("clump_share", s.load.cluster_share, 0, 1);
    r.Interval("clump_s", s.load.cluster_size, 0.01, 60);
    r.Integer("order_keys", s.load.ordering_keys, 0, 1000000);
    r.ForEach("bursts", [&](Reader& b) {
      Burst burst;
      b.Number("from_s", burst.start, 0, kDay);
      b.Number("lasts_s", burst.duration, 0, kDay);
      b.Number("times", burst.multiplier, 1, 100);
      b.Integer("hot_partners", burst.hot_partners, 0, s.partners.count);
      s.load.bursts.push_back(burst);
    });
  });
  root.Object("clients", [&](Reader& r) {
    r.Integer("retries", s.clients.max_retries, 0, 100);
    r.Interval("wait_s", s.clients.retry_delay, 0, 60);
  });
}

void ReadFaultsAndChanges(Reader& root, Scenario& s) {
  root.ForEach("troubles", [&](Reader& r) {
    PartnerFault t;
    r.Enum<RouteFaultKind>("kind", t.kind,
                           {{"shut", RouteFaultKind::kRejectAll},
                            {"refuse", RouteFaultKind::kRefuseConnections},
                            {"hang", RouteFaultKind::kNoResponse},
                            {"reset", RouteFaultKind::kReset},
                            {"errors", RouteFaultKind::kErrors},
                            {"slow", RouteFaultKind::kSlow},
                            {"spoilt", RouteFaultKind::kInvalidResponses},
                            {"vanish", RouteFaultKind::kUnreachable}});
    if (const json* kind = r.Find("kind"); kind != nullptr && kind->is_string())
      t.kind_name = kind->get<std::string>();
    r.Number("share", t.share, 0, 1);
    r.Integer("partner", t.partner, 0, s.partners.count - 1);
    r.Integer("zone", t.zone, 0, static_cast<int>(s.zones.size()) - 1);
    r.Number("from_s", t.start, 0, kDay);
    r.Number("lasts_s", t.duration, 0, kDay);
    r.Number("chance", t.probability, 0, 1);
    r.Number("factor", t.latency_factor, 0.01, 1000);
    if (t.share <= 0 && t.partner < 0) r.AddError("share", "or 'partner' must say which partners it affects");
    s.partner_faults.push_back(t);
  });
  root.ForEach("pool_changes", [&](Reader& r) {
    EndpointChange c;
    r.Enum<EndpointChange::Kind>(
        "kind", c.kind,
        {{"drain", EndpointChange::Kind::kDrain}, {"replace", EndpointChange::Kind::kReplace}});
    r.Number("at_s", c.at, 0, kDay);
    r.Number("share", c.share, 0, 1);
    s.endpoint_changes.push_back(c);
  });
  root.ForEach("rude_clients", [&](Reader& r) {
    StalledClientsPlan p;
    r.Enum<StalledClientsPlan::Kind>("kind", p.kind,
                                     {{"idle", StalledClientsPlan::Kind::kIdle},
                                      {"half_head", StalledClientsPlan::Kind::kPartialHeader},
                                      {"half_body", StalledClientsPlan::Kind::kPartialBody}});
    r.Integer("relay", p.relay, 0, s.relays - 1);
    r.Integer("count", p.count, 1, 10000);
    r.Number("at_s", p.at, 0, kDay);
    s.stalled_clients.push_back(p);
  });
  root.ForEach("list_faults", [&](Reader& r) {
    ListFault f;
    r.Enum<ListFault::Kind>("kind", f.kind,
                            {{"busy", ListFault::Kind::kUnavailable},
                             {"refuse", ListFault::Kind::kResetRequests},
                             {"reset", ListFault::Kind::kResetWatches},
                             {"silent", ListFault::Kind::kSilentWatches},
                             {"old", ListFault::Kind::kOutdatedList},
                             {"cut_line", ListFault::Kind::kTruncatedLine},
                             {"unreachable", ListFault::Kind::kUnreachable}});
    r.Integer("first", f.first_relay, 0, s.relays - 1);
    f.last_relay = f.first_relay;
    r.Integer("last", f.last_relay, f.first_relay, s.relays - 1);
    r.Number("from_s", f.start, 0, kDay);
    r.Number("lasts_s", f.duration, 0, kDay);
    s.list_faults.push_back(f);
  });
  root.ForEach("relay_faults", [&](Reader& r) {
    RelayFault f;
    r.Enum<RelayFault::Kind>("kind", f.kind,
                             {{"kill", RelayFault::Kind::kKill},
                              {"stop", RelayFault::Kind::kStop},
                              {"freeze", RelayFault::Kind::kFreeze},
                              {"reload", RelayFault::Kind::kReload},
                              {"kill_after_accept", RelayFault::Kind::kKillAfterAccept}});
    r.Integer("relay", f.relay, 0, s.relays - 1);
    r.Integer("through", f.last_relay, 0, s.relays - 1);
    r.Boolean("forgets", f.loses_saved_state);
    r.Number("at_s", f.at, 0, kDay);
    r.Number("down_s", f.downtime, 0, kDay);
    const int last = std::max(f.relay, f.last_relay);
    for (; f.relay <= last; ++f.relay) s.relay_faults.push_back(f);
  });
  root.ForEach("zone_orders", [&](Reader& r) {
    OperatorOverridePlan plan;
    r.Enum<zone_failover::OverrideKind>("order", plan.kind,
                                        {{"leave", zone_failover::OverrideKind::kEvacuate},
                                         {"keep", zone_failover::OverrideKind::kKeepInService},
                                         {"none", zone_failover::OverrideKind::kNone}});
    r.Integer("zone", plan.zone, 0, static_cast<int>(s.zones.size()) - 1);
    r.Integer("relay", plan.relay, 0, s.relays - 1);
    r.Number("at_s", plan.at, 0, kDay);
    r.Number("lasts_s", plan.duration, 0, zone_failover::OperatorOverrides::kMaxDuration);
    s.operator_overrides.push_back(plan);
  });
}

void ReadStrayResponses(Reader& root, Scenario& s) {
  using OwnResponse = StrayResponsePlan::OwnResponse;
  root.Object("stray_answers", [&](Reader& r) {
    StrayResponsePlan& plan = s.stray_responses;
    r.Number("share", plan.share, 0, 1);
    r.Number("platform_share", plan.platform_share, 0, 1);
    r.Interval("delay_s", plan.delay, 0, 60);
    r.Boolean("latest", plan.repeats_latest);
    if (r.Has("own"))
      r.Enum<OwnResponse>("own", plan.own_response,
                          {{"unchanged", OwnResponse::kUnchanged},
                           {"rejected", OwnResponse::kRejected},
                           {"wait", OwnResponse::kRetryAfter},
                           {"closed", OwnResponse::kClosed},
                           {"none", OwnResponse::kNone}});
    r.Interval("own_delay_s", plan.own_delay, 0, 60);
  });
}

void ReadEndpointFaults(Reader& root, Scenario& s) {
  root.Object("withdrawals", [&](Reader& r) { r.Number("share", s.withdrawals.share, 0, 1); });
  root.Object("connection_faults", [&](Reader& r) {
    ConnectionFaultPlan& plan = s.connection_faults;
    r.Number("closed", plan.closed_share, 0, 1);
    r.Number("reset", plan.reset_share, 0, 1);
    r.Number("silent", plan.silent_share, 0, 1);
    r.Number("idle_closed", plan.idle_close_share, 0, 1);
    r.Interval("idle_s", plan.idle_close_delay, 0, 60);
  });
}

void ReadLinks(Reader& root, Scenario& s) {
  root.Boolean("notes", s.peer_datagrams);
  root.Boolean("tier", s.share_quotas);
  root.Boolean("leave", s.evacuate_zones);
  root.Boolean("oracle", s.oracle);
  if ((s.share_quotas || s.evacuate_zones) && !s.peer_datagrams)
    root.AddError("notes", "must be true where 'tier' or 'leave' is");
  root.Object("links", [&](Reader& r) {
    r.Interval("delay_s", s.links.delay, 0, 60);
    r.Number("loss", s.links.loss, 0, 1);
    r.Number("duplicate", s.links.duplicate, 0, 1);
    r.Number("reorder", s.links.reorder, 0, 1);
    r.ForEach("cuts", [&](Reader& c) {
      LinkCut cut;
      c.Enum<LinkCut::Target>("what", cut.target,
                              {{"peers", LinkCut::Target::kPeers},
                               {"endpoints", LinkCut::Target::kEndpoints},
                               {"discovery", LinkCut::Target::kDiscovery}});
      if (c.Has("way"))
        c.Enum<LinkCut::Direction>("way", cut.direction,
                                   {{"both", LinkCut::Direction::kBoth},
                                    {"out", LinkCut::Direction::kOutbound},
                                    {"in", LinkCut::Direction::kInbound}});
      c.Integer("first", cut.first, 0, s.relays - 1);
      cut.last = cut.first;
      c.Integer("last", cut.last, cut.first, s.relays - 1);
      c.Integer("zone", cut.zone, 0, static_cast<int>(s.zones.size()) - 1);
      c.Number("from_s", cut.from, 0, kDay);
      c.Number("lasts_s", cut.duration, 0, kDay);
      c.Number("on_s", cut.cut_time, 0, kDay);
      c.Number("off_s", cut.open_time, 0, kDay);
      s.links.cuts.push_back(cut);
    });
  });
}

void ReadSettings(Reader& root, Scenario& s) {
  root.Object("settings", [&](Reader& r) {
    Settings& m = s.settings;
    r.Integer("slots", m.concurrency_limit, 1, 1000000);
    r.Integer("room", m.request_capacity, 1, 10000000);
    r.Integer("most_tries", m.max_attempts, 1, 100);
    r.Boolean("may_cancel", m.may_cancel);
    r.Boolean("may_copy", m.may_hedge);
    r.Boolean("may_probe", m.may_health_check);
    r.Boolean("may_advise_wait", m.may_send_retry_after);
    r.Number("longest_wait_s", m.max_retry_after, 0, 3600);
    r.Number("tick_s", m.tick, 0.0001, 1);
    r.Number("overload_for_s", m.overload_window, 0.01, 600);
    r.Number("overload_factor", m.overload_factor, 1, 100);
    r.Number("cold_from", m.slow_start_initial_share, 0.001, 1);
    r.Number("ramp_s", m.slow_start_duration, 0, 3600);
    r.Number("over_share_worth", m.over_quota_weight, 0, 1);
    if (r.Has("key_rest_s")) r.Number("key_rest_s", m.ordered_key_pause.emplace(), 0, 3600);
    if (r.Has("rating"))
      r.Enum<ListedRateAccuracy>("rating", m.listed_rate_accuracy,
                                 {{"none", ListedRateAccuracy::kNone},
                                  {"exact", ListedRateAccuracy::kExact},
                                  {"rough", ListedRateAccuracy::kRough}});
  });
}

}  // namespace

Scenario ReadScenario(const json& file) {
  Scenario s;
  ErrorCollector faults;
  s.settings = DefaultSettings();
  {
    Reader root(file, "", faults);
    root.String("name", s.name);
    std::string note;  // for people; not used
    root.String("note", note);
    root.Number("lasts_s", s.duration, 0.1, kDay);
    root.Integer("relays", s.relays, 1, 1000);
    int zones = 2;
    root.Integer("zones", zones, 1, 16);
    for (int i = 0; i < zones; ++i) s.zones.push_back("z" + std::to_string(i));
    ReadClasses(root, s);
    ReadTenants(root, s);
    ReadPartners(root, s);
    ReadLoad(root, s);
    root.Interval("one_way_s", s.one_way_delay, 0, 10);
    root.Number("handshake_s", s.handshake_time, 0, 10);
    root.Interval("list_late_s", s.list_delay, 0, 60);
    ReadSettings(root, s);
    ReadFaultsAndChanges(root, s);
    ReadStrayResponses(root, s);
    ReadEndpointFaults(root, s);
    ReadLinks(root, s);
    CheckShares(root, "classes", s.classes);
    CheckShares(root, "tenants", s.tenants);
  }
  faults.ThrowIfAny();
  s.settings.relay_count = s.relays;
  s.settings.may_gossip = s.peer_datagrams;
  s.settings.kinds = {{false, 1}, {true, s.partners.max_batch}};
  for (const ClassPlan& c : s.classes) s.settings.classes.push_back(c.rules);
  for (const TenantPlan& t : s.tenants) s.settings.tenants.push_back({t.quota});
  // As in the operators' settings: slots for 2.1 times the calls in flight at the usual load, and room for
  // the messages of 9 s.
  const double rate_per_relay = s.load.rate / s.relays;
  if (s.settings.concurrency_limit == 0)
    s.settings.concurrency_limit =
        std::max(3, static_cast<int>(2.1 * rate_per_relay *
                                     (s.partners.mean_latency.min + s.partners.mean_latency.max) / 2) +
                        1);
  if (s.settings.request_capacity == 0)
    s.settings.request_capacity = std::max(16, static_cast<int>(9 * rate_per_relay));
  return s;
}

json ReadScenarioFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) throw FieldError("the scenario '" + path + "' can't be read");
  try {
    return json::parse(stream);
  } catch (const json::parse_error& error) {
    throw FieldError("the scenario '" + path + "' is not valid JSON at byte " + std::to_string(error.byte));
  }
}

Seconds LatestEnd(const Scenario& s) {
  constexpr Seconds kLateAnswers = 3;
  Seconds longest = 0;
  for (const ClassPlan& c : s.classes) longest = std::max(longest, c.rules.deadline);
  return s.duration + longest + kLateAnswers;
}

Scenario LoadScenario(const std::string& path) { return ReadScenario(ReadScenarioFile(path)); }

Scenario ReadScenarioWithOverrides(const std::string& source, const std::vector<std::string>& assignments) {
  std::istringstream parts(source);
  std::string part;
  std::getline(parts, part, ',');
  json file = ReadScenarioFile(part);
  while (std::getline(parts, part, ',')) SetByPath(file, part);
  for (const std::string& assignment : assignments) SetByPath(file, assignment);
  return ReadScenario(file);
}

void SetByPath(json& file, const std::string& assignment) {
  const std::size_t equals = assignment.find('=');
  if (equals == std::string::npos || equals == 0)
    throw FieldError("'" + assignment + "' must be KEY=VALUE, like load.rate=30");
  std::string pointer = "/" + assignment.substr(0, equals);
  std::replace(pointer.begin(), pointer.end(), '.', '/');
  const std::string text = assignment.substr(equals + 1);
  const json value = json::parse(text, nullptr, false);
  file[json::json_pointer(pointer)] = value.is_discarded() ? json(text) : value;
}

}  // namespace opalroute::lab
