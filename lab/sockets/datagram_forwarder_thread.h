// Runs the datagram forwarder in its own thread: with hundreds of relays it forwards tens of thousands of
// datagrams a second, which would delay everything else in the laboratory. The thread has its own event loop;
// it shares only which relays are running, when the run began and, after Stop(), its counts.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "lab/result.h"
#include "lab/sockets/datagram_forwarder.h"
#include "net/clock.h"
#include "net/event_loop.h"

namespace opalroute::lab {

class DatagramForwarderThread {
 public:
  // Throws std::system_error if the sockets cannot be opened.
  DatagramForwarderThread(int relays, const LinkSettings& links, std::uint64_t seed);
  ~DatagramForwarderThread();
  DatagramForwarderThread(const DatagramForwarderThread&) = delete;
  DatagramForwarderThread& operator=(const DatagramForwarderThread&) = delete;

  sockaddr_in RelayAddress(int relay) const { return forwarder_.RelayAddress(relay); }
  std::vector<sockaddr_in> PeerAddresses() const { return forwarder_.PeerAddresses(); }
  // Sets when the run began, by net::SystemClock. Until then the run's time is 0.
  void Begin(Seconds start) { start_ = start; }
  void SetRunning(int relay, bool running);  // takes effect within kTickInterval

  void Stop();  // ends the thread
  // The following are valid after Stop().
  long forwarded() const { return forwarder_.forwarded(); }
  long bytes() const { return forwarder_.bytes(); }
  Seconds lateness_p99() const { return lateness_.Quantile(0.99); }
  Seconds max_lateness() const { return max_lateness_; }

 private:
  // At this interval the thread applies SetRunning() and measures its own lateness.
  static constexpr Seconds kTickInterval = 0.005;
  void Run();
  void Tick(Seconds due);

  const net::SystemClock clock_;
  net::EventLoop loop_;
  std::atomic<Seconds> start_{0};
  DatagramForwarder forwarder_;
  std::mutex mutex_;
  std::vector<std::pair<int, bool>> changes_;  // pending SetRunning() calls; guarded by mutex_
  LatencyHistogram lateness_;
  Seconds max_lateness_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread thread_;  // last: it uses all other members
};

}  // namespace opalroute::lab
