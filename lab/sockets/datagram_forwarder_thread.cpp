#include "lab/sockets/datagram_forwarder_thread.h"

#include <algorithm>

namespace opalroute::lab {

DatagramForwarderThread::DatagramForwarderThread(int relays, const LinkSettings& links, std::uint64_t seed)
    : loop_(clock_),
      forwarder_(loop_, relays, links, seed,
                 [this] {
                   const Seconds start = start_;
                   return start > 0 ? loop_.Now() - start : 0;
                 }),
      thread_([this] { Run(); }) {}

DatagramForwarderThread::~DatagramForwarderThread() { Stop(); }

void DatagramForwarderThread::Stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

void DatagramForwarderThread::SetRunning(int relay, bool running) {
  const std::lock_guard<std::mutex> lock(mutex_);
  changes_.emplace_back(relay, running);
}

void DatagramForwarderThread::Run() {
  Tick(loop_.Now());
  while (!stopping_) loop_.RunOnce(kTickInterval);
}

void DatagramForwarderThread::Tick(Seconds due) {
  if (start_ > 0) {  // starting relays use up the machine's cores, and the run is not measured yet
    const Seconds lateness = std::max(0.0, loop_.Now() - due);
    lateness_.Add(lateness);
    max_lateness_ = std::max(max_lateness_, lateness);
  }
  std::vector<std::pair<int, bool>> changes;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    changes.swap(changes_);
  }
  for (const auto& [relay, running] : changes) forwarder_.SetRunning(relay, running);
  const Seconds next = loop_.Now() + kTickInterval;
  loop_.At(next, [this, next] { Tick(next); });
}

}  // namespace opalroute::lab
