// A UDP socket on the event loop.
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
  using ReceiveCallback = std::function<void(const sockaddr_in& from, std::string bytes)>;
  using RefusedCallback = std::function<void(const sockaddr_in& to)>;

  // Datagrams longer than `max_size` bytes are neither sent nor received. `on_refused` is called for a
  // destination that answered with ICMP 'port unreachable' (IP_RECVERR, ip(7)): nothing listens there. If the
  // system does not support IP_RECVERR, it is never called.
  DatagramSocket(EventLoop& loop, const sockaddr_in& listen, std::size_t max_size, ReceiveCallback on_receive,
                 RefusedCallback on_refused = nullptr);
  ~DatagramSocket() override;
  sockaddr_in address() const { return BoundAddress(fd_); }
  // Returns false if the datagram was not sent. True does not mean that it arrives.
  bool Send(const sockaddr_in& to, const std::string& bytes);

  void OnEvents(std::uint32_t events) override;

 private:
  void ReadErrors();

  EventLoop& loop_;
  std::size_t max_size_;
  ReceiveCallback on_receive_;
  RefusedCallback on_refused_;
  int fd_;
};

}  // namespace opalroute::net
