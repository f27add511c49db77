// The relay program: parses the command line, runs the relay until a signal stops it, or runs another
// command.
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
#include "net/allocator.h"
#include "net/event_loop.h"
#include "relay/relay.h"

namespace {

// Must run before anything else is set up: until the signals are blocked each of them ends the process, also
// SIGHUP, which is to reload the configuration.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, number);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// Receives the blocked signals through the event loop: SIGHUP reloads, the others stop.
class SignalHandler : public opalroute::net::EventHandler {
 public:
  SignalHandler(opalroute::net::EventLoop& loop, const sigset_t& signals, std::function<void()> stop,
                std::function<void()> reload)
      : loop_(loop),
        stop_(std::move(stop)),
        reload_(std::move(reload)),
        fd_(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC)) {
    if (fd_ < 0 || !loop_.Add(fd_, this)) throw std::system_error(errno, std::generic_category(), "signalfd");
  }
  ~SignalHandler() override {
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

std::optional<std::string> EnvironmentVariable(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr) return std::nullopt;
  return std::string(value);
}

// `started` tells how far the program has come if it throws.
int Run(const opalroute::OperatorSettings& settings, bool& started) {
  const sigset_t blocked = BlockSignals();
  opalroute::net::ReturnLargeBlocksWhenFreed();
  const opalroute::Config config = opalroute::config::Load(EnvironmentVariable);
  const opalroute::net::SystemClock clock;
  opalroute::net::EventLoop loop(clock);
  opalroute::Relay relay(loop, config, settings);
  const SignalHandler signals(
      loop, blocked, [&] { relay.Stop([&] { loop.Stop(); }); },
      [&] { relay.Reload([] { return opalroute::config::Reload(EnvironmentVariable); }); });
  opalroute::log::Info("listening",
                       {{"name", config.name}, {"address", opalroute::net::FormatAddress(relay.address())}});
  started = true;
  loop.Run();
  opalroute::log::Info("counters", {{"all", relay.counters().ToJson()}});
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const opalroute::cli::Parsed parsed = opalroute::cli::Parse(argc, argv, EnvironmentVariable);
  if (parsed.should_exit) return parsed.exit_status;
  const opalroute::cli::Invocation& invocation = parsed.invocation;
  if (invocation.command == opalroute::cli::Command::kSnapshot)
    return opalroute::cli::PrintSnapshot(invocation.snapshot_source, invocation.as_json);
  if (invocation.command == opalroute::cli::Command::kCheck)
    return opalroute::cli::Check(invocation, EnvironmentVariable);
  if (invocation.command == opalroute::cli::Command::kZones)
    return opalroute::cli::Zones(invocation.zones, invocation.as_json);
  for (const std::string& error : invocation.errors) std::cerr << error << '\n';
  if (!invocation.errors.empty()) return 2;
  if (invocation.command == opalroute::cli::Command::kPool)
    return opalroute::cli::PrintPool(invocation.pool_source, invocation.as_json, invocation.settings,
                                     EnvironmentVariable);
  const opalroute::OperatorSettings& settings = invocation.settings;
  opalroute::log::Start(
      settings.log_json ? opalroute::log::LineFormat::kJson : opalroute::log::LineFormat::kText,
      spdlog::level::from_str(settings.log_level));
  bool started = false;
  try {
    return Run(settings, started);
  } catch (const std::exception& error) {
    opalroute::log::Error(started ? "ended_by_error" : "not_started", {{"why", error.what()}});
    return 1;
  }
}
