// A non-blocking TCP connection on the event loop, with callbacks and one ring buffer per direction.
#pragma once

#include <netinet/in.h>

#include <cerrno>
#include <cstddef>
#include <memory>
#include <string_view>

#include "net/event_loop.h"
#include "net/memory_budget.h"
#include "net/ring_buffer.h"
#include "net/socket_error.h"
#include "net/socket_state.h"

namespace opalroute::net {

struct ConnectionBounds {
  std::size_t max_in = 0, max_out = 0;  // bytes of each buffer
  std::size_t turn_bytes = 0;           // read before other connections have a turn; 0: max_in
  // Reading pauses while the owner's share is used up. Null: the connection's memory is not counted.
  MemoryBudget* memory = nullptr;
  MemoryOwner memory_owner = MemoryOwner::kClients;
  std::size_t socket_send_bytes = 0, socket_receive_bytes = 0;  // buffers of the system; 0: its default
};

class Connection : public EventHandler, private MemoryBudget::Waiter {
 public:
  enum class CloseReason { kNotConnected, kPeerClosed, kReset };

  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnOpen(Connection&) {}     // Connect has succeeded
    virtual void OnData(Connection&) = 0;   // in() has new bytes, or the peer has closed its side
    virtual void OnWritten(Connection&) {}  // bytes that had to wait in out() have been written
    virtual void OnClosed(Connection&, CloseReason how) = 0;  // once, and never after Close()
    // Whether to read on although in() is not empty.
    virtual bool WantsMoreInput() const { return true; }
    // Bytes that the owner holds for this connection beside its buffers.
    virtual std::size_t HeldBytes() const { return 0; }
  };

  // Both return nullptr if this machine lacks a resource for the connection, such as a socket, a port or a
  // route. A connect that is refused at once calls OnClosed in a later iteration of the loop.
  static std::unique_ptr<Connection> Connect(EventLoop& loop, const sockaddr_in& to, Owner& owner,
                                             const ConnectionBounds& bounds);
  static std::unique_ptr<Connection> Adopt(EventLoop& loop, int fd, Owner& owner,
                                           const ConnectionBounds& bounds);
  ~Connection() override;

  RingBuffer& in() { return in_; }
  const RingBuffer& out() const { return out_; }
  bool open() const { return fd_ >= 0 && !connecting_; }
  bool peer_closed() const { return peer_closed_; }
  bool Write(std::string_view bytes);  // false: out() has no space for all, and nothing was queued
  void ResumeReading();                // after in() was full and has been emptied
  // Whether the socket is known to hold neither unread bytes nor the end of the stream.
  bool HasNothingUnread() const { return PeekError(fd_) == EAGAIN; }
  // Whether the peer has ended its sending or reset the connection, even if bytes before that are unread.
  bool PeerHasEnded() const { return peer_closed_ || net::PeerHasEnded(fd_); }
  // What the buffers and the owner hold, as counted in the memory budget; CountMemory counts it anew.
  std::size_t held_bytes() const { return holding_.bytes(); }
  bool awaits_memory() const { return awaits_memory_; }  // reading is paused
  void CountMemory() { holding_.Set(in_.capacity() + out_.capacity() + owner_.HeldBytes()); }
  // Whether no write has failed and the socket is not known to hold unread bytes or the end of the stream:
  // where the system is short of resources for the check, the connection counts as alive.
  bool SeemsAlive() const {
    const int error = PeekError(fd_);
    return !write_failed_ && (error == EAGAIN || IsResourceShortage(error));
  }
  void Close();             // no callback follows
  void CloseWhenWritten();  // shuts down sending once out() is empty

  void OnEvents(std::uint32_t events) override;

 private:
  Connection(EventLoop& loop, int fd, Owner& owner, const ConnectionBounds& bounds);
  void OnMemoryReleased() override { ResumeReading(); }
  bool MayRead();
  void Read();
  void Flush();
  void ResumeAfter(Seconds pause);
  void Resume();
  void Finish(CloseReason how);

  EventLoop& loop_;
  Owner& owner_;
  int fd_;
  bool connecting_ = false, peer_closed_ = false, close_when_written_ = false;
  bool awaits_memory_ = false;
  bool write_failed_ = false;  // a write failed permanently; the owner has not been notified yet
  EventLoop::TimerId resume_timer_ = 0;
  const std::size_t turn_bytes_;
  RingBuffer in_, out_;
  MemoryHolding holding_;
};

}  // namespace opalroute::net
