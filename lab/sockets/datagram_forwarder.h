// Forwards datagrams between relay processes over simulated links. The forwarder has one address for each
// relay, which the other relays are configured with as a peer. It forwards each datagram from the sender's
// forwarder address, delayed, duplicated or dropped as the links decide. While a relay's process is not
// running its address refuses datagrams, as its machine would, unless a cut affects the relay.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/link_model.h"
#include "net/datagram.h"

namespace opalroute::lab {

class DatagramForwarder {
 public:
  // `now`: the run's time, which cuts refer to.
  DatagramForwarder(net::EventLoop& loop, int relays, const LinkSettings& links, std::uint64_t seed,
                    std::function<Seconds()> now);

  // The relay's own address, for its peer_listen.
  sockaddr_in RelayAddress(int relay) const { return relay_addresses_[static_cast<std::size_t>(relay)]; }
  std::vector<sockaddr_in> PeerAddresses() const;  // by relay, for the peers of every relay
  // Whether the relay's process is running; initially none is.
  void SetRunning(int relay, bool running);
  const LinkModel& links() const { return links_; }
  long forwarded() const { return forwarded_; }
  long bytes() const { return bytes_; }

 private:
  void Open(int relay);
  void UpdateSocket(int relay);
  bool HasCut(int relay) const;
  void Forward(const sockaddr_in& from, int to, const std::string& bytes);

  net::EventLoop& loop_;
  LinkModel links_;
  const std::function<Seconds()> now_;
  std::vector<sockaddr_in> relay_addresses_;                   // where the relays listen
  std::unordered_map<std::uint64_t, int> sender_by_address_;   // key: net::KeyOf the relay's address
  std::vector<sockaddr_in> forwarder_addresses_;               // where relays send to reach a relay
  std::vector<std::unique_ptr<net::DatagramSocket>> sockets_;  // null: the address refuses datagrams
  std::vector<bool> running_;
  long forwarded_ = 0, bytes_ = 0;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace opalroute::lab
