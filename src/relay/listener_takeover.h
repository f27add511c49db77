// Opens listeners at addresses that an earlier process of this relay may still use. During a hot restart the
// new process starts without such a listener and opens it once the earlier process lets go of the address.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace opalroute {

class ListenerTakeover {
 public:
  // `two_processes`: another process of this relay may run at the same time.
  explicit ListenerTakeover(bool two_processes) : two_processes_(two_processes) {}

  // Calls `open`, which opens the listener `name` or throws std::system_error. If two processes may run and
  // the address is in use, logs that, and Retry calls `open` again. Any other error is thrown.
  void Open(const std::string& name, std::function<void()> open);
  // Tries again to open the listeners that wait. Throws nothing: one that fails keeps waiting.
  void Retry();

  // Number of listeners that wait for their address.
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Listener {
    std::string name;
    std::function<void()> open;
    bool error_logged = false;
  };

  static bool TryOpen(Listener& listener);

  const bool two_processes_;
  std::vector<Listener> waiting_;
};

}  // namespace opalroute
