#include "upstream/upstream_call.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "log/log.h"
#include "net/address.h"
#include "net/base64.h"

namespace opalroute {

using net::HttpClient;
using nlohmann::json;

namespace {

// A plain decimal number that is the whole text, and no less than 0.
std::optional<double> FigureIn(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool sound = error == std::errc() && end == text.data() + text.size() && std::isfinite(value);
  return sound && value >= 0 ? std::optional(value) : std::nullopt;
}

Seconds WaitIn(const net::HttpMessage& answer) {
  const std::string* text = answer.Header("X-RateLimit-Wait-Ms");
  return text == nullptr ? 0 : std::min(FigureIn(*text).value_or(0), 3.6e6) / 1000;
}

// "TEXT x0=0.4, x1=25". One that can't be read whole is ignored whole.
LoadReport ReportIn(const net::HttpMessage& answer) {
  LoadReport report;
  const std::string* text = answer.Header("X-Pressure");
  if (text == nullptr) return report;
  std::string_view rest = *text;
  rest.remove_prefix(std::min(rest.size(), rest.find(' ')));
  while (!rest.empty()) {
    rest.remove_prefix(std::min(rest.size(), rest.find_first_not_of(", ")));
    const std::string_view field = rest.substr(0, rest.find(','));
    rest.remove_prefix(field.size());
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) return {};
    const auto value = FigureIn(field.substr(equals + 1));
    if (!value) return {};
    if (field.substr(0, equals) == "x0") report.remaining_share = value;
    if (field.substr(0, equals) == "x1") report.calls_per_second = value;
  }
  return report;
}

long Milliseconds(Seconds time) { return std::max(1L, static_cast<long>(std::floor(time * 1000))); }

}  // namespace

UpstreamCall::UpstreamCall(net::EventLoop& loop, HttpClient& client, EndpointId endpoint,
                           const sockaddr_in& to, std::vector<Member> members, Owner& owner)
    : loop_(loop),
      client_(client),
      endpoint_(endpoint),
      to_(to),
      members_(std::move(members)),
      owner_(owner),
      started_(loop.Now()) {}

UpstreamCall::~UpstreamCall() {
  for (Member& m : members_) loop_.Cancel(m.timer);
  if (!ended_) client_.Abandon(*this);
}

void UpstreamCall::Start() {
  for (Member& member : members_) {
    Member* m = &member;
    m->timer = loop_.At(m->timeout_at, [this, m] {
      m->timer = 0;
      Abandon(*m, Outcome::kTimeout, Outcome::kConnectFailed);
    });
  }
  client_.Start({to_, endpoint_}, *this);
}

bool UpstreamCall::AnyPending() const {
  return std::any_of(members_.begin(), members_.end(), [](const Member& m) { return m.pending; });
}

void UpstreamCall::EndIfSettled() {
  if (ended_ || AnyPending()) return;
  ended_ = true;
  owner_.OnCallEnded(*this);
}

void UpstreamCall::Settle(Member& member, Outcome outcome, Seconds wait, bool over) {
  if (!member.pending) return;
  // Danger: the loop takes bytes before timers. An answer read in the turn in which its time has ended is
  // late for the platform, which then waits for an end that nobody gives.
  if (outcome == Outcome::kServed && answered_ >= std::min(member.timeout_at, stated_until_))
    outcome = Outcome::kTimeout;
  member.pending = false;
  loop_.Cancel(member.timer);
  AttemptOutcome result;
  result.request_id = member.request_id;
  result.attempt = member.attempt;
  result.endpoint = endpoint_;
  result.outcome = outcome;
  result.duration = loop_.Now() - started_;
  result.retry_after = outcome == Outcome::kRejected ? wait : 0;
  result.request_ended = over || outcome == Outcome::kServed;
  result.load_report = report_;
  owner_.OnOutcome(*this, member, result);
}

void UpstreamCall::SettleAll(Outcome outcome, Seconds wait, bool over) {
  for (Member& m : members_) Settle(m, outcome, wait, over);
  EndIfSettled();
}

