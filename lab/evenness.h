// How evenly calls fall on the endpoints of their destinations, beside what independent draws would give.
// Pure.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "opalroute/request_router.h"

namespace opalroute::lab {

struct Evenness {  // means over spans and destinations that had enough calls
  Seconds span = 0;
  int counted = 0;                      // spans of a destination
  double jain = 1, jain_by_chance = 1;  // Jain's index of calls over fair parts: 1 is even
  double most = 1, most_by_chance = 1;  // the largest over the mean
  long idle = 0;                        // times that an endpoint had none
};

class EvenCount {
 public:
  static constexpr int kCallsEach = 20;  // a span counts where its endpoints have so many in the mean

  // `part`: its fair part of the destination's calls, on any scale above 0.
  void Call(Seconds now, DestinationId destination, EndpointId endpoint, double part);
  Evenness Of(int seconds) const;  // in spans of so many; chance is drawn from a fixed seed

 private:
  struct Endpoint {
    double part = 1;
    std::vector<int> by_second;
  };
  std::map<DestinationId, std::map<EndpointId, Endpoint>> calls_;
};

}  // namespace opalroute::lab
