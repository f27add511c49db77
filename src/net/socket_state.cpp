#include "net/socket_state.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace opalroute::net {

int PeekError(int fd) {
  char byte = 0;
  ssize_t count = 0;
  do {
    count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (count < 0 && errno == EINTR);
  return count < 0 ? errno : 0;
}

bool PeerHasEnded(int fd) {
  pollfd state{fd, POLLRDHUP, 0};
  int ready = 0;
  do {
    ready = poll(&state, 1, 0);
  } while (ready < 0 && errno == EINTR);
  return ready > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void SetSocketBuffers(int fd, std::size_t send_bytes, std::size_t receive_bytes) {
  const auto send = static_cast<int>(send_bytes);
  const auto receive = static_cast<int>(receive_bytes);
  if (send > 0) setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send, sizeof(send));
  if (receive > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive, sizeof(receive));
}

}  // namespace opalroute::net
