// What clients hand in: arrivals drawn ahead, in the order of time. Open loop: they wait for nothing.
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
  int order_key = -1;  // of its partner; below 0: it has none
};

class Traffic {
 public:
  Traffic(const World& world, std::uint64_t seed);
  // None: the day is over.
  std::optional<Arrival> Next();

 private:
  double RateAt(Seconds now) const;
  std::size_t DrawPartner(Seconds now);
  int DrawClass();
  Arrival Draw(Seconds due, int message_class, std::size_t partner);
  double Unit() { return DrawUnit(random_); }

  const World& world_;
  const Scenario& s_;
  pcg32 random_, random_senders_;  // a generator of its own: without tenants and keys nothing is drawn
  std::vector<double> shares_;     // summed up, by partner
  std::vector<double> classes_;    // summed up
  std::vector<double> tenants_;    // summed up
  double most_times_ = 1;          // the load's highest multiple
  double clump_mean_ = 1;          // messages in a clump
  Seconds now_ = 0;
  std::deque<Arrival> clump_;
};

}  // namespace opalroute::lab
