#include "relay/listener_takeover.h"

#include <cerrno>
#include <system_error>
#include <utility>

#include "log/log.h"

namespace opalroute {
namespace {

bool IsAddressInUse(const std::system_error& error) { return error.code().value() == EADDRINUSE; }

}  // namespace

void ListenerTakeover::Open(const std::string& name, std::function<void()> open) {
  try {
    open();
  } catch (const std::system_error& error) {
    if (!two_processes_ || !IsAddressInUse(error)) throw;
    log::Warn("listener_waits", {{"listener", name}, {"why", error.what()}});
    waiting_.push_back({name, std::move(open)});
  }
}

// Returns whether the listener was opened.
bool ListenerTakeover::TryOpen(Listener& listener) {
  try {
    listener.open();
  } catch (const std::system_error& error) {
    if (!IsAddressInUse(error) && !std::exchange(listener.error_logged, true)) {
      log::Warn("listener_waits", {{"listener", listener.name}, {"why", error.what()}});
    }
    return false;
  }
  log::Info("listener_taken_over", {{"listener", listener.name}});
  return true;
}

void ListenerTakeover::Retry() {
  std::vector<Listener> still_waiting;
  for (Listener& listener : waiting_) {
    if (!TryOpen(listener)) still_waiting.push_back(std::move(listener));
  }
  waiting_ = std::move(still_waiting);
}

}  // namespace opalroute
