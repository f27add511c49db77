// The relay program: reads its configuration, serves until it is told to stop, and says what it has done.
#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

#include "config/config.h"
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
    while (read(fd_, &info, sizeof(info)) == sizeof(info)) (info.ssi_signo == SIGHUP ? reload_ : stop_)();
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

}  // namespace

int main() {
  spdlog::set_default_logger(spdlog::stdout_logger_st("opalroute"));
  spdlog::flush_on(spdlog::level::info);
  signal(SIGPIPE, SIG_IGN);
  const sigset_t blocked = BlockSignals();
  try {
    const opalroute::Config config = opalroute::config::Load(Variable);
    const opalroute::net::SystemClock clock;
    opalroute::net::EventLoop loop(clock);
    opalroute::Relay relay(loop, config);
    const Signals signals(
        loop, blocked, [&] { relay.Stop([&] { loop.Stop(); }); },
        [&] { relay.Reload([] { return opalroute::config::Reload(Variable); }); });
    spdlog::info("{} listens on {}", config.name, opalroute::net::FormatAddress(relay.address()));
    loop.Run();
    spdlog::info("counters {}", relay.counters().Print());
  } catch (const std::exception& error) {
    spdlog::error("opalroute: {}", error.what());
    return 1;
  }
  return 0;
}
