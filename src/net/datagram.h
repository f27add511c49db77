// Datagrams between relays.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <functional>
#include <string>

#include "net/event_loop.h"
#include "net/listener.h"

namespace opalroute::net {

class DatagramSocket : public EventHandler {
 public:
  using Taken = std::function<void(const sockaddr_in& from, std::string bytes)>;
  using Refused = std::function<void(const sockaddr_in& to)>;

  // Longer datagrams than `most` are neither sent nor taken. `refused` is told where nobody listens: the
  // machine there has said so (ICMP, 'port unreachable'; IP_RECVERR, ip(7)). Where the system can't tell, it
  // never is.
  DatagramSocket(EventLoop& loop, const sockaddr_in& listen, std::size_t most, Taken taken,
                 Refused refused = nullptr);
  ~DatagramSocket() override;
  sockaddr_in address() const { return BoundAddress(fd_); }
  bool Send(const sockaddr_in& to, const std::string& bytes);  // late, lost or false: nobody says

  void OnEvents(std::uint32_t events) override;

 private:
  void ReadErrors();

  EventLoop& loop_;
  std::size_t most_;
  Taken taken_;
  Refused refused_;
  int fd_;
};

}  // namespace opalroute::net
