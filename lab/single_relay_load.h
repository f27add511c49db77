// An open-loop load generator: arrivals are scheduled independently of answers, so a stalled relay can't slow
// the load down and hide its own latency.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/http_client.h"

namespace opalroute::lab {

struct LoadSettings {
  double rate = 20;       // mean messages a second
  int initial_burst = 0;  // additional messages, all due at `from`
  net::Seconds from = 0, to = 0;
  net::Seconds remaining = 8;  // remaining time sent with each message
  std::vector<long long> destinations = {1};
  std::uint64_t seed = 1;
  std::string prefix = "m";  // of the request ids
};

class SingleRelayLoad {
 public:
  struct Message {
    net::Seconds due = 0;
    std::string message_class;
    int status = 0;  // of the relay's response; 0: none
  };

  // Messages that are due before SetRelay are dropped and not counted.
  SingleRelayLoad(net::EventLoop& loop, const LoadSettings& settings);
  ~SingleRelayLoad();
  void SetRelay(const sockaddr_in& relay) { relay_ = relay; }
  const std::map<std::string, Message>& messages() const { return messages_; }

 private:
  class Call;
  void ScheduleNext();
  void Send(net::Seconds due);

  net::EventLoop& loop_;
  const LoadSettings s_;
  std::mt19937_64 random_;
  net::HttpClient client_;
  sockaddr_in relay_{};
  std::map<std::string, Message> messages_;
  std::map<Call*, std::unique_ptr<Call>> calls_;
  net::Seconds next_due_;
  long last_number_ = 0;
  net::EventLoop::TimerId timer_ = 0, burst_timer_ = 0;
};

}  // namespace opalroute::lab
