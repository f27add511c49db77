// How evenly calls are spread over the endpoints of their destinations, compared with independent random
// draws. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "opalroute/request_router.h"

namespace opalroute::lab {

struct Evenness {  // means over time spans of destinations that had enough calls
  Seconds span = 0;
  int spans = 0;                     // that were counted, over all destinations
  double jain = 1, jain_random = 1;  // Jain's fairness index of calls per fair share; 1 is even
  double max_over_mean = 1, max_over_mean_random = 1;
  long idle_spans = 0;  // times that an endpoint had no call in a counted span
};

class EvennessCounter {
 public:
  static constexpr int kMinMeanCalls = 20;  // a span counts if its endpoints have this many calls on average

  // `weight`: the endpoint's fair share of the destination's calls, on any scale above 0.
  void CountCall(Seconds now, DestinationId destination, EndpointId endpoint, double weight);
  // In spans of that length; the random draws come from a fixed seed.
  Evenness Compute(int span_seconds) const;

 private:
  struct Endpoint {
    double weight = 1;
    std::vector<int> calls_by_second;
  };
  std::map<DestinationId, std::map<EndpointId, Endpoint>> calls_;
};

}  // namespace opalroute::lab
