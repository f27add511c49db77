// An open-loop load on relays: arrivals are drawn ahead and wait for nothing, so a stalled relay cannot hide.
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
  double rate = 20;  // messages a second, in the mean
  int clump = 0;     // so many more, all due at `from`
  net::Seconds from = 0, to = 0;
  net::Seconds remaining = 8;
  std::vector<long long> destinations = {1};
  std::uint64_t seed = 1;
  std::string prefix = "m";  // of the ids
};

class Load {
 public:
  struct Message {
    net::Seconds due = 0;
    std::string message_class;
    int status = 0;  // the relay's answer; 0: none
  };

  // `relay` may be none yet: those due before SetRelay are dropped and not counted.
  Load(net::EventLoop& loop, const LoadSettings& settings);
  ~Load();
  void SetRelay(const sockaddr_in& relay) { relay_ = relay; }
  const std::map<std::string, Message>& messages() const { return messages_; }

 private:
  class Call;
  void Arm();
  void SendOne(net::Seconds due);

  net::EventLoop& loop_;
  const LoadSettings s_;
  std::mt19937_64 random_;
  net::HttpClient client_;
  sockaddr_in relay_{};
  std::map<std::string, Message> messages_;
  std::map<Call*, std::unique_ptr<Call>> calls_;
  net::Seconds next_;
  long number_ = 0;
  net::EventLoop::TimerId timer_ = 0, clump_ = 0;
};

}  // namespace opalroute::lab
