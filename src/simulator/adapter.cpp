#include "simulator/adapter.h"

#include <algorithm>
#include <set>
#include <utility>

#include "config/fields.h"
#include "config/settings.h"
#include "decision/route_gossip.h"
#include "net/base64.h"

namespace opalroute::simulator {

using config::Find;
using config::Get;
using config::GetOr;
using config::NamesIn;
using config::Need;
using config::Word;
using config::Words;
using nlohmann::json;

namespace {

const Words<Outcome> kOutcomes = {
    {"completed", Outcome::kServed},           {"errored", Outcome::kError},
    {"saturated", Outcome::kRejected},         {"overdue", Outcome::kTimeout},
    {"refused_conn", Outcome::kConnectFailed}, {"severed", Outcome::kReset},
    {"recalled", Outcome::kCancelled},         {"superseded", Outcome::kNotSent}};
const Words<EndpointStatus> kListings = {{"in_service", EndpointStatus::kInService},
                                         {"terminating", EndpointStatus::kDraining},
                                         {"terminated", EndpointStatus::kRemoved}};
const Words<ListScope> kScopes = {{"all", ListScope::kComplete},
                                  {"remembered", ListScope::kCached},
                                  {"changes", ListScope::kChanges},
                                  {"refused", ListScope::kWatchFailed}};
LoadReport ParseReport(const json& event) {
  LoadReport report;
  if (const json* stats = Find(event, "stats")) {
    if (const json* left = Find(*stats, "x0")) report.remaining_share = config::As<double>(*left, "x0");
    if (const json* rate = Find(*stats, "x1")) report.calls_per_second = config::As<double>(*rate, "x1");
  }
  return report;
}

}  // namespace

std::uint32_t Names::Intern(const std::string& word) {
  const auto [it, fresh] = numbers_.emplace(word, static_cast<std::uint32_t>(words_.size()));
  if (fresh) words_.push_back(word);
  return it->second;
}

const std::string* Names::Find(std::uint32_t number) const {
  return number < words_.size() ? &words_[number] : nullptr;
}

Instance::Instance(std::string who, const json& attach) : who_(std::move(who)) {
  const json& options = Need(attach, "options");
  classes_ = NamesIn(options, "classes", "name");
  tenants_ = NamesIn(options, "realms", "name");
  zones_ = NamesIn(options, "zones", nullptr);
  kinds_ = NamesIn(options, "kinds", nullptr);
  courier_ =
      std::make_unique<RequestRouter>(config::ParseSettings(options, Get<std::uint64_t>(attach, "prng")));
}

int Instance::IndexOf(const std::vector<std::string>& names, const json& event, const char* field) {
  const auto name = Get<std::string>(event, field);
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) {
    throw WireError(std::string("field '") + field + "' names the unknown '" + name + "'");
  }
  return static_cast<int>(it - names.begin());
}

void Instance::TakeMembers(Seconds now, const json& event, const json* sheet) {
  ListUpdate update;
  update.scope = Word(kScopes, event, "scope");
  if (update.scope != ListScope::kWatchFailed) {
    if (sheet == nullptr) throw WireError("field 'sheet' names a list that was not declared");
    for (const json& row : *sheet) {
      ListedEndpoint entry;
      entry.endpoint = endpoints_.Intern(Get<std::string>(row, "endpoint"));
      entry.zone = IndexOf(zones_, row, "dc");
      entry.kind = IndexOf(kinds_, row, "kind");
      entry.destination = Get<std::int64_t>(row, "destination");
      entry.status = Word(kListings, row, "mode");
      entry.listed_rate = GetOr(row, "rating", 0.0);
      entry.name_hash = HashName(Get<std::string>(row, "endpoint"));
      update.entries.push_back(entry);
    }
  }
  courier_->Handle(now, update, actions_);
}

void Instance::TakeMessage(Seconds now, const json& event) {
  NewRequest message;
  message.request_class = IndexOf(classes_, event, "grade");
  if (const json* account = Find(event, "account"); account != nullptr && account->is_string()) {
    message.tenant = IndexOf(tenants_, event, "account");
  }
  message.key = GetOr(event, "item", std::string());
  message.remaining_time = Get<double>(event, "patienceLeftS");
  message.destination = Get<std::int64_t>(event, "destination");
  const auto name = Get<std::string>(event, "corr");
  message.request_id = next_id_++;
  if (!ids_.emplace(name, message.request_id).second) {
    throw WireError("field 'corr' repeats the id '" + name + "'");
  }
  messages_[message.request_id].name = name;
  courier_->Handle(now, message, actions_);
}

