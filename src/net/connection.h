// A non-blocking TCP connection on the event loop, with callbacks and one ring buffer per direction.
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
  enum class CloseReason { kNotConnected, kPeerClosed, kReset };

  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnOpen(Connection&) {}     // Connect has succeeded
    virtual void OnData(Connection&) = 0;   // in() has new bytes, or the peer has closed its side
    virtual void OnWritten(Connection&) {}  // bytes that had to wait in out() have been written
    virtual void OnClosed(Connection&, CloseReason how) = 0;  // once, and never after Close()
  };

  // Both return nullptr if this machine lacks a resource for the connection, such as a socket, a port or a
  // route. A connect that is refused at once calls OnClosed in a later iteration of the loop.
  static std::unique_ptr<Connection> Connect(EventLoop& loop, const sockaddr_in& to, Owner& owner,
                                             std::size_t max_in, std::size_t max_out);
  static std::unique_ptr<Connection> Adopt(EventLoop& loop, int fd, Owner& owner, std::size_t max_in,
                                           std::size_t max_out);
  ~Connection() override;

  RingBuffer& in() { return in_; }
  const RingBuffer& out() const { return out_; }
  bool open() const { return fd_ >= 0 && !connecting_; }
  bool peer_closed() const { return peer_closed_; }
  bool Write(std::string_view bytes);  // false: out() has no space for all, and nothing was queued
  void ResumeReading();                // after in() was full and has been emptied
  // Whether the socket is known to hold neither unread bytes nor the end of the stream.
  bool HasNothingUnread() const { return Peek() == EAGAIN; }
  // Whether no write has failed and the socket is not known to hold unread bytes or the end of the stream:
  // where the system is short of resources for the check, the connection counts as alive.
  bool SeemsAlive() const;
  void Close();             // no callback follows
  void CloseWhenWritten();  // shuts down sending once out() is empty

  void OnEvents(std::uint32_t events) override;

 private:
  Connection(EventLoop& loop, int fd, Owner& owner, std::size_t max_in, std::size_t max_out);
  int Peek() const;  // errno of a peek into the receive queue; 0 if bytes or the end have arrived
  void Read();
  void Flush();
  void ResumeAfter(Seconds pause);
  void Resume();
  void Finish(CloseReason how);

  EventLoop& loop_;
  Owner& owner_;
  int fd_;
  bool connecting_ = false, peer_closed_ = false, close_when_written_ = false;
  bool write_failed_ = false;  // a write failed permanently; the owner has not been notified yet
  EventLoop::TimerId resume_timer_ = 0;
  RingBuffer in_, out_;
};

}  // namespace opalroute::net
