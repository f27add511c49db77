// What a run came to: counts, worth, latencies, a series by second, breaches; and its JSON.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/auditor.h"
#include "lab/scenario.h"

namespace opalroute::lab {

// Times from 0.1 ms to 1,000 s in steps of 2%, from when a message was first due: a relay that stands still
// can't hide what waited for it.
class LatencyHistogram {
 public:
  void Add(Seconds latency) {
    histogram_(std::max(latency, 1e-4));
    ++count_;
  }
  long count() const { return count_; }
  Seconds At(double quantile) const;  // the upper edge of its step; 0: none were added
  nlohmann::json ToJson() const;      // quantiles to 99.99

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  static Axis MakeAxis() { return Axis(814, 1e-4, 1e3); }
  boost::histogram::histogram<std::tuple<Axis>> histogram_ = boost::histogram::make_histogram(MakeAxis());
  long count_ = 0;
};

struct Second {
  int offered = 0, delivered = 0, refused = 0, failed = 0;  // by when they were due, or ended
  int calls = 0, full = 0;
};

struct ClassOutcome {
  std::string name;
  long asked = 0, delivered = 0, in_aim = 0;
  double worth = 0, worth_asked = 0;
  LatencyHistogram latency;
};

struct RunResult {
  std::string scenario;
  std::uint64_t seed = 0;
  std::vector<ClassOutcome> classes;
  std::vector<Second> seconds;
  long handed_in = 0, refused = 0, failed = 0;  // by relays, retries counted
  long calls = 0, attempts = 0, full = 0, errors = 0, timeouts = 0, unconnected = 0, resets = 0, probes = 0;
  long collapses = 0;
  long client_doubles = 0;  // keyed effects doubled by clients that came again after the window
  long events = 0;
  std::vector<Breach> breaches;

  double Worth() const;            // delivered over asked
  double WorstTenSeconds() const;  // delivered over offered messages
  nlohmann::json ToJson() const;
};

}  // namespace opalroute::lab
