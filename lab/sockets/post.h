// Datagrams between real relays, over links that fail. Each relay sends to an address of this forwarder's for
// each other one; it passes them on, from the sender's address among them, late, twice or never, as the links
// say. Where a relay's process is not there its address refuses datagrams as its machine would, unless a cut
// lies between.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/links.h"
#include "net/datagram.h"

namespace opalroute::lab {

class Post {
 public:
  // `now`: the run's time, by which cuts hold.
  Post(net::EventLoop& loop, int relays, const LinkSettings& links, std::uint64_t seed,
       std::function<Seconds()> now);

  sockaddr_in ListenOf(int relay) const { return real_[static_cast<std::size_t>(relay)]; }  // its peer_listen
  std::vector<sockaddr_in> Peers() const;  // for the configuration of each
  // Whether its process is there. At first none is.
  void SetThere(int relay, bool there);
  const LinkModel& links() const { return links_; }
  long passed() const { return passed_; }
  long bytes() const { return bytes_; }

 private:
  void Open(int relay);
  void Tend(int relay);
  bool AnyCut(int relay) const;
  void Pass(const sockaddr_in& from, int to, const std::string& bytes);

  net::EventLoop& loop_;
  LinkModel links_;
  const std::function<Seconds()> now_;
  std::vector<sockaddr_in> real_;                              // where relays listen
  std::unordered_map<std::uint64_t, int> sender_by_address_;   // by net::KeyOf of `real_`
  std::vector<sockaddr_in> stand_;                             // where others reach them
  std::vector<std::unique_ptr<net::DatagramSocket>> sockets_;  // at `stand_`; none: it refuses
  std::vector<bool> there_;
  long passed_ = 0, bytes_ = 0;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace opalroute::lab
