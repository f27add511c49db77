// Where the pool's list comes from; discovery over HTTP is one such source.
#pragma once

#include <netinet/in.h>

#include <string>
#include <vector>

namespace opalroute {

struct PoolMember {
  enum class State { kReady, kDraining, kGone };
  std::string id, zone, kind;
  sockaddr_in address{};
  long long destination = 0;
  State state = State::kReady;
  double weight = 0;
};

struct PoolNews {
  bool whole = false;   // else only what has changed
  bool of_list = true;  // else another source has spoken, and the list may not have come yet
  std::vector<PoolMember> members;
  bool older = false;        // a whole list that goes back behind what was told: it takes no drain back
  long long generation = 0;  // discovery's number of the list that this leads to; 0: none
};

class PoolSource {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnPoolNews(const PoolNews& news) = 0;
    virtual void OnPoolConfirmed() {}  // the watch says that nothing has changed
    virtual void OnPoolFailed() = 0;   // a try to watch has failed, or the watch has ended
  };

  virtual ~PoolSource() = default;
  // Begins one more try to watch the list, or ends all watching. A watch that stands goes on until the try
  // has brought the list.
  virtual void Watch(bool on) = 0;
};

}  // namespace opalroute