void UpstreamCall::Cancel(RequestId message, int attempt) {
  for (Member& m : members_)
    if (m.request_id == message && m.attempt == attempt)
      return Abandon(m, Outcome::kCancelled, Outcome::kNotSent);
}

// Others in the call may go on waiting. With the last one the call itself ends; what was not written whole
// by then has not run.
void UpstreamCall::Abandon(Member& member, Outcome if_written, Outcome if_not) {
  if (ended_ || !member.pending) return;
  const bool last =
      std::count_if(members_.begin(), members_.end(), [](const Member& m) { return m.pending; }) == 1;
  const auto state = last ? client_.Abandon(*this) : HttpClient::Abandoned{begun_, 0};
  if (state.status == 200 && !batch_) {
    Settle(member, Outcome::kServed);
  } else {
    Settle(member, state.written ? if_written : if_not);
  }
  EndIfSettled();
}

std::string UpstreamCall::OnReady() {
  for (Member& m : members_)
    if (m.pending && !owner_.MaySend(*this, m)) Settle(m, Outcome::kNotSent);
  for (Member& m : members_)
    if (m.pending && !owner_.RecordAttempt(*this, m)) Settle(m, Outcome::kLocalShortage);
  std::vector<const Member*> leave;
  for (const Member& m : members_)
    if (m.pending) leave.push_back(&m);
  if (leave.empty()) {
    EndIfSettled();
    return {};
  }
  begun_ = true;
  requests_sent_ = static_cast<int>(leave.size());
  batch_ = leave.size() > 1;
  // Danger: the platform ends a call with the time of its first message, and what is answered after that is
  // late for all of them. So the first is the one that waits longest, and the time stated is its own.
  std::stable_sort(leave.begin(), leave.end(),
                   [](const Member* a, const Member* b) { return a->timeout_at > b->timeout_at; });
  const long remaining = Milliseconds(leave.front()->timeout_at - loop_.Now());
  stated_until_ = loop_.Now() + static_cast<double>(remaining) / 1000;
  return batch_ ? WriteBatch(leave, remaining) : WriteSingle(*leave.front(), remaining);
}

bool UpstreamCall::Suffices(int status) {
  if (status != 200 || batch_) return false;
  answered_ = loop_.Now();
  return true;
}

std::string UpstreamCall::WriteSingle(const Member& m, long remaining) const {
  net::Headers headers = {{"Host", net::FormatAddress(to_)}, {"X-Txn", m.id}};
  if (!m.key.empty()) headers.emplace_back("Idempotency-Key", m.key);
  headers.emplace_back("X-Remaining-Ms", std::to_string(remaining));
  return net::WriteRequest("POST", "/hook", headers, m.body);
}

std::string UpstreamCall::WriteBatch(const std::vector<const Member*>& members, long remaining) const {
  json items = json::array();
  for (const Member* m : members) {
    items.push_back({{"id", m->id}, {"body", net::EncodeBase64(m->body)}});
    if (!m->key.empty()) items.back()["key"] = m->key;
  }
  return net::WriteRequest("POST", "/hook/batch",
                           {{"Host", net::FormatAddress(to_)},
                            {"Content-Type", "application/json"},
                            {"X-Remaining-Ms", std::to_string(remaining)}},
                           items.dump());
}

void UpstreamCall::OnAnswer(net::HttpMessage& answer) {
  const Seconds wait = WaitIn(answer);
  report_ = ReportIn(answer);
  if (answered_ < 0) answered_ = loop_.Now();
  switch (answer.status) {
    case 200:
      if (batch_) return ReadBatchStates(answer, wait);
      return SettleAll(Outcome::kServed);
    case 429:
      return SettleAll(Outcome::kRejected, wait);
    case 503: {
      const std::string* over_slots = answer.Header("X-Over-Slots");
      const bool slots = over_slots != nullptr && *over_slots == "1";
      if (slots) return SettleAll(Outcome::kNotSent);
      // It ends the connection that it has just been offered: it is short of connections, not over its limit.
      return SettleAll(answer.keep_alive || wait > 0 ? Outcome::kRejected : Outcome::kOutOfConnections, wait);
    }
    case 504:
      return SettleAll(Outcome::kNotSent);
    case 410:
      return SettleAll(Outcome::kNotSent, 0, true);
    case 500:
      return SettleAll(Outcome::kError);
    default:
      log::Error("endpoint_answer_unknown",
                 {{"address", net::FormatAddress(to_)}, {"status", answer.status}});
      return SettleAll(Outcome::kError);  // it may have run, for all that is known
  }
}

