#include "simulator/instance.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "config/settings.h"
#include "decision/route_gossip.h"
#include "net/base64.h"

namespace opalroute::simulator {

using config::EnumNames;
using config::Find;
using config::Get;
using config::GetEnum;
using config::GetOr;
using config::NamesIn;
using config::Require;
using nlohmann::json;

namespace {

constexpr double kMillisecondsPerSecond = 1000;

const EnumNames<Outcome> kOutcomes = {
    {"completed", Outcome::kServed},           {"errored", Outcome::kError},
    {"saturated", Outcome::kRejected},         {"overdue", Outcome::kTimeout},
    {"refused_conn", Outcome::kConnectFailed}, {"severed", Outcome::kReset},
    {"recalled", Outcome::kCancelled},         {"superseded", Outcome::kNotSent}};
const EnumNames<EndpointStatus> kStatuses = {{"in_service", EndpointStatus::kInService},
                                             {"terminating", EndpointStatus::kDraining},
                                             {"terminated", EndpointStatus::kRemoved}};
const EnumNames<ListScope> kScopes = {{"all", ListScope::kComplete},
                                      {"remembered", ListScope::kCached},
                                      {"changes", ListScope::kChanges},
                                      {"refused", ListScope::kWatchFailed}};

LoadReport ParseLoadReport(const json& event) {
  LoadReport report;
  const json* stats = Find(event, "stats");
  if (stats == nullptr) return report;
  if (const json* left = Find(*stats, "x0")) report.remaining_share = config::As<double>(*left, "x0");
  if (const json* rate = Find(*stats, "x1")) report.calls_per_second = config::As<double>(*rate, "x1");
  return report;
}

// The request that the action refers to; nothing for actions without a request, and for Send, whose request
// is not over yet.
std::optional<RequestId> RequestOf(const Action& action) {
  if (const auto* reject = std::get_if<Reject>(&action)) return reject->request_id;
  if (const auto* fail = std::get_if<Fail>(&action)) return fail->request_id;
  if (const auto* cancel = std::get_if<CancelAttempt>(&action)) return cancel->request_id;
  return std::nullopt;
}

}  // namespace

Instance::Instance(std::string name, const json& attach) : name_(std::move(name)) {
  const json& options = Require(attach, "options");
  classes_ = NamesIn(options, "classes", "name");
  tenants_ = NamesIn(options, "realms", "name");
  zones_ = NamesIn(options, "zones", nullptr);
  kinds_ = NamesIn(options, "kinds", nullptr);
  const auto seed = Get<std::uint64_t>(attach, "prng");
  router_ = std::make_unique<RequestRouter>(config::ParseSettings(options, seed));
}

// ---- events --------------------------------------------------------------------------------------

void Instance::HandleEvent(Seconds now, const json& event, const json* list) {
  const auto type = Get<std::string>(event, "type");
  if (type == "INBOUND") {
    OnNewRequest(now, event);
  } else if (type == "RESULT") {
    OnAttemptOutcome(now, event);
  } else if (type == "REMINDER") {
    router_->Handle(now, TimerFired{Get<std::uint64_t>(event, "label")}, actions_);
  } else if (type == "MEMBERS") {
    OnEndpointList(now, event, list);
  } else if (type == "PROBED") {
    OnHealthCheckOutcome(now, event);
  } else if (type == "FROM_PEER") {
    OnGossip(now, event);
  } else if (type == "ABORTED") {
    OnAborted(now, event);
  } else if (type == "FLOWING") {
    OnResponseStarted(now, event);
  } else {
    throw InputError("unknown event '" + type + "'");
  }
}

void Instance::EndBatch(Seconds now) { router_->Handle(now, BatchEnd{}, actions_); }

void Instance::OnEndpointList(Seconds now, const json& event, const json* list) {
  ListUpdate update;
  update.scope = GetEnum(kScopes, event, "scope");
  if (update.scope != ListScope::kWatchFailed) {
    if (list == nullptr) throw InputError("field 'sheet' refers to a list that was not declared");
    for (const json& row : *list) update.entries.push_back(ParseListedEndpoint(row));
  }
  router_->Handle(now, update, actions_);
}

ListedEndpoint Instance::ParseListedEndpoint(const json& row) {
  const auto name = Get<std::string>(row, "endpoint");
  ListedEndpoint endpoint;
  endpoint.endpoint = endpoints_.Intern(name);
  endpoint.zone = ZoneId{IndexOf(zones_, row, "dc")};
  endpoint.kind = KindId{IndexOf(kinds_, row, "kind")};
  endpoint.destination = Get<std::int64_t>(row, "destination");
  endpoint.status = GetEnum(kStatuses, row, "mode");
  endpoint.listed_rate = GetOr(row, "rating", 0.0);
  endpoint.name_hash = decision::HashName(name);
  return endpoint;
}

void Instance::OnNewRequest(Seconds now, const json& event) {
  NewRequest request;
  request.request_class = IndexOf(classes_, event, "grade");
  if (const json* account = Find(event, "account"); account != nullptr && account->is_string()) {
    request.tenant = IndexOf(tenants_, event, "account");
  }
  request.key = GetOr(event, "item", std::string());
  request.remaining_time = Get<double>(event, "patienceLeftS");
  request.destination = Get<std::int64_t>(event, "destination");
  const auto name = Get<std::string>(event, "corr");
  request.request_id = next_request_id_++;
  const bool is_new = request_ids_.emplace(name, request.request_id).second;
  if (!is_new) throw InputError("field 'corr' repeats the id '" + name + "'");
  requests_[request.request_id].name = name;
  router_->Handle(now, request, actions_);
}

void Instance::OnAttemptOutcome(Seconds now, const json& event) {
  AttemptOutcome outcome;
  outcome.outcome = GetEnum(kOutcomes, event, "outcome");
  outcome.attempt = Get<int>(event, "shot");
  outcome.duration = GetOr(event, "durationS", 0.0);
  outcome.request_ended = GetOr(event, "terminal", false);
  if (outcome.outcome == Outcome::kRejected) {
    const auto retry_after_ms = GetOr<std::int64_t>(event, "holdMs", 0);
    outcome.retry_after = static_cast<double>(retry_after_ms) / kMillisecondsPerSecond;
  }
  outcome.load_report = ParseLoadReport(event);
  outcome.endpoint = endpoints_.Intern(Get<std::string>(event, "endpoint"));
  const auto it = request_ids_.find(Get<std::string>(event, "corr"));
  if (it == request_ids_.end()) return;  // forgotten: it has ended, and no attempt was in flight
  outcome.request_id = it->second;
  KnownRequest& request = requests_.at(it->second);
  --request.attempts_in_flight;
  request.ended = request.ended || outcome.request_ended;
  router_->Handle(now, outcome, actions_);
  ForgetIfDone(outcome.request_id);
}

void Instance::OnHealthCheckOutcome(Seconds now, const json& event) {
  HealthCheckOutcome check;
  check.endpoint = endpoints_.Intern(Get<std::string>(event, "endpoint"));
  check.outcome = GetEnum(kOutcomes, event, "outcome");
  check.duration = GetOr(event, "durationS", 0.0);
  check.load_report = ParseLoadReport(event);
  router_->Handle(now, check, actions_);
}

void Instance::OnGossip(Seconds now, const json& event) {
  auto payload = net::DecodeBase64(GetOr(event, "body", std::string()));
  if (!payload) throw InputError("field 'body' is not Base64");
  GossipReceived gossip;
  gossip.from = Get<int>(event, "srcPeer");
  gossip.payload = std::move(*payload);
  router_->Handle(now, gossip, actions_);
}

void Instance::OnAborted(Seconds now, const json& event) {
  const auto it = request_ids_.find(Get<std::string>(event, "corr"));
  if (it == request_ids_.end()) return;
  const RequestId id = it->second;
  router_->Handle(now, RequestAborted{id}, actions_);
  requests_.at(id).ended = true;
  ForgetIfDone(id);
}

void Instance::OnResponseStarted(Seconds now, const json& event) {
  const auto it = request_ids_.find(Get<std::string>(event, "corr"));
  if (it == request_ids_.end()) return;
  router_->Handle(now, ResponseStarted{it->second, Get<int>(event, "shot")}, actions_);
}

int Instance::IndexOf(const std::vector<std::string>& names, const json& event, const char* field) const {
  const auto name = Get<std::string>(event, field);
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) {
    throw InputError(std::string("field '") + field + "' has the unknown value '" + name + "'");
  }
  return static_cast<int>(it - names.begin());
}