void Instance::TakeOutcome(Seconds now, const json& event) {
  AttemptOutcome outcome;
  outcome.outcome = Word(kOutcomes, event, "outcome");
  outcome.attempt = Get<int>(event, "shot");
  outcome.duration = GetOr(event, "durationS", 0.0);
  outcome.request_ended = GetOr(event, "terminal", false);
  if (outcome.outcome == Outcome::kRejected) {
    outcome.retry_after = static_cast<double>(GetOr<std::int64_t>(event, "holdMs", 0)) / 1000.0;
  }
  outcome.load_report = ParseReport(event);
  outcome.endpoint = endpoints_.Intern(Get<std::string>(event, "endpoint"));
  const auto it = ids_.find(Get<std::string>(event, "corr"));
  if (it == ids_.end()) return;  // ended and answered long ago
  outcome.request_id = it->second;
  Known& known = messages_.at(it->second);
  --known.unanswered;
  known.over = known.over || outcome.request_ended;
  courier_->Handle(now, outcome, actions_);
  ForgetIfDone(outcome.request_id);
}

void Instance::ForgetIfDone(RequestId id) {
  const auto it = messages_.find(id);
  if (it == messages_.end() || !it->second.over || it->second.unanswered > 0) return;
  // Actions not yet written may still name it: they are written before the next batch is read.
  for (const Action& action : actions_) {
    const auto* refuse = std::get_if<Reject>(&action);
    const auto* fail = std::get_if<Fail>(&action);
    const auto* cancel = std::get_if<CancelAttempt>(&action);
    if ((refuse != nullptr && refuse->request_id == id) || (fail != nullptr && fail->request_id == id) ||
        (cancel != nullptr && cancel->request_id == id)) {
      return;
    }
  }
  ids_.erase(it->second.name);
  messages_.erase(it);
}

void Instance::Take(Seconds now, const json& event, const json* sheet) {
  const auto type = Get<std::string>(event, "type");
  if (type == "INBOUND") {
    TakeMessage(now, event);
  } else if (type == "RESULT") {
    TakeOutcome(now, event);
  } else if (type == "REMINDER") {
    courier_->Handle(now, TimerFired{Get<std::uint64_t>(event, "label")}, actions_);
  } else if (type == "MEMBERS") {
    TakeMembers(now, event, sheet);
  } else if (type == "PROBED") {
    HealthCheckOutcome probe;
    probe.endpoint = endpoints_.Intern(Get<std::string>(event, "endpoint"));
    probe.outcome = Word(kOutcomes, event, "outcome");
    probe.duration = GetOr(event, "durationS", 0.0);
    probe.load_report = ParseReport(event);
    courier_->Handle(now, probe, actions_);
  } else if (type == "FROM_PEER") {
    const auto bytes = net::DecodeBase64(GetOr(event, "body", std::string()));
    if (!bytes) throw WireError("field 'body' is no base64");
    GossipReceived note{Get<int>(event, "srcPeer"), *bytes};
    courier_->Handle(now, note, actions_);
  } else if (type == "ABORTED") {
    const auto it = ids_.find(Get<std::string>(event, "corr"));
    if (it == ids_.end()) return;
    const RequestId id = it->second;
    courier_->Handle(now, RequestAborted{id}, actions_);
    messages_.at(id).over = true;
    ForgetIfDone(id);
  } else if (type == "FLOWING") {
    const auto it = ids_.find(Get<std::string>(event, "corr"));
    if (it == ids_.end()) return;
    courier_->Handle(now, ResponseStarted{it->second, Get<int>(event, "shot")}, actions_);
  } else {
    throw WireError("unknown event '" + type + "'");
  }
}

void Instance::EndTurn(Seconds now) { courier_->Handle(now, BatchEnd{}, actions_); }

