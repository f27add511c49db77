// Emulates the clients as an open-loop load generator: each message is sent when it is due, regardless of
// earlier ones, to the next relay that is believed to be alive. Rejected messages are retried as the scenario
// says.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <vector>

#include "lab/sockets/message_tracker.h"
#include "lab/sockets/unwatched_connection.h"
#include "lab/traffic.h"
#include "net/http_client.h"

namespace opalroute::lab {

class LoadGenerator {
 public:
  // A client's timeout for a relay's response (the platform's protocol, 'Clients to relays').
  static constexpr Seconds kResponseTimeout = 0.4;

  LoadGenerator(net::EventLoop& loop, const Scenario& scenario, Traffic& traffic, MessageTracker& tracker,
                std::uint64_t seed);
  ~LoadGenerator();

  void OnRelayStarted(int relay, const sockaddr_in& address);
  void SetBelievedAlive(int relay, bool alive);
  // The relay has been told to stop. Clients open new connections to it for a short time and send requests on
  // open ones until these are closed, some of them at the very moments at which a relay closes connections.
  void OnRelayStopping(int relay);
  // The relay has become ready. Opens some connections to it and sends their first requests at the moment at
  // which the relay closes a connection that has brought none.
  void RaceFirstRequestTimeout(int relay);
  void Begin(net::Seconds start);
  std::function<void(int relay)> on_accepted;  // called when a relay has accepted a request
  // Called when a connection on which a whole request was sent has ended without a response.
  // `may_race_close`: the relay may have closed the connection while it was idle, before the request was
  // sent.
  std::function<void(int relay, std::uint64_t id, bool may_race_close)> on_closed;
  bool done() const { return arrivals_done_ && calls_.empty() && scheduled_ == 0; }
  // From a request's last byte sent until its 202 or 200 was read.
  const LatencyHistogram& response_times() const { return response_times_; }

 private:
  class Call;
  Seconds now() const { return loop_.Now() - start_; }
  void OnNotConnected(int relay);
  void ScheduleNextArrival();
  bool MaySubmit(std::size_t message, Seconds at) const;
  // `resent`: the value of the X-Resent header, or null for a message's first submission.
  void Submit(std::size_t message, const char* resent, int preferred = kAnyRelay);
  // Adds a call that will be sent at the time `at` of the run.
  Call& AddCall(std::size_t message, int relay, const char* resent, Seconds at);
  int PickRelay(int preferred);  // kAnyRelay: no relay is believed to be usable
  bool IsUsable(int relay) const;
  struct CloseRace;
  CloseRace& AddCloseRace(int relay, Seconds after);
  void OpenUnwatched(CloseRace& race, int count);
  CloseRace* FindCollectingRace();
  void AddToRace(CloseRace& race, std::size_t message);
  void RetryAfterRejection(std::size_t message, Seconds retry_after);
  void SubmitLater(std::size_t message, Seconds wait, const char* resent);
  void Drop(Call& call);

  net::EventLoop& loop_;
  const Scenario& scenario_;
  Traffic& traffic_;
  MessageTracker& tracker_;
  pcg32 random_;
  net::HttpClient client_;
  net::Seconds start_ = 0;
  static constexpr int kAnyRelay = -1;
  struct Relay {
    sockaddr_in address{};
    bool alive = false;
    bool open_connections_only = false;
    int starts = 0;  // number of OnRelayStarted() calls
  };
  // Collects the arrivals between `from` and `at` and sends them to the relay at about `at`, the moment at
  // which the relay is expected to close connections. Times are those of the loop's clock.
  struct CloseRace {
    int relay = 0;
    net::Seconds from = 0, at = 0;
    int starts = 0;  // identifies the relay's process
    std::vector<std::unique_ptr<UnwatchedConnection>> connections;
    bool needs_connection = false;  // takes one arrival for each of `connections`, and no others
  };
  std::vector<Relay> relays_;
  std::vector<CloseRace> close_races_;
  std::size_t next_relay_ = 0;
  std::vector<int> retries_;  // by message: after rejections
  std::map<Call*, std::unique_ptr<Call>> calls_;
  LatencyHistogram response_times_;
  int scheduled_ = 0;  // submissions that wait for their time
  bool arrivals_done_ = false;
};

}  // namespace opalroute::lab
