// Counts a run, however it is played: what was asked, delivered and refused, by class, second and partner.
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
  void Offered(const Arrival& arrival);
  void Delivered(const Arrival& arrival, Seconds now);  // once a message of a client
  void Refused(Seconds now);
  void Failed(Seconds now);
  void Call(Seconds now, int relay, EndpointId endpoint);
  void Connected() { ++result_.handshakes; }  // a new connection has come up
  void Full(Seconds now);
  void AttemptEnded(Outcome outcome);
  void Sample(Seconds now);  // once a second: what the watched partner could do

  RunResult& result() { return result_; }

 private:
  Second& SecondAt(Seconds when);

  World& world_;
  const Scenario& s_;
  std::vector<bool> elsewhere_;  // by partner: it stands in several zones
  RunResult result_;
};

}  // namespace opalroute::lab
