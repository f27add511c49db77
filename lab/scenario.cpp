#include "lab/scenario.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

#include "config/fields.h"

namespace opalroute::lab {

namespace {

using config::Collector;
using config::FieldError;
using nlohmann::json;

// Reads one object: each key once, and at the end those that nobody asked for are faults.
class Reader {
 public:
  Reader(const json& object, std::string path, Collector& faults)
      : object_(object), path_(std::move(path)), faults_(faults) {
    if (!object_.is_object()) Fault("", "must be an object");
  }
  ~Reader() {
    if (!object_.is_object()) return;
    for (const auto& [key, value] : object_.items())
      if (known_.count(key) == 0) Fault(key, "is not known");
  }
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;

  void Number(const char* key, double& to, double least, double most) {
    const json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_number() || value->get<double>() < least || value->get<double>() > most)
      return Fault(key, "must be a number from " + json(least).dump() + " to " + json(most).dump());
    to = value->get<double>();
  }
  void Whole(const char* key, int& to, int least, int most) {
    const json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_number_integer() || value->get<double>() < least || value->get<double>() > most)
      return Fault(key,
                   "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    to = value->get<int>();
  }
  void Span(const char* key, Range& to, double least, double most) {
    const json* value = Find(key);
    if (value == nullptr) return;
    const bool pair =
        value->is_array() && value->size() == 2 && (*value)[0].is_number() && (*value)[1].is_number();
    if (!pair || (*value)[0].get<double>() < least || (*value)[1].get<double>() > most ||
        (*value)[0].get<double>() > (*value)[1].get<double>())
      return Fault(key, "must be two numbers, the lesser first, from " + json(least).dump() + " to " +
                            json(most).dump());
    to = {(*value)[0].get<double>(), (*value)[1].get<double>()};
  }
  void YesNo(const char* key, bool& to) {
    const json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_boolean()) return Fault(key, "must be true or false");
    to = value->get<bool>();
  }
  void Text(const char* key, std::string& to) {
    const json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_string()) return Fault(key, "must be a text");
    to = value->get<std::string>();
  }
  template <typename T>
  void Word(const char* key, T& to, const std::vector<std::pair<const char*, T>>& words) {
    std::string word;
    const json* value = Find(key);
    if (value == nullptr) return Fault(key, "is missing");
    std::string all;
    for (const auto& [name, meaning] : words) {
      if (*value == name) {
        to = meaning;
        return;
      }
      all += (all.empty() ? "" : ", ") + std::string(name);
    }
    Fault(key, "must be one of " + all);
  }
  template <typename Read>
  void Object(const char* key, const Read& read) {
    const json* value = Find(key);
    if (value == nullptr) return;
    Reader inner(*value, PathOf(key), faults_);
    read(inner);
  }
  template <typename Read>
  void Each(const char* key, const Read& read) {
    const json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_array()) return Fault(key, "must be an array");
    for (std::size_t i = 0; i < value->size(); ++i) {
      Reader inner((*value)[i], PathOf(key) + "[" + std::to_string(i) + "]", faults_);
      read(inner);
    }
  }
  bool Has(const char* key) const { return object_.is_object() && object_.contains(key); }
  void Fault(const std::string& key, const std::string& what) {
    faults_.Try([&] { throw FieldError("'" + (key.empty() ? path_ : PathOf(key)) + "' " + what); });
  }
  const json* Find(const char* key) {
    known_.insert(key);
    return object_.is_object() && object_.contains(key) ? &object_[key] : nullptr;
  }

 private:
  std::string PathOf(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

  const json& object_;
  const std::string path_;
  Collector& faults_;
  std::set<std::string> known_;
};

constexpr double kDay = 86400;

