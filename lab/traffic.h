// The messages that clients send: arrivals drawn from a seed, in order of time, independent of how the relays
// answer (open loop).
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "lab/scenario.h"
#include "lab/world.h"

namespace opalroute::lab {

struct Arrival {
  Seconds due = 0;
  int message_class = 0;
  std::size_t partner = 0;
  int tenant = 0;
  int ordering_key = -1;  // of its partner; negative: none
};

class Traffic {
 public:
  Traffic(const World& world, std::uint64_t seed);
  // Returns nullopt after the last arrival.
  std::optional<Arrival> Next();

 private:
  double RateAt(Seconds now) const;
  std::size_t DrawPartner(Seconds now);
  int DrawClass();
  Arrival MakeArrival(Seconds due, int message_class, std::size_t partner);
  double Uniform() { return DrawUniform(random_); }

  const World& world_;
  const Scenario& s_;
  // Tenants and ordering keys come from a generator of their own, so that scenarios without them draw the
  // same arrivals.
  pcg32 random_, sender_random_;
  std::vector<double> cumulative_shares_;  // by partner
  std::vector<double> cumulative_classes_;
  std::vector<double> cumulative_tenants_;
  double max_multiplier_ = 1;     // of the usual rate, over all bursts
  double mean_cluster_size_ = 1;  // messages
  Seconds now_ = 0;
  std::deque<Arrival> cluster_;  // what is left of the current one
};

}  // namespace opalroute::lab
