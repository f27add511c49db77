#include "lab/sockets/relay_process.h"

#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <utility>

#include "net/address.h"

namespace opalroute::lab {

namespace {

constexpr net::Seconds kToReady = 15;  // a relay that is not ready by then is not started

net::ClientBounds Bounds() {
  net::ClientBounds bounds;
  bounds.http = {16 * 1024, 64, 64 * 1024};
  bounds.request_bytes = 4096;
  bounds.connections = 2;
  bounds.connect_timeout = bounds.idle_timeout = bounds.response_timeout = bounds.response_rest_timeout = 1;
  return bounds;
}

}  // namespace

class RelayProcess::Check : public net::HttpClient::Call {
 public:
  explicit Check(RelayProcess& relay) : relay_(relay) {}

 private:
  std::string OnReady() override { return net::FormatRequest("GET", "/health/ready", {{"Host", "lab"}}, {}); }
  void OnResponse(net::HttpMessage& answer) override { End(answer.status == 200); }
  void OnFailure(net::HttpClient::Failure, int) override { End(false); }
  void End(bool ready) {
    RelayProcess& relay = relay_;
    relay.loop_.Retire(std::move(relay.check_));
    if (!ready || relay.ready_ || relay.stopping() || !relay.running()) return;
    relay.ready_ = true;
    relay.owner_.OnReady(relay.number_);
  }
  RelayProcess& relay_;
};

class RelayProcess::Posted : public net::HttpClient::Call {
 public:
  Posted(RelayProcess& relay, std::string request) : relay_(relay), request_(std::move(request)) {}

 private:
  std::string OnReady() override { return request_; }
  void OnResponse(net::HttpMessage&) override { relay_.loop_.Retire(std::move(relay_.posted_)); }
  void OnFailure(net::HttpClient::Failure, int) override { relay_.loop_.Retire(std::move(relay_.posted_)); }
  RelayProcess& relay_;
  const std::string request_;
};

RelayProcess::RelayProcess(net::EventLoop& loop, int number, Plan plan, Owner& owner)
    : loop_(loop), number_(number), plan_(std::move(plan)), owner_(owner), client_(loop, Bounds()) {
  std::filesystem::create_directories(plan_.folder + "/state");
  if (plan_.has_pages) pages_.emplace();
}

RelayProcess::~RelayProcess() {
  if (check_) client_.Abandon(*check_);
  if (posted_) client_.Abandon(*posted_);
}

void RelayProcess::WriteConfig() {
  std::ofstream(plan_.folder + "/config.json") << plan_.config(net::FormatAddress(address())).dump(1) << '\n';
}

void RelayProcess::Start() {
  ready_ = frozen_ = false;
  schedule_.OnStarted();
  launched_ = loop_.Now();
  WriteConfig();
  std::vector<std::string> arguments = plan_.arguments;
  if (pages_) arguments.insert(arguments.end(), {"--admin-listen", net::FormatAddress(pages_->address())});
  ++starts_;
  const std::string state = plan_.folder + "/state";
  std::map<std::string, std::string> variables;
  if (plan_.variables) variables = plan_.variables(state);
  variables.insert({{"EDGE_CONFIG", plan_.folder + "/config.json"}, {"EDGE_STATE", state}});
  process_ = std::make_unique<Process>(plan_.program, arguments, variables, plan_.folder + "/log");
}

void RelayProcess::Poll() {
  const net::Seconds now = loop_.Now();
  if (schedule_.IsStartDue(now)) {
    Start();
    return owner_.OnStart(number_);
  }
  if (!process_) return;
  if (const auto how = process_->Ended()) {
    const bool was_told = stopping();
    process_.reset();
    ready_ = false;
    schedule_.OnEnded();
    return was_told ? owner_.OnEnd(number_) : owner_.OnCrash(number_, *how);
  }
  if (schedule_.IsKillDue(now)) SendKill();
  if (ready_ || stopping()) return;
  if (now < launched_ + kToReady) return Ask();
  process_.reset();
  schedule_.OnEnded();
  owner_.OnCrash(number_, "it was not ready in time");
}

void RelayProcess::Ask() {
  if (check_) return;
  check_ = std::make_unique<Check>(*this);
  client_.Start({address(), 0}, *check_);
}

void RelayProcess::Terminate(net::Seconds down) {
  if (!schedule_.OnTerminate(loop_.Now(), down)) return;
  ready_ = false;
  Thaw();
  process_->Signal(SIGTERM);
}

void RelayProcess::Kill(net::Seconds down) {
  if (!schedule_.OnKill(loop_.Now(), down)) return;
  ready_ = false;
  SendKill();
  process_.reset();
  owner_.OnKilled(number_);
}

void RelayProcess::SendKill() {
  killed_at_.try_emplace(starts_, loop_.Now());
  process_->Signal(SIGKILL);
}

bool RelayProcess::WasKilled(int start, net::Seconds by) const {
  const auto killed = killed_at_.find(start);
  return killed != killed_at_.end() && killed->second <= by;
}

void RelayProcess::Freeze() {
  if (!process_) return;
  frozen_ = true;
  process_->Signal(SIGSTOP);
}

void RelayProcess::Thaw() {
  if (process_ && std::exchange(frozen_, false)) process_->Signal(SIGCONT);
}

void RelayProcess::Reload() {
  if (!process_) return;
  WriteConfig();
  process_->Signal(SIGHUP);
}

void RelayProcess::Order(const std::string& path, std::string body) {
  if (!process_ || posted_ || !pages_) return;
  posted_ = std::make_unique<Posted>(*this, net::FormatRequest("POST", path, {{"Host", "lab"}}, body));
  client_.Start({pages_->address(), 0}, *posted_);
}

std::optional<ProcessSample> RelayProcess::Sample() const {
  if (!process_) return std::nullopt;
  return process_->Sample();
}

std::string RelayProcess::LastLog() const {
  return process_ ? process_->LastLog() : Process::LastLogOf(plan_.folder + "/log");
}

}  // namespace opalroute::lab
