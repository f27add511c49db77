// Datagrams between the relays of a fleet: sends to one peer or to all, and knows senders by their addresses.
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
    // The machine of that peer has refused a datagram: no process listens there.
    virtual void OnPeerUnreachable(int peer) = 0;
  };

  PeerNetwork(net::EventLoop& loop, const Config& config, Handler& handler);

  // Opens the socket at Config::peer_listen, which is set. Where a process of this relay that is about to end
  // still has the address, RetryListen opens it later. Throws std::system_error on any other failure.
  void Listen();
  void RetryListen();
  void Close() { socket_.reset(); }

  // Whether there is a socket, or will be once the earlier process has ended.
  bool available() const { return socket_ != nullptr || address_in_use_; }

  void SendTo(int peer, const std::string& payload);
  // To the fleet's broadcast address; without one to each peer in turn if `one_by_one`, else to nobody.
  void Broadcast(const std::string& payload, bool one_by_one);

 private:
  std::optional<int> PeerAt(const sockaddr_in& address) const;
  void Open();

  net::EventLoop& loop_;
  const Config& config_;
  Handler& handler_;
  std::unique_ptr<net::DatagramSocket> socket_;
  std::unordered_map<std::uint64_t, int> peer_by_address_;
  bool address_in_use_ = false;
};

}  // namespace opalroute
