// Counts the events of a run, simulated or on sockets, by class, second, partner, endpoint and relay.
#pragma once

#include <cstdint>

#include "lab/result.h"
#include "lab/traffic.h"
#include "lab/world.h"

namespace opalroute::lab {

class Tally {
 public:
  Tally(World& world, std::uint64_t seed);

  // Times are seconds since the run began.
  void CountOffered(const Arrival& arrival);
  void CountDelivered(const Arrival& arrival, Seconds now);  // at most once for each message of a client
  void CountRejected(Seconds now);
  void CountFailed(Seconds now);
  void CountCall(Seconds now, int relay, EndpointId endpoint);
  void CountConnection() { ++result_.handshakes; }
  void CountRejectedCall(Seconds now);
  void CountAttempt(Outcome outcome);
  void SampleCapacity(Seconds now);  // of the watched partner; once a second

  RunResult& result() { return result_; }

 private:
  SecondCounts& SecondAt(Seconds when);

  World& world_;
  const Scenario& s_;
  std::vector<bool> multi_zone_;  // by partner: its endpoints are in several zones
  RunResult result_;
};

}  // namespace opalroute::lab