// ---- actions -------------------------------------------------------------------------------------

void Instance::AppendActions(json& decisions) {
  std::vector<RequestId> referred_to;
  for (const Action& action : actions_) {
    json decision = ToJsonOrTrace(action);
    if (decision.is_null()) continue;
    decision["who"] = name_;
    decisions.push_back(std::move(decision));
    if (const auto id = RequestOf(action)) referred_to.push_back(*id);
  }
  actions_.clear();
  for (const RequestId id : referred_to) ForgetIfDone(id);
}

json Instance::ToJsonOrTrace(const Action& action) {
  try {
    return std::visit([this](const auto& typed_action) { return ToJson(typed_action); }, action);
  } catch (const UnknownRequestError& error) {
    return ToJson(Log{error.what()});
  }
}

Instance::KnownRequest& Instance::FindRequest(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) throw UnknownRequestError(id);
  return it->second;
}

json Instance::ToJson(const Send& send) {
  KnownRequest& request = FindRequest(send.request_id);
  json out = {{"type", "PLACE"}, {"corr", request.name}, {"endpoint", endpoints_.NameOf(send.endpoint)}};
  if (send.timeout_at > 0) out["untilS"] = send.timeout_at;
  ++request.attempts_in_flight;
  return out;
}

json Instance::ToJson(const Reject& reject) {
  KnownRequest& request = FindRequest(reject.request_id);
  json out = {{"type", "REFUSE"}, {"corr", request.name}};
  if (reject.retry_after > 0) out["waitS"] = reject.retry_after;
  request.ended = true;
  return out;
}

