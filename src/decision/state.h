// Plain tools and records of the decision module, without a decision or a tuned value of their own.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "decision/never.h"
#include "decision/outcome.h"
#include "decision/random.h"
#include "decision/token_bucket.h"
#include "opalroute/events.h"

namespace opalroute {

struct Latency {  // smoothed mean; 0: nothing is known
  double mean = 0;
  Seconds at = -kNever;  // of the newest value
  void Add(Seconds value, double gain, Seconds now) {
    mean = mean > 0 ? mean + gain * (value - mean) : value;
    at = now;
  }
};

struct Attempt {
  EndpointId endpoint = 0;
  int zone = 0;
  std::uint64_t call = 0;
  Seconds sent = 0;
  bool out = true, may_have_run = false;
};

struct Call {  // with as many messages as were bundled
  EndpointId endpoint = 0;
  Seconds sent = 0;
  int messages = 0;  // without an outcome
  bool called_off = false, judged = false;
  std::vector<std::pair<RequestId, int>> attempts;
};

using BucketKey = std::tuple<int, bool, int>;  // class, above its share, zone that it is bound to or -1
using Line = std::set<std::pair<Seconds, RequestId>>;

struct Message : NewRequest {
  bool over_share = false, over = false, released = false;  // released: no longer held
  Seconds handed_in = 0, deadline = 0, not_before = 0, expiry = kNever;
  std::vector<Attempt> attempts;
  int out = 0, timeouts = 0, not_left = 0;
  // Attempts that count against the most that there may be.
  int TriesUsed() const { return static_cast<int>(attempts.size()) - not_left; }
  enum class Where { kWaiting, kDelayed, kQueuedByKey, kOut } where = Where::kOut;
  BucketKey bucket{};
};

struct KeyQueue {
  std::deque<RequestId> line;  // in the order taken, until over and without an attempt out
  Seconds rest_until = -kNever;
};

template <typename T>
int Count(const T& things) {
  return static_cast<int>(things.size());
}

// Of the settings' tick: the least that a further attempt's backoff grows from where one could not leave.
constexpr double kShortageTicks = 8;

}  // namespace opalroute
