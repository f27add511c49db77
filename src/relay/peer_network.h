// Datagrams between the relays of a fleet: sends to one peer or to all, and identifies senders by their
// address.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/config.h"
#include "net/datagram.h"
#include "net/event_loop.h"

namespace opalroute {

class PeerNetwork {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void OnPeerDatagram(int peer, std::string payload) = 0;
    // The host of `peer` has answered a datagram with ICMP 'port unreachable': no process is listening there.
    virtual void OnPeerUnreachable(int peer) = 0;
  };

  PeerNetwork(net::EventLoop& loop, const Config& config, Handler& handler);

  // Opens the socket at Config::peer_listen, which must be set. Throws std::system_error if that fails.
  void Listen();
  void Close() { socket_.reset(); }

  // Whether the socket is open.
  bool available() const { return socket_ != nullptr; }

  void SendTo(int peer, const std::string& payload);
  // Sends to the fleet's broadcast address. Without such an address, sends to each peer in turn if
  // `one_by_one`, and drops the datagram otherwise.
  void Broadcast(const std::string& payload, bool one_by_one);

 private:
  std::optional<int> PeerAt(const sockaddr_in& address) const;

  net::EventLoop& loop_;
  const Config& config_;
  Handler& handler_;
  std::unique_ptr<net::DatagramSocket> socket_;
  std::unordered_map<std::uint64_t, int> peer_by_address_;
};

}  // namespace opalroute
