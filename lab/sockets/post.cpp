#include "lab/sockets/post.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include "net/address.h"

namespace opalroute::lab {

namespace {

constexpr std::size_t kMost = 256;         // bytes, as the protocol has it
constexpr net::Seconds kLookEvery = 0.05;  // at which a cut may have begun or ended

// A port that is free at this moment, on an address that is this relay's alone.
sockaddr_in FreeAddress(int relay) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl((127U << 24) + (77U << 16) + static_cast<std::uint32_t>(relay) + 1);
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  socklen_t size = sizeof(address);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  if (fd < 0 || bind(fd, raw, size) != 0 || getsockname(fd, raw, &size) != 0)
    throw std::system_error(errno, std::generic_category(), "an address for datagrams");
  close(fd);
  return address;
}

}  // namespace

Post::Post(net::EventLoop& loop, int relays, const LinkSettings& links, std::uint64_t seed,
           std::function<Seconds()> now)
    : loop_(loop), links_(links, seed), now_(std::move(now)) {
  const auto count = static_cast<std::size_t>(relays);
  sockets_.resize(count);
  there_.resize(count);
  for (int relay = 0; relay < relays; ++relay) {
    real_.push_back(FreeAddress(relay));
    sender_by_address_[net::KeyOf(real_.back())] = relay;
    stand_.push_back(FreeAddress(relays + relay));
  }
  for (int relay = 0; relay < relays; ++relay) Tend(relay);
}

std::vector<sockaddr_in> Post::Peers() const { return stand_; }

void Post::SetThere(int relay, bool there) {
  there_[static_cast<std::size_t>(relay)] = there;
  Tend(relay);
}

// Danger: one address serves all senders, so with any cut to it nobody hears a refusal: silence is never
// wrong.
bool Post::AnyCut(int relay) const {
  for (int other = 0; other < static_cast<int>(there_.size()); ++other)
    if (other != relay &&
        (links_.IsPeerLinkCut(now_(), relay, other) || links_.IsPeerLinkCut(now_(), other, relay)))
      return true;
  return false;
}

void Post::Open(int relay) {
  sockets_[static_cast<std::size_t>(relay)] = std::make_unique<net::DatagramSocket>(
      loop_, stand_[static_cast<std::size_t>(relay)], kMost,
      [this, relay](const sockaddr_in& from, const std::string& bytes) { Pass(from, relay, bytes); });
}

void Post::Tend(int relay) {
  auto& socket = sockets_[static_cast<std::size_t>(relay)];
  const bool there = there_[static_cast<std::size_t>(relay)];
  const bool silent = !there && AnyCut(relay);
  if ((there || silent) && !socket) Open(relay);
  if (!there && !silent && socket) loop_.Retire(std::move(socket));
  if (there) return;
  // A cut may end while its process is not there.
  std::weak_ptr<bool> alive = alive_;
  loop_.At(loop_.Now() + kLookEvery, [this, relay, alive] {
    if (alive.lock() && !there_[static_cast<std::size_t>(relay)]) Tend(relay);
  });
}

void Post::Pass(const sockaddr_in& from, int to, const std::string& bytes) {
  const auto known = sender_by_address_.find(net::KeyOf(from));
  if (known == sender_by_address_.end() || known->second == to) return;  // a stranger, or its own word
  const int sender = known->second;
  std::weak_ptr<bool> alive = alive_;
  const Seconds now = now_();
  for (const Seconds when : links_.DrawArrivals(now, sender, to))
    loop_.At(loop_.Now() + when - now, [this, alive, sender, to, bytes] {
      if (!alive.lock()) return;
      auto& out = sockets_[static_cast<std::size_t>(sender)];
      if (!out || !there_[static_cast<std::size_t>(to)]) return;
      ++passed_;
      bytes_ += static_cast<long>(bytes.size());
      out->Send(real_[static_cast<std::size_t>(to)], bytes);
    });
}

}  // namespace opalroute::lab
