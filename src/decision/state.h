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

#include "opalroute/request_router.h"

namespace opalroute {

constexpr Seconds kNever = std::numeric_limits<Seconds>::infinity();

class Random {  // SplitMix64
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(Next() % n); }
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1p-53; }  // from 0 to below 1

 private:
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  std::uint64_t state_;
};

struct TokenBucket {
  double tokens = 0;
  Seconds filled = 0;
  void Fill(Seconds now, double rate, double depth) {
    tokens = std::min(depth, tokens + rate * std::max(0.0, now - filled));
    filled = now;
  }
  bool Take() {
    const bool there = tokens >= 1;
    if (there) tokens -= 1;
    return there;
  }
  Seconds Wait(double rate) const { return tokens >= 1 ? 0 : rate > 0 ? (1 - tokens) / rate : kNever; }
};

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

inline bool ProvesNeverRan(Outcome o) {
  return o == Outcome::kRejected || o == Outcome::kConnectFailed || o == Outcome::kNotSent ||
         o == Outcome::kOutOfConnections || o == Outcome::kLocalShortage;
}

// After these a message waits for an endpoint again and for nothing else: a lane's own backoff keeps it back,
// or the endpoint has had its time.
inline bool IsRetriedAtOnce(Outcome o) {
  return o == Outcome::kRejected || o == Outcome::kTimeout || o == Outcome::kNotSent ||
         o == Outcome::kCancelled;
}

// Of the settings' tick: the least that a further attempt's backoff grows from where one could not leave.
constexpr double kShortageTicks = 8;

// Whether nothing of the endpoint can be learnt from it.
inline bool SaysNothing(Outcome o) {
  return o == Outcome::kCancelled || o == Outcome::kNotSent || o == Outcome::kLocalShortage;
}

}  // namespace opalroute
