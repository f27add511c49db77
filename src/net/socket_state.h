// Options of a connected socket, and what the system knows of it without reading from it.
#pragma once

#include <cstddef>

namespace opalroute::net {

// errno of a peek into the receive queue; 0 if bytes or the end of the stream have arrived.
int PeekError(int fd);

// Whether the peer has ended its sending or reset the connection, even if bytes before that are unread.
bool PeerHasEnded(int fd);

// Small writes are sent at once.
void SetNoDelay(int fd);

// Bounds the system's buffers of the socket; 0: its default. The system allows about twice as much, with its
// own data.
void SetSocketBuffers(int fd, std::size_t send_bytes, std::size_t receive_bytes);

}  // namespace opalroute::net
