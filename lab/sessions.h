// The connections that a stand-in has accepted, each with a session of its own. A session has Open(fd), which
// says whether it stands, and Shut().
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
    for (const auto& [key, session] : all_) session->Shut();
  }
  Sessions(const Sessions&) = delete;
  Sessions& operator=(const Sessions&) = delete;

  void Adopt(std::unique_ptr<Session> session, int fd) {
    Session* const key = session.get();
    if (session->Open(fd)) all_.emplace(key, std::move(session));
  }
  // It stands until the loop's turn is over; dropping it once more does nothing.
  void Drop(Session& session) {
    const auto it = all_.find(&session);
    if (it == all_.end()) return;
    session.Shut();
    loop_.Retire(std::move(it->second));
    all_.erase(it);
  }
  const std::map<Session*, std::unique_ptr<Session>>& all() const { return all_; }

 private:
  net::EventLoop& loop_;
  std::map<Session*, std::unique_ptr<Session>> all_;
};

}  // namespace opalroute::lab
