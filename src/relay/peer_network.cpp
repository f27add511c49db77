#include "relay/peer_network.h"

#include <utility>

#include "net/address.h"

namespace opalroute {

PeerNetwork::PeerNetwork(net::EventLoop& loop, const Config& config, Handler& handler)
    : loop_(loop), config_(config), handler_(handler) {
  for (std::size_t i = 0; i < config.peers.size(); ++i) {
    peer_by_address_.emplace(net::KeyOf(config.peers[i]), static_cast<int>(i));
  }
}

void PeerNetwork::Listen() {
  socket_ = std::make_unique<net::DatagramSocket>(
      loop_, *config_.peer_listen, config_.limits.peer_datagram_bytes,
      [this](const sockaddr_in& from, std::string payload) {
        if (const auto peer = PeerAt(from)) handler_.OnPeerDatagram(*peer, std::move(payload));
      },
      [this](const sockaddr_in& to) {
        if (const auto peer = PeerAt(to)) handler_.OnPeerUnreachable(*peer);
      });
}

void PeerNetwork::SendTo(int peer, const std::string& payload) {
  if (!socket_ || peer < 0 || peer >= static_cast<int>(config_.peers.size())) return;
  socket_->Send(config_.peers[peer], payload);
}

void PeerNetwork::Broadcast(const std::string& payload, bool one_by_one) {
  if (!socket_) return;
  if (config_.broadcast_address) {
    socket_->Send(*config_.broadcast_address, payload);
    return;
  }
  if (!one_by_one) return;
  for (int peer = 0; peer < static_cast<int>(config_.peers.size()); ++peer) {
    if (peer != config_.own_peer) SendTo(peer, payload);
  }
}

std::optional<int> PeerNetwork::PeerAt(const sockaddr_in& address) const {
  const auto it = peer_by_address_.find(net::KeyOf(address));
  if (it == peer_by_address_.end()) return std::nullopt;
  return it->second;
}

}  // namespace opalroute
