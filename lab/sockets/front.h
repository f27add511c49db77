// The clients: an open loop. What is due goes out when it is due, to the next relay that the front believes
// alive, whatever became of those before; what is refused comes again as its client chooses.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <vector>

#include "lab/sockets/ledger.h"
#include "lab/traffic.h"
#include "net/http_client.h"

namespace opalroute::lab {

class Front {
 public:
  // A client gives a relay so long for its answer (the platform's protocol, 'Clients to relays').
  static constexpr Seconds kAnswerTime = 0.4;

  Front(net::EventLoop& loop, const Scenario& scenario, Traffic& traffic, Ledger& ledger, std::uint64_t seed);
  ~Front();

  void SetRelay(int relay, const sockaddr_in& address);
  void SetAlive(int relay, bool alive);  // as the front believes
  // The relay has been told to end: new connections come to it for a moment more, and requests on open ones
  // until these are closed, some of them in the very moments in which a relay closes connections.
  void RelayStops(int relay);
  void Begin(net::Seconds start);
  std::function<void(int relay)> on_accepted;  // told when a relay has accepted a request
  // Told when a connection has ended that had taken a whole request and brought no answer.
  std::function<void(int relay, std::uint64_t id)> on_closed;
  bool done() const { return done_ && calls_.empty() && coming_ == 0; }
  const LatencyHistogram& answer_times() const { return answer_times_; }  // last byte sent to 202 read

 private:
  class Call;
  Seconds now() const { return loop_.Now() - start_; }
  void Avoid(int relay);  // nobody listens there
  void Arm();
  void HandIn(std::size_t client, const char* resent, int preferred = kAnyRelay);
  int PickRelay(int preferred);  // kAnyRelay: none is known to be alive
  bool MayTake(int relay) const;
  // The crossing that this moment's arrivals are kept for, if there is one.
  struct Crossing;
  const Crossing* CrossingNow() const;
  void ComeAgain(std::size_t client, Seconds advice);
  void Later(std::size_t client, Seconds wait, const char* resent);
  void Drop(Call& call);

  net::EventLoop& loop_;
  const Scenario& s_;
  Traffic& traffic_;
  Ledger& ledger_;
  pcg32 random_;
  net::HttpClient client_;
  net::Seconds start_ = 0;
  static constexpr int kAnyRelay = -1;
  struct Relay {
    sockaddr_in address{};
    bool alive = false;
    bool open_connections_only = false;
    int starts = 0;  // of which the front has heard
  };
  // Arrivals between `from` and `at` are sent to the relay at about `at`, by the loop's clock.
  struct Crossing {
    int relay = 0;
    net::Seconds from = 0, at = 0;
  };
  std::vector<Relay> relays_;
  std::vector<Crossing> crossings_;
  std::size_t next_relay_ = 0;
  std::vector<int> tries_;  // by client: after refusals
  std::map<Call*, std::unique_ptr<Call>> calls_;
  LatencyHistogram answer_times_;
  int coming_ = 0;  // retries that wait for their time
  bool done_ = false;
};

}  // namespace opalroute::lab
