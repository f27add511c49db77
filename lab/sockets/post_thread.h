// The forwarder of datagrams in a thread of its own: with hundreds of relays it passes on tens of thousands a
// second, which would make everything else in the laboratory late. It owns its event loop; what crosses over
// is who is there, when the run began, and at the end its counts.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "lab/result.h"
#include "lab/sockets/post.h"
#include "net/clock.h"
#include "net/event_loop.h"

namespace opalroute::lab {

class PostThread {
 public:
  // Throws std::system_error if there is no room for its sockets.
  PostThread(int relays, const LinkSettings& links, std::uint64_t seed);
  ~PostThread();
  PostThread(const PostThread&) = delete;
  PostThread& operator=(const PostThread&) = delete;

  sockaddr_in ListenOf(int relay) const { return post_.ListenOf(relay); }
  std::vector<sockaddr_in> Peers() const { return post_.Peers(); }
  // The run's time is counted from here, by this machine's clock; before, no cut holds.
  void Begin(Seconds start) { start_ = start; }
  void SetThere(int relay, bool there);  // known to the thread within `kLook`

  // Ends the thread. After that:
  void Stop();
  long passed() const { return post_.passed(); }
  long bytes() const { return post_.bytes(); }
  Seconds lateness_p99() const { return lateness_.At(0.99); }
  Seconds lateness_most() const { return most_late_; }

 private:
  static constexpr Seconds kLook = 0.005;  // it looks at who is there, and at itself, so often
  void Run();
  void Beat(Seconds due);

  const net::SystemClock clock_;
  net::EventLoop loop_;
  std::atomic<Seconds> start_{0};
  Post post_;
  std::mutex lock_;
  std::vector<std::pair<int, bool>> changes_;  // of who is there; under `lock_`
  LatencyHistogram lateness_;
  Seconds most_late_ = 0;
  std::atomic<bool> ends_{false};
  std::thread thread_;  // the last one: it uses all others
};

}  // namespace opalroute::lab
