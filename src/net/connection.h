// A TCP connection: an object with callbacks and one ring buffer a direction.
#pragma once

#include <netinet/in.h>

#include <cerrno>
#include <cstddef>
#include <memory>
#include <string_view>

#include "net/event_loop.h"
#include "net/ring_buffer.h"

namespace opalroute::net {

class Connection : public EventHandler {
 public:
  enum class End { kNotConnected, kEnded, kReset };

  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnOpen(Connection&) {}            // a connection that was asked for is up
    virtual void OnData(Connection&) = 0;          // there is more in in(), or the other side has ended
    virtual void OnWritten(Connection&) {}         // what had to wait in out() has left
    virtual void OnEnd(Connection&, End how) = 0;  // once, and never after Close
  };

  // Both return none if this system has no socket, port or route for it just now. A connect that the other
  // side refuses at once ends in OnEnd, later.
  static std::unique_ptr<Connection> Connect(EventLoop& loop, const sockaddr_in& to, Owner& owner,
                                             std::size_t most_in, std::size_t most_out);
  static std::unique_ptr<Connection> Adopt(EventLoop& loop, int fd, Owner& owner, std::size_t most_in,
                                           std::size_t most_out);
  ~Connection() override;

  RingBuffer& in() { return in_; }
  const RingBuffer& out() const { return out_; }
  bool open() const { return fd_ >= 0 && !connecting_; }
  bool peer_ended() const { return peer_ended_; }
  bool Write(std::string_view bytes);  // false: no room, nothing was taken
  void ReadOn();                       // after a full in() was emptied
  // Whether neither bytes nor an end have arrived unread, as far as can be told now.
  bool HasNothingUnread() const { return Peek() == EAGAIN; }
  // Whether none of them is known to have arrived.
  bool SeemsAlive() const;
  void Close();  // no callback follows
  void CloseWhenWritten();

  void OnEvents(std::uint32_t events) override;

 private:
  Connection(EventLoop& loop, int fd, Owner& owner, std::size_t most_in, std::size_t most_out);
  int Peek() const;  // the error of a look at what has arrived, or 0
  void Read();
  void Flush();
  void GoOnAfter(Seconds pause);
  void GoOn();
  void Finish(End how);

  EventLoop& loop_;
  Owner& owner_;
  int fd_;
  bool connecting_ = false, peer_ended_ = false, close_when_written_ = false;
  bool broken_ = false;  // a write has failed for good, and the owner has not been told yet
  EventLoop::TimerId go_on_ = 0;
  RingBuffer in_, out_;
};

}  // namespace opalroute::net
