// Which of the name servers is asked next. Pure: the clock is handed in.
#pragma once

#include <cstddef>
#include <vector>

#include "dns/answer.h"

namespace opalroute::dns {

// Those that answer come before those in backoff, and among them the fastest; every server's claim to be slow
// is tried again as its time fades. One in backoff is asked only where all are.
class Servers {
 public:
  explicit Servers(std::size_t count) : servers_(count) {}

  // Servers that this question has asked already come after all others. `asked`: how often, by server.
  std::size_t Pick(Seconds now, const std::vector<int>& asked) const;
  void Answered(std::size_t server, Seconds now, Seconds took);
  void Failed(std::size_t server, Seconds now, double draw);  // draw: from 0 to below 1
  // The time that an answer may take: some of its usual times, within bounds.
  Seconds Patience(std::size_t server, int tries) const;
  std::size_t count() const { return servers_.size(); }

 private:
  struct Server {
    Seconds usual = 0;  // smoothed time of an answer; 0: not known
    Seconds last = 0;   // when it last answered
    int failures = 0;   // in a row
    Seconds backoff_until = 0;
  };
  std::vector<Server> servers_;
};

}  // namespace opalroute::dns
