// Two processes of one relay may run at once, while one takes over from the other. Each sits on a seat of its
// own: a lock file that the end of the process releases, however it ends. What is named by a seat's number in
// the state folder belongs to who sits there.
#pragma once

#include <array>
#include <functional>
#include <string>

namespace opalroute::hot_restart {

constexpr int kProcessSlots = 2;

class ProcessLock {
 public:
  // Takes a free seat. `others_may_run`: another process is expected; else the first seat is the only one.
  // Throws std::system_error if the folder can't be used, std::runtime_error if no seat is free.
  ProcessLock(const std::string& folder, bool others_may_run);
  ~ProcessLock();
  ProcessLock(const ProcessLock&) = delete;
  ProcessLock& operator=(const ProcessLock&) = delete;

  int own() const { return own_; }
  int other() const { return kProcessSlots - 1 - own_; }
  // Runs `take_over` if nobody sits on the other seat, and nobody can sit down meanwhile.
  void RunIfOtherIsFree(const std::function<void()>& take_over);

 private:
  bool TryLock(int seat) const;
  void CloseAll();

  std::array<int, kProcessSlots> files_;
  int own_ = -1;
};

}  // namespace opalroute::hot_restart