json Instance::Translate(const Action& action) {
  json out;
  const auto name = [this](RequestId id) { return messages_.at(id).name; };
  const auto place = [this](EndpointId id) { return *endpoints_.Find(id); };
  if (const auto* send = std::get_if<Send>(&action)) {
    out = {{"type", "PLACE"}, {"corr", name(send->request_id)}, {"endpoint", place(send->endpoint)}};
    if (send->timeout_at > 0) out["untilS"] = send->timeout_at;
    ++messages_.at(send->request_id).unanswered;
  } else if (const auto* refuse = std::get_if<Reject>(&action)) {
    out = {{"type", "REFUSE"}, {"corr", name(refuse->request_id)}};
    if (refuse->retry_after > 0) out["waitS"] = refuse->retry_after;
    messages_.at(refuse->request_id).over = true;
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    out = {{"type", "ERROR"}, {"corr", name(fail->request_id)}};
    messages_.at(fail->request_id).over = true;
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    out = {{"type", "CANCEL"}, {"corr", name(cancel->request_id)}, {"shot", cancel->attempt}};
  } else if (const auto* probe = std::get_if<HealthCheck>(&action)) {
    out = {{"type", "CHECK"}, {"endpoint", place(probe->endpoint)}};
  } else if (const auto* wake = std::get_if<SetTimer>(&action)) {
    out = {{"type", "SET_TIMER"}, {"dueAtS", wake->due}, {"label", wake->timer_id}};
  } else if (const auto* watch = std::get_if<WatchEndpointList>(&action)) {
    out = {{"type", "STREAM_CHANGES"}, {"active", watch->enabled}};
  } else if (const auto* close = std::get_if<CloseIdleConnections>(&action)) {
    out = {{"type", "DISCONNECT"}, {"endpoint", place(close->endpoint)}};
  } else if (const auto* tell = std::get_if<SendGossip>(&action)) {
    out = {{"type", "ANNOUNCE"}, {"body", net::EncodeBase64(tell->payload)}};
    out["recipient"] = tell->peer ? json(*tell->peer) : json(nullptr);
  } else {
    out = {{"type", "TRACE"}, {"message", std::get<Log>(action).text}};
  }
  out["who"] = who_;
  return out;
}

void Instance::WriteActions(json& decisions) {
  std::vector<RequestId> named;
  for (const Action& action : actions_) {
    decisions.push_back(Translate(action));
    if (const auto* refuse = std::get_if<Reject>(&action)) named.push_back(refuse->request_id);
    if (const auto* fail = std::get_if<Fail>(&action)) named.push_back(fail->request_id);
    if (const auto* cancel = std::get_if<CancelAttempt>(&action)) named.push_back(cancel->request_id);
  }
  actions_.clear();
  for (const RequestId id : named) ForgetIfDone(id);
}

std::string Host::Reply(const std::string& line) {
  json batch;
  try {
    batch = json::parse(line);
  } catch (const json::parse_error& error) {
    throw WireError("no JSON at byte " + std::to_string(error.byte));
  }
  const auto now = Get<double>(batch, "tsS");
  const json& events = Need(batch, "in");
  if (!events.is_array()) throw WireError("field 'in' is no array");
  std::vector<std::string> touched;
  std::set<std::string> seen;
  for (std::size_t i = 0; i < events.size(); ++i) {
    const json& event = events[i];
    try {
      const auto type = Get<std::string>(event, "type");
      if (type == "MANIFEST") {
        sheets_[Get<int>(event, "sheet")] = Need(event, "records");
        continue;
      }
      const auto who = Get<std::string>(event, "who");
      if (type == "ATTACH") {
        instances_.insert_or_assign(who, Instance(who, event));
      } else if (type == "CRASH_NOW") {
        if (instances_.erase(who) == 0) throw WireError("unknown instance '" + who + "'");
        continue;
      } else {
        const auto it = instances_.find(who);
        if (it == instances_.end()) throw WireError("unknown instance '" + who + "'");
        const json* sheet = nullptr;
        if (type == "MEMBERS") {
          const auto found = sheets_.find(GetOr(event, "sheet", 0));
          if (found != sheets_.end()) sheet = &found->second;
        }
        it->second.Take(now, event, sheet);
      }
      if (seen.insert(who).second) touched.push_back(who);
    } catch (const WireError& error) {
      throw WireError("event " + std::to_string(i) + ": " + error.what());
    }
  }
  json decisions = json::array();
  for (const std::string& who : touched) {
    const auto it = instances_.find(who);
    if (it == instances_.end()) continue;
    it->second.EndTurn(now);
    it->second.WriteActions(decisions);
  }
  return json{{"decisions", std::move(decisions)}}.dump();
}

}  // namespace opalroute::simulator
