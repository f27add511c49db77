#include "lab/sockets/datagram_forwarder.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include "net/address.h"

namespace opalroute::lab {

namespace {

constexpr std::size_t kMaxDatagramBytes = 256;   // limit of the peer protocol
constexpr net::Seconds kCutPollInterval = 0.05;  // at which the start and end of cuts is noticed

// Returns a port that is free at this moment, on an IP address that only this index uses.
sockaddr_in FindFreeAddress(int index) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl((127U << 24) + (77U << 16) + static_cast<std::uint32_t>(index) + 1);
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  socklen_t size = sizeof(address);
  auto* address_pointer = reinterpret_cast<sockaddr*>(&address);
  if (fd < 0 || bind(fd, address_pointer, size) != 0 || getsockname(fd, address_pointer, &size) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot find an address for datagrams");
  close(fd);
  return address;
}

}  // namespace

DatagramForwarder::DatagramForwarder(net::EventLoop& loop, int relays, const LinkSettings& links,
                                     std::uint64_t seed, std::function<Seconds()> now)
    : loop_(loop), links_(links, seed), now_(std::move(now)) {
  const auto count = static_cast<std::size_t>(relays);
  sockets_.resize(count);
  running_.resize(count);
  for (int relay = 0; relay < relays; ++relay) {
    relay_addresses_.push_back(FindFreeAddress(relay));
    sender_by_address_[net::KeyOf(relay_addresses_.back())] = relay;
    forwarder_addresses_.push_back(FindFreeAddress(relays + relay));
  }
  for (int relay = 0; relay < relays; ++relay) UpdateSocket(relay);
}

std::vector<sockaddr_in> DatagramForwarder::PeerAddresses() const { return forwarder_addresses_; }

void DatagramForwarder::SetRunning(int relay, bool running) {
  running_[static_cast<std::size_t>(relay)] = running;
  UpdateSocket(relay);
}

// Whether any peer is cut off from the relay. All senders use the same address, so a refusal would also reach
// senders behind a cut, which must not get one. Silence towards the other senders is always allowed.
bool DatagramForwarder::HasCut(int relay) const {
  for (int other = 0; other < static_cast<int>(running_.size()); ++other)
    if (other != relay &&
        (links_.IsPeerLinkCut(now_(), relay, other) || links_.IsPeerLinkCut(now_(), other, relay)))
      return true;
  return false;
}

void DatagramForwarder::Open(int relay) {
  sockets_[static_cast<std::size_t>(relay)] = std::make_unique<net::DatagramSocket>(
      loop_, forwarder_addresses_[static_cast<std::size_t>(relay)], kMaxDatagramBytes,
      [this, relay](const sockaddr_in& from, const std::string& bytes) { Forward(from, relay, bytes); });
}

void DatagramForwarder::UpdateSocket(int relay) {
  auto& socket = sockets_[static_cast<std::size_t>(relay)];
  const bool running = running_[static_cast<std::size_t>(relay)];
  const bool silent = !running && HasCut(relay);
  if ((running || silent) && !socket) Open(relay);
  if (!running && !silent && socket) loop_.Retire(std::move(socket));
  if (running) return;
  // A cut may begin or end while the process is not running.
  std::weak_ptr<bool> alive = alive_;
  loop_.At(loop_.Now() + kCutPollInterval, [this, relay, alive] {
    if (alive.lock() && !running_[static_cast<std::size_t>(relay)]) UpdateSocket(relay);
  });
}

void DatagramForwarder::Forward(const sockaddr_in& from, int to, const std::string& bytes) {
  const auto known = sender_by_address_.find(net::KeyOf(from));
  if (known == sender_by_address_.end() || known->second == to)
    return;  // unknown sender, or the relay itself
  const int sender = known->second;
  std::weak_ptr<bool> alive = alive_;
  const Seconds now = now_();
  for (const Seconds arrival : links_.DrawArrivals(now, sender, to))
    loop_.At(loop_.Now() + arrival - now, [this, alive, sender, to, bytes] {
      if (!alive.lock()) return;
      auto& socket = sockets_[static_cast<std::size_t>(sender)];
      if (!socket || !running_[static_cast<std::size_t>(to)]) return;
      ++forwarded_;
      bytes_ += static_cast<long>(bytes.size());
      socket->Send(relay_addresses_[static_cast<std::size_t>(to)], bytes);
    });
}

}  // namespace opalroute::lab
