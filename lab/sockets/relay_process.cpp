#include "lab/sockets/relay_process.h"

#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <utility>

#include "net/address.h"

namespace opalroute::lab {

namespace {

constexpr net::Seconds kReadyTimeout = 15;  // a relay that is not ready by then counts as crashed

net::ClientBounds MakeClientBounds() {
  net::ClientBounds bounds;
  bounds.http = {16 * 1024, 64, 64 * 1024};
  bounds.request_bytes = 4096;
  bounds.connections = 2;
  bounds.connect_timeout = bounds.idle_timeout = bounds.response_timeout = bounds.response_rest_timeout = 1;
  return bounds;
}

}  // namespace

class RelayProcess::ReadinessCheck : public net::HttpClient::Call {
 public:
  explicit ReadinessCheck(RelayProcess& relay) : relay_(relay) {}

 private:
  std::string OnReady() override { return net::FormatRequest("GET", "/health/ready", {{"Host", "lab"}}, {}); }
  void OnResponse(net::HttpMessage& response) override { End(response.status == 200); }
  void OnFailure(net::HttpClient::Failure, int) override { End(false); }
  void End(bool ready) {
    RelayProcess& relay = relay_;
    relay.loop_.Retire(std::move(relay.readiness_check_));
    if (!ready || relay.ready_ || relay.stopping() || !relay.running()) return;
    relay.ready_ = true;
    relay.owner_.OnReady(relay.number_);
  }
  RelayProcess& relay_;
};

class RelayProcess::AdminRequest : public net::HttpClient::Call {
 public:
  AdminRequest(RelayProcess& relay, std::string request) : relay_(relay), request_(std::move(request)) {}

 private:
  std::string OnReady() override { return request_; }
  void OnResponse(net::HttpMessage&) override { relay_.loop_.Retire(std::move(relay_.admin_request_)); }
  void OnFailure(net::HttpClient::Failure, int) override {
    relay_.loop_.Retire(std::move(relay_.admin_request_));
  }
  RelayProcess& relay_;
  const std::string request_;
};

RelayProcess::RelayProcess(net::EventLoop& loop, int number, Options options, Owner& owner)
    : loop_(loop),
      number_(number),
      options_(std::move(options)),
      owner_(owner),
      client_(loop, MakeClientBounds()) {
  std::filesystem::create_directories(options_.folder + "/state");
  if (options_.has_admin_address) admin_listen_.emplace();
}

RelayProcess::~RelayProcess() {
  if (readiness_check_) client_.Abandon(*readiness_check_);
  if (admin_request_) client_.Abandon(*admin_request_);
}

void RelayProcess::WriteConfig() {
  std::ofstream(options_.folder + "/config.json")
      << options_.config(net::FormatAddress(address())).dump(1) << '\n';
}

void RelayProcess::Start() {
  ready_ = frozen_ = false;
  schedule_.OnStarted();
  started_at_ = loop_.Now();
  WriteConfig();
  std::vector<std::string> arguments = options_.arguments;
  if (admin_listen_)
    arguments.insert(arguments.end(), {"--admin-listen", net::FormatAddress(admin_listen_->address())});
  ++starts_;
  const std::string state = options_.folder + "/state";
  std::map<std::string, std::string> variables;
  if (options_.variables) variables = options_.variables(state);
  variables.insert({{"EDGE_CONFIG", options_.folder + "/config.json"}, {"EDGE_STATE", state}});
  process_ = std::make_unique<Process>(options_.program, arguments, variables, options_.folder + "/log");
}

void RelayProcess::Poll() {
  const net::Seconds now = loop_.Now();
  if (schedule_.IsStartDue(now)) {
    Start();
    return owner_.OnRestart(number_);
  }
  if (!process_) return;
  if (const auto exit = process_->PollExit()) {
    const bool was_stopping = stopping();
    process_.reset();
    ready_ = false;
    schedule_.OnExited();
    return was_stopping ? owner_.OnExit(number_) : owner_.OnCrash(number_, *exit);
  }
  if (schedule_.IsKillDue(now)) SendKill();
  if (ready_ || stopping()) return;
  if (now < started_at_ + kReadyTimeout) return CheckReadiness();
  process_.reset();
  schedule_.OnExited();
  owner_.OnCrash(number_, "not ready in time");
}

void RelayProcess::CheckReadiness() {
  if (readiness_check_) return;
  readiness_check_ = std::make_unique<ReadinessCheck>(*this);
  client_.Start({address(), 0}, *readiness_check_);
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

void RelayProcess::PostToAdmin(const std::string& path, std::string body) {
  if (!process_ || admin_request_ || !admin_listen_) return;
  admin_request_ =
      std::make_unique<AdminRequest>(*this, net::FormatRequest("POST", path, {{"Host", "lab"}}, body));
  client_.Start({admin_listen_->address(), 0}, *admin_request_);
}

std::optional<ProcessSample> RelayProcess::Sample() const {
  if (!process_) return std::nullopt;
  return process_->Sample();
}

std::string RelayProcess::LogTail() const {
  return process_ ? process_->LogTail() : Process::ReadLogTail(options_.folder + "/log");
}

}  // namespace opalroute::lab
