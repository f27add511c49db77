// Selects the name server that is asked next. Performs no I/O; the caller passes the time.
#pragma once

#include <cstddef>
#include <vector>

#include "dns/answer.h"

namespace opalroute::dns {

// Prefers servers that are not in backoff, and of these the fastest. The known response time of a server
// decays while it is not asked, so that slow servers are tried again. A server in backoff is asked only if
// all are in backoff or have been asked already.
class ServerSelector {
 public:
  explicit ServerSelector(std::size_t count) : servers_(count) {}

  // `attempts`: attempts of the question so far, by server. Servers with fewer attempts come first.
  std::size_t Select(Seconds now, const std::vector<int>& attempts) const;
  void OnAnswer(std::size_t server, Seconds now, Seconds duration);
  void OnFailure(std::size_t server, Seconds now, double random);  // random: uniform in [0, 1)
  // How long to wait for an answer: a multiple of the server's usual response time, within bounds.
  // `earlier_attempts`: earlier attempts of the question at this server; each doubles the timeout.
  Seconds Timeout(std::size_t server, int earlier_attempts) const;
  std::size_t count() const { return servers_.size(); }

 private:
  struct Server {
    Seconds smoothed_time = 0;  // smoothed response time; 0: not known
    Seconds last_answer_at = 0;
    int failures = 0;  // consecutive
    Seconds backoff_until = 0;
  };
  std::vector<Server> servers_;
};

}  // namespace opalroute::dns
