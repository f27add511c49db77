// The relay program: reads its configuration, serves until it is told to stop, and says what it has done.
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

#include "cli/command_line.h"
#include "cli/pool_command.h"
#include "cli/snapshot_command.h"
#include "cli/zones_command.h"
#include "config/config.h"
#include "log/log.h"
#include "net/address.h"
#include "net/event_loop.h"
#include "relay/relay.h"

namespace {

// Danger: a signal that comes before they are blocked ends the process, and SIGHUP means no such thing.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, number);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

class Signals : public opalroute::net::EventHandler {
 public:
  Signals(opalroute::net::EventLoop& loop, const sigset_t& signals, std::function<void()> stop,
          std::function<void()> reload)
      : loop_(loop),
        stop_(std::move(stop)),
        reload_(std::move(reload)),
        fd_(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC)) {
    if (fd_ < 0 || !loop_.Add(fd_, this)) throw std::system_error(errno, std::generic_category(), "signalfd");
  }
  ~Signals() override {
    loop_.Remove(fd_);
    close(fd_);
  }
  void OnEvents(std::uint32_t) override {
    signalfd_siginfo info;
    for (;;) {
      const ssize_t count = read(fd_, &info, sizeof(info));
      if (count < 0 && errno == EINTR) continue;
      if (count != sizeof(info)) return;
      (info.ssi_signo == SIGHUP ? reload_ : stop_)();
    }
  }

 private:
  opalroute::net::EventLoop& loop_;
  std::function<void()> stop_, reload_;
  int fd_;
};

std::optional<std::string> Variable(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr) return std::nullopt;
  return std::string(value);
}

int Run(const opalroute::Operator& settings) {
  const sigset_t blocked = BlockSignals();
  const opalroute::Config config = opalroute::config::Load(Variable);
  const opalroute::net::SystemClock clock;
  opalroute::net::EventLoop loop(clock);
  opalroute::Relay relay(loop, config, settings);
  const Signals signals(
      loop, blocked, [&] { relay.Stop([&] { loop.Stop(); }); },
      [&] { relay.Reload([] { return opalroute::config::Reload(Variable); }); });
  opalroute::log::Info("listening",
                       {{"name", config.name}, {"address", opalroute::net::FormatAddress(relay.address())}});
  loop.Run();
  opalroute::log::Info("counters", {{"all", relay.counters().ToJson()}});
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const opalroute::cli::Parsed parsed = opalroute::cli::Parse(argc, argv, Variable);
  if (parsed.exits) return parsed.exit_code;
  const opalroute::cli::Order& order = parsed.order;
  if (order.command == opalroute::cli::Command::kSnapshot)
    return opalroute::cli::PrintSnapshot(order.snapshot_of, order.as_json);
  if (order.command == opalroute::cli::Command::kCheck) return opalroute::cli::Check(order, Variable);
  if (order.command == opalroute::cli::Command::kZones)
    return opalroute::cli::Zones(order.zones, order.as_json);
  for (const std::string& fault : order.faults) std::cerr << fault << '\n';
  if (!order.faults.empty()) return 2;
  if (order.command == opalroute::cli::Command::kPool)
    return opalroute::cli::PrintPool(order.pool_of, order.as_json, order.settings, Variable);
  const opalroute::Operator& settings = order.settings;
  opalroute::log::Start(settings.log_json ? opalroute::log::Form::kJson : opalroute::log::Form::kText,
                        spdlog::level::from_str(settings.log_level));
  try {
    return Run(settings);
  } catch (const std::exception& error) {
    opalroute::log::Error("not_started", {{"why", error.what()}});
    return 1;
  }
}