void UpstreamCall::ReadBatchStates(const net::HttpMessage& answer, Seconds wait) {
  std::unordered_map<std::string, std::string> states;
  const json list = json::parse(answer.body, nullptr, false);
  if (list.is_array()) {
    for (const json& item : list) {
      if (!item.is_object()) continue;
      const auto id = item.find("id"), state = item.find("state");
      if (id != item.end() && id->is_string() && state != item.end() && state->is_string())
        states[id->get<std::string>()] = state->get<std::string>();
    }
  } else {
    log::Error("batch_answer_unreadable", {{"address", net::FormatAddress(to_)}});
  }
  for (Member& m : members_) {
    const std::string& state = states[m.id];
    if (!m.pending) {
      if (state == "done") owner_.OnServedLate(m.request_id);
    } else if (state == "done") {
      Settle(m, Outcome::kServed);
    } else if (state == "busy") {
      Settle(m, Outcome::kRejected, wait);
    } else if (state == "used_up" || state == "void") {
      Settle(m, Outcome::kNotSent, 0, state == "void");
    } else {
      Settle(m, Outcome::kError);  // failed, or nothing was said of it: it may have run
    }
  }
  EndIfSettled();
}

void UpstreamCall::OnBroken(HttpClient::Broken how, int status) {
  if (how == HttpClient::Broken::kNoRoom) return SettleAll(Outcome::kLocalShortage);
  if (how != HttpClient::Broken::kReset) return SettleAll(Outcome::kConnectFailed);
  // A first line with 200 is a delivery, whatever becomes of the rest; of several the whole answer counts.
  SettleAll(status == 200 && !batch_ ? Outcome::kServed : Outcome::kReset);
}

HealthCheckCall::HealthCheckCall(net::EventLoop& loop, HttpClient& client, EndpointId endpoint,
                                 const sockaddr_in& to, Seconds longest, MaySend may_leave, Done done)
    : loop_(loop),
      client_(client),
      endpoint_(endpoint),
      to_(to),
      longest_(longest),
      started_(loop.Now()),
      may_send_(std::move(may_leave)),
      done_(std::move(done)) {}

HealthCheckCall::~HealthCheckCall() {
  loop_.Cancel(timer_);
  if (!ended_) client_.Abandon(*this);
}

void HealthCheckCall::Start() {
  timer_ = loop_.At(started_ + longest_, [this] {
    timer_ = 0;
    client_.Abandon(*this);
    Finish(Outcome::kTimeout);
  });
  client_.Start({to_, endpoint_}, *this);
}

// A probe counts as a call: a drain or a wait that was told while its connection came up binds it as well.
std::string HealthCheckCall::OnReady() {
  if (!may_send_()) {
    Finish(Outcome::kNotSent);
    return {};
  }
  return net::WriteRequest("GET", "/health/live", {{"Host", net::FormatAddress(to_)}}, "");
}

void HealthCheckCall::OnAnswer(net::HttpMessage& answer) {
  const bool turned_away = answer.status == 503 || answer.status == 429;
  Finish(answer.status == 200 ? Outcome::kServed
         : turned_away        ? Outcome::kRejected
                              : Outcome::kError,
         ReportIn(answer));
}

void HealthCheckCall::OnBroken(HttpClient::Broken how, int) {
  Finish(how == HttpClient::Broken::kReset    ? Outcome::kReset
         : how == HttpClient::Broken::kNoRoom ? Outcome::kLocalShortage
                                              : Outcome::kConnectFailed);
}

void HealthCheckCall::Finish(Outcome outcome, const LoadReport& report) {
  loop_.Cancel(timer_);
  ended_ = true;
  done_(*this, {endpoint_, outcome, loop_.Now() - started_, report});
}

}  // namespace opalroute
