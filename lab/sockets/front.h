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
#include "lab/sockets/unwatched_connection.h"
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
  // The relay has become ready: some connections to it rest until their first request is due, and cross the
  // moment in which the relay gives them up.
  void CrossFirstRequests(int relay);
  void Begin(net::Seconds start);
  std::function<void(int relay)> on_accepted;  // told when a relay has accepted a request
  // Told when a connection has ended that had taken a whole request and brought no answer. `crossed`: it may
  // have been closed between requests, before this one was sent.
  std::function<void(int relay, std::uint64_t id, bool crossed)> on_closed;
  bool done() const { return done_ && calls_.empty() && coming_ == 0; }
  const LatencyHistogram& answer_times() const { return answer_times_; }  // last byte sent to 202 read

 private:
  class Call;
  Seconds now() const { return loop_.Now() - start_; }
  void Avoid(int relay);  // nobody listens there
  void Arm();
  bool MayHandIn(std::size_t client, Seconds at) const;
  void HandIn(std::size_t client, const char* resent, int preferred = kAnyRelay);
  // A call that is not sent yet; `at`: when it will be.
  Call& AddCall(std::size_t client, int relay, const char* resent, Seconds at);
  int PickRelay(int preferred);  // kAnyRelay: none is known to be alive
  bool MayTake(int relay) const;
  // The crossing that this moment's arrivals are kept for, if there is one.
  struct Crossing;
  Crossing& AddCrossing(int relay, Seconds after);
  void OpenUnwatched(Crossing& crossing, int count);
  Crossing* CrossingNow();
  void Cross(Crossing& crossing, std::size_t client);
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
    int starts = 0;  // the relay's process
    std::vector<std::unique_ptr<UnwatchedConnection>> connections;
    bool needs_connection = false;  // takes an arrival for each connection, and no others
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