Settings DefaultSettings() {
  Settings s;
  s.concurrency_limit = 0;  // 0: reckoned from the load
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

// The operators' three classes, with their shares of the messages.
std::vector<ClassPlan> DefaultClasses() {
  const auto plan = [](const char* name, Idempotency effect, double window, double aim, double deadline,
                       double late, double worth, double share) {
    ClassPlan c;
    c.name = name;
    c.rules = {effect, DeduplicationScope::kAll, window, aim, deadline, late, worth, false};
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
  root.Each("classes", [&](Reader& r) {
    ClassPlan c;
    c.rules = {Idempotency::kIdempotent, DeduplicationScope::kAll, 12, 1, 8, 0.5, 1, false};
    r.Text("name", c.name);
    r.Number("share", c.share, 0, 1);
    r.Word<Idempotency>("effect", c.rules.idempotency,
                        {{"idempotent", Idempotency::kIdempotent},
                         {"deduplicated", Idempotency::kIdempotencyKey},
                         {"at_most_once", Idempotency::kNonIdempotent}});
    r.Number("key_window_s", c.rules.deduplication_window, 0, kDay);
    r.Number("aim_s", c.rules.latency_objective, 0.001, kDay);
    r.Number("deadline_s", c.rules.deadline, 0.01, kDay);
    r.Number("late_share", c.rules.weight_at_deadline, 0, 1);
    r.Number("worth", c.rules.priority_weight, 0, 1000);
    r.YesNo("keep_order", c.rules.ordered_by_key);
    s.classes.push_back(c);
  });
  if (s.classes.empty()) root.Fault("classes", "must name one at least");
}

void ReadTenants(Reader& root, Scenario& s) {
  root.Each("tenants", [&](Reader& r) {
    TenantPlan t;
    r.Text("name", t.name);
    r.Number("share", t.share, 0, 1);
    r.Number("allowance", t.allowance, 0.01, 1e9);
    if (t.name.empty()) r.Fault("name", "is missing");
    if (t.allowance <= 0) r.Fault("allowance", "is missing");
    s.tenants.push_back(t);
  });
  if (s.tenants.empty()) s.tenants = {{"lab", 1, 1e6}};
}

// Shares of the messages, of what must make up all of them.
template <typename Plan>
void CheckShares(Reader& root, const char* key, const std::vector<Plan>& plans) {
  double sum = 0;
  for (const Plan& plan : plans) sum += plan.share;
  if (!plans.empty() && std::abs(sum - 1) > 0.001) root.Fault(key, "must have shares that sum to 1");
}

void ReadPartners(Reader& root, Scenario& s) {
  root.Object("partners", [&](Reader& r) {
    Scenario::Partners& p = s.partners;
    r.Whole("count", p.count, 1, 100000);
    r.Span("endpoints", p.endpoints, 1, 64);
    r.Number("zipf", p.zipf, 0, 5);
    r.Number("apart", p.apart, 0, 1);
    r.Whole("bundle", p.bundle, 1, 64);
    r.Span("latency_s", p.latency, 0.0001, 60);
    r.Number("latency_cv", p.latency_cv, 0, 5);
    r.Span("headroom", p.headroom, 0, 1000);
    r.Number("least_limit", p.least_limit, 0.01, 1e6);
    r.Number("window_share", p.window_share, 0, 1);
    r.Number("window_s", p.window, 0.01, 60);
    r.Span("tells_wait", p.tells_wait, 0, 1);
    r.Span("wait_s", p.wait, 0, 60);
    r.YesNo("refused_count", p.refused_count);
    r.Number("spare", p.spare, 1, 100);
    r.Whole("queue", p.queue, -1, 1000000);
    r.Span("connections", p.connections, 0, 100000);
  });
}

void ReadLoad(Reader& root, Scenario& s) {
  root.Object("load", [&](Reader& r) {
    r.Number("rate", s.load.rate, 0.01, 1e6);
    r.Number("clump_share", s.load.clump_share, 0, 1);
    r.Span("clump_s", s.load.clump, 0.01, 60);
    r.Whole("order_keys", s.load.order_keys, 0, 1000000);
    r.Each("bursts", [&](Reader& b) {
      Burst burst;
      b.Number("from_s", burst.from, 0, kDay);
      b.Number("lasts_s", burst.lasts, 0, kDay);
      b.Number("times", burst.times, 1, 100);
      b.Whole("hot_partners", burst.hot_partners, 0, s.partners.count);
      s.load.bursts.push_back(burst);
    });
  });
  root.Object("clients", [&](Reader& r) {
    r.Whole("retries", s.clients.retries, 0, 100);
    r.Span("wait_s", s.clients.wait, 0, 60);
  });
}

void ReadTroubles(Reader& root, Scenario& s) {
  root.Each("troubles", [&](Reader& r) {
    Trouble t;
    r.Word<RouteFaultKind>("kind", t.kind,
                           {{"shut", RouteFaultKind::kRejectAll},
                            {"refuse", RouteFaultKind::kRefuseConnections},
                            {"hang", RouteFaultKind::kNoResponse},
                            {"reset", RouteFaultKind::kReset},
                            {"errors", RouteFaultKind::kErrors},
                            {"slow", RouteFaultKind::kSlow},
                            {"spoilt", RouteFaultKind::kInvalidResponses},
                            {"vanish", RouteFaultKind::kUnreachable}});
    if (const json* kind = r.Find("kind"); kind != nullptr && kind->is_string())
      t.name = kind->get<std::string>();
    r.Number("share", t.share, 0, 1);
    r.Whole("partner", t.partner, 0, s.partners.count - 1);
    r.Whole("zone", t.zone, 0, static_cast<int>(s.zones.size()) - 1);
    r.Number("from_s", t.from, 0, kDay);
    r.Number("lasts_s", t.lasts, 0, kDay);
    r.Number("chance", t.chance, 0, 1);
    r.Number("factor", t.factor, 0.01, 1000);
    if (t.share <= 0 && t.partner < 0) r.Fault("share", "or 'partner' must say whom it strikes");
    s.troubles.push_back(t);
  });
  root.Each("pool_changes", [&](Reader& r) {
    PoolChange c;
    r.Word<PoolChange::Kind>("kind", c.kind,
                             {{"drain", PoolChange::Kind::kDrain}, {"replace", PoolChange::Kind::kReplace}});
    r.Number("at_s", c.at, 0, kDay);
    r.Number("share", c.share, 0, 1);
    s.pool_changes.push_back(c);
  });
  root.Each("rude_clients", [&](Reader& r) {
    RudePlan p;
    r.Word<RudePlan::Kind>("kind", p.kind,
                           {{"idle", RudePlan::Kind::kIdle},
                            {"half_head", RudePlan::Kind::kHalfHead},
                            {"half_body", RudePlan::Kind::kHalfBody}});
    r.Whole("relay", p.relay, 0, s.relays - 1);
    r.Whole("count", p.count, 1, 10000);
    r.Number("at_s", p.at, 0, kDay);
    s.rude_clients.push_back(p);
  });
  root.Each("list_faults", [&](Reader& r) {
    ListFault f;
    r.Word<ListFault::Kind>("kind", f.kind,
                            {{"busy", ListFault::Kind::kBusy},
                             {"refuse", ListFault::Kind::kRefuse},
                             {"reset", ListFault::Kind::kReset},
                             {"silent", ListFault::Kind::kSilent},
                             {"old", ListFault::Kind::kOld},
                             {"cut_line", ListFault::Kind::kCutLine},
                             {"unreachable", ListFault::Kind::kUnreachable}});
    r.Whole("first", f.first, 0, s.relays - 1);
    f.last = f.first;
    r.Whole("last", f.last, f.first, s.relays - 1);
    r.Number("from_s", f.from, 0, kDay);
    r.Number("lasts_s", f.lasts, 0, kDay);
    s.list_faults.push_back(f);
  });
  root.Each("relay_faults", [&](Reader& r) {
    RelayFault f;
    r.Word<RelayFault::Kind>("kind", f.kind,
                             {{"kill", RelayFault::Kind::kKill},
                              {"stop", RelayFault::Kind::kStop},
                              {"freeze", RelayFault::Kind::kFreeze},
                              {"reload", RelayFault::Kind::kReload},
                              {"kill_after_accept", RelayFault::Kind::kKillAfterAccept}});
    r.Whole("relay", f.relay, 0, s.relays - 1);
    r.Whole("through", f.through, 0, s.relays - 1);
    r.YesNo("forgets", f.forgets);
    r.Number("at_s", f.at, 0, kDay);
    r.Number("down_s", f.down, 0, kDay);
    const int last = std::max(f.relay, f.through);
    for (; f.relay <= last; ++f.relay) s.relay_faults.push_back(f);
  });
  root.Each("zone_orders", [&](Reader& r) {
    HandGiven order;
    r.Word<zone_failover::OverrideKind>("order", order.what,
                                        {{"leave", zone_failover::OverrideKind::kEvacuate},
                                         {"keep", zone_failover::OverrideKind::kKeepInService},
                                         {"none", zone_failover::OverrideKind::kNone}});
    r.Whole("zone", order.zone, 0, static_cast<int>(s.zones.size()) - 1);
    r.Whole("relay", order.relay, 0, s.relays - 1);
    r.Number("at_s", order.at, 0, kDay);
    r.Number("lasts_s", order.lasts, 0, zone_failover::OperatorOverrides::kMaxDuration);
    s.zone_orders.push_back(order);
  });
}

void ReadLinks(Reader& root, Scenario& s) {
  root.YesNo("notes", s.notes);
  root.YesNo("tier", s.tier);
  root.YesNo("leave", s.leave);
  root.YesNo("oracle", s.oracle);
  if ((s.tier || s.leave) && !s.notes) root.Fault("notes", "must be true where 'tier' or 'leave' is");
  root.Object("links", [&](Reader& r) {
    r.Span("delay_s", s.links.delay, 0, 60);
    r.Number("loss", s.links.loss, 0, 1);
    r.Number("duplicate", s.links.duplicate, 0, 1);
    r.Number("reorder", s.links.reorder, 0, 1);
    r.Each("cuts", [&](Reader& c) {
      LinkCut cut;
      c.Word<LinkCut::Target>("what", cut.target,
                              {{"peers", LinkCut::Target::kPeers},
                               {"endpoints", LinkCut::Target::kEndpoints},
                               {"discovery", LinkCut::Target::kDiscovery}});
      if (c.Has("way"))
        c.Word<LinkCut::Direction>("way", cut.direction,
                                   {{"both", LinkCut::Direction::kBoth},
                                    {"out", LinkCut::Direction::kOutbound},
                                    {"in", LinkCut::Direction::kInbound}});
      c.Whole("first", cut.first, 0, s.relays - 1);
      cut.last = cut.first;
      c.Whole("last", cut.last, cut.first, s.relays - 1);
      c.Whole("zone", cut.zone, 0, static_cast<int>(s.zones.size()) - 1);
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
    r.Whole("slots", m.concurrency_limit, 1, 1000000);
    r.Whole("room", m.request_capacity, 1, 10000000);
    r.Whole("most_tries", m.max_attempts, 1, 100);
    r.YesNo("may_cancel", m.may_cancel);
    r.YesNo("may_copy", m.may_hedge);
    r.YesNo("may_probe", m.may_health_check);
    r.YesNo("may_advise_wait", m.may_send_retry_after);
    r.Number("longest_wait_s", m.max_retry_after, 0, 3600);
    r.Number("tick_s", m.tick, 0.0001, 1);
    r.Number("overload_for_s", m.overload_window, 0.01, 600);
    r.Number("overload_factor", m.overload_factor, 1, 100);
    r.Number("cold_from", m.slow_start_initial_share, 0.001, 1);
    r.Number("ramp_s", m.slow_start_duration, 0, 3600);
    r.Number("over_share_worth", m.over_quota_weight, 0, 1);
    if (r.Has("key_rest_s")) r.Number("key_rest_s", m.ordered_key_pause.emplace(), 0, 3600);
    if (r.Has("rating"))
      r.Word<ListedRateAccuracy>("rating", m.listed_rate_accuracy,
                                 {{"none", ListedRateAccuracy::kNone},
                                  {"exact", ListedRateAccuracy::kExact},
                                  {"rough", ListedRateAccuracy::kRough}});
  });
}

}  // namespace

Scenario ReadScenario(const json& file) {
  Scenario s;
  Collector faults;
  s.settings = DefaultSettings();
  {
    Reader root(file, "", faults);
    root.Text("name", s.name);
    std::string note;  // for readers alone
    root.Text("note", note);
    root.Number("lasts_s", s.lasts, 0.1, kDay);
    root.Whole("relays", s.relays, 1, 1000);
    int zones = 2;
    root.Whole("zones", zones, 1, 16);
    for (int i = 0; i < zones; ++i) s.zones.push_back("z" + std::to_string(i));
    ReadClasses(root, s);
    ReadTenants(root, s);
    ReadPartners(root, s);
    ReadLoad(root, s);
    root.Span("one_way_s", s.one_way, 0, 10);
    root.Number("handshake_s", s.handshake, 0, 10);
    root.Span("list_late_s", s.list_late, 0, 60);
    ReadSettings(root, s);
    ReadTroubles(root, s);
    ReadLinks(root, s);
    CheckShares(root, "classes", s.classes);
    CheckShares(root, "tenants", s.tenants);
  }
  faults.Throw();
  s.settings.relay_count = s.relays;
  s.settings.may_gossip = s.notes;
  s.settings.kinds = {{false, 1}, {true, s.partners.bundle}};
  for (const ClassPlan& c : s.classes) s.settings.classes.push_back(c.rules);
  for (const TenantPlan& t : s.tenants) s.settings.tenants.push_back({t.allowance});
  // As the operators' settings: slots for 2.1 times what full load keeps busy, room for 9 s of it.
  const double part = s.load.rate / s.relays;
  if (s.settings.concurrency_limit == 0)
    s.settings.concurrency_limit = std::max(
        3, static_cast<int>(2.1 * part * (s.partners.latency.least + s.partners.latency.most) / 2) + 1);
  if (s.settings.request_capacity == 0)
    s.settings.request_capacity = std::max(16, static_cast<int>(9 * part));
  return s;
}

json ReadScenarioFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) throw FieldError("the scenario '" + path + "' can't be read");
  try {
    return json::parse(stream);
  } catch (const json::parse_error& error) {
    throw FieldError("the scenario '" + path + "' is no JSON at byte " + std::to_string(error.byte));
  }
}

Seconds EndOf(const Scenario& s) {
  constexpr Seconds kRunsOn = 3;
  Seconds longest = 0;
  for (const ClassPlan& c : s.classes) longest = std::max(longest, c.rules.deadline);
  return s.lasts + longest + kRunsOn;
}

Scenario LoadScenario(const std::string& path) { return ReadScenario(ReadScenarioFile(path)); }

Scenario ReadScenarioWith(const std::string& what, const std::vector<std::string>& sets) {
  std::istringstream parts(what);
  std::string part;
  std::getline(parts, part, ',');
  json file = ReadScenarioFile(part);
  while (std::getline(parts, part, ',')) SetByPath(file, part);
  for (const std::string& set : sets) SetByPath(file, set);
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
