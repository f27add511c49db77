#include "lab/sockets/post_thread.h"

#include <algorithm>

namespace opalroute::lab {

PostThread::PostThread(int relays, const LinkSettings& links, std::uint64_t seed)
    : loop_(clock_),
      post_(loop_, relays, links, seed,
            [this] {
              const Seconds start = start_;
              return start > 0 ? loop_.Now() - start : 0;
            }),
      thread_([this] { Run(); }) {}

PostThread::~PostThread() { Stop(); }

void PostThread::Stop() {
  ends_ = true;
  if (thread_.joinable()) thread_.join();
}

void PostThread::SetThere(int relay, bool there) {
  const std::lock_guard<std::mutex> hold(lock_);
  changes_.emplace_back(relay, there);
}

void PostThread::Run() {
  Beat(loop_.Now());
  while (!ends_) loop_.RunOnce(kLook);
}

void PostThread::Beat(Seconds due) {
  if (start_ > 0) {  // relays that start take this machine's cores; nothing is judged by then
    const Seconds late = std::max(0.0, loop_.Now() - due);
    lateness_.Add(late);
    most_late_ = std::max(most_late_, late);
  }
  std::vector<std::pair<int, bool>> changes;
  {
    const std::lock_guard<std::mutex> hold(lock_);
    changes.swap(changes_);
  }
  for (const auto& [relay, there] : changes) post_.SetThere(relay, there);
  const Seconds next = loop_.Now() + kLook;
  loop_.At(next, [this, next] { Beat(next); });
}

}  // namespace opalroute::lab
