// The accepted connections of a fake server, each with a session. A session type has Open(fd), which returns
// false if the connection could not be set up, and Close().
#pragma once

#include <map>
#include <memory>
#include <utility>

#include "net/event_loop.h"

namespace opalroute::lab {

template <typename Session>
class Sessions {
 public:
  explicit Sessions(net::EventLoop& loop) : loop_(loop) {}
  ~Sessions() {
    for (const auto& [key, session] : all_) session->Close();
  }
  Sessions(const Sessions&) = delete;
  Sessions& operator=(const Sessions&) = delete;

  void Add(std::unique_ptr<Session> session, int fd) {
    Session* const key = session.get();
    if (session->Open(fd)) all_.emplace(key, std::move(session));
  }
  // Closes the session. It is destroyed only after the current iteration of the event loop, so a second call
  // is harmless.
  void Remove(Session& session) {
    const auto it = all_.find(&session);
    if (it == all_.end()) return;
    session.Close();
    loop_.Retire(std::move(it->second));
    all_.erase(it);
  }
  const std::map<Session*, std::unique_ptr<Session>>& all() const { return all_; }

 private:
  net::EventLoop& loop_;
  std::map<Session*, std::unique_ptr<Session>> all_;
};

}  // namespace opalroute::lab