json Instance::ToJson(const Fail& fail) {
  KnownRequest& request = FindRequest(fail.request_id);
  request.ended = true;
  return {{"type", "ERROR"}, {"corr", request.name}};
}

json Instance::ToJson(const CancelAttempt& cancel) {
  const KnownRequest& request = FindRequest(cancel.request_id);
  return {{"type", "CANCEL"}, {"corr", request.name}, {"shot", cancel.attempt}};
}

json Instance::ToJson(const HealthCheck& check) {
  return {{"type", "CHECK"}, {"endpoint", endpoints_.NameOf(check.endpoint)}};
}

json Instance::ToJson(const SetTimer& timer) {
  return {{"type", "SET_TIMER"}, {"dueAtS", timer.due}, {"label", timer.timer_id}};
}

json Instance::ToJson(const WatchEndpointList& watch) {
  return {{"type", "STREAM_CHANGES"}, {"active", watch.enabled}};
}

json Instance::ToJson(const CloseIdleConnections& close) {
  return {{"type", "DISCONNECT"}, {"endpoint", endpoints_.NameOf(close.endpoint)}};
}

json Instance::ToJson(const SendGossip& gossip) {
  json out = {{"type", "ANNOUNCE"}, {"body", net::EncodeBase64(gossip.payload)}};
  out["recipient"] = gossip.peer ? json(*gossip.peer) : json(nullptr);
  return out;
}

// Nothing outlives a simulated relay, so its health reports are not output.
json Instance::ToJson(const RouteHealthChanged&) { return nullptr; }

json Instance::ToJson(const Log& line) { return {{"type", "TRACE"}, {"message", line.text}}; }

// ---- removal of requests --------------------------------------------------------------------

bool Instance::IsReferredToByAction(RequestId id) const {
  return std::any_of(actions_.begin(), actions_.end(),
                     [id](const Action& action) { return RequestOf(action) == id; });
}

void Instance::ForgetIfDone(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.ended || it->second.attempts_in_flight > 0) return;
  // Actions that are not output yet may still refer to it; AppendActions tries again.
  if (IsReferredToByAction(id)) return;
  request_ids_.erase(it->second.name);
  requests_.erase(it);
}

}  // namespace opalroute::simulator
