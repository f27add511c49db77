#include "lab/sockets/unwatched_connection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace opalroute::lab {

using net::Connection;
using Failure = net::HttpClient::Failure;

std::unique_ptr<UnwatchedConnection> UnwatchedConnection::Connect(const sockaddr_in& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  std::unique_ptr<UnwatchedConnection> connection(new UnwatchedConnection(fd));
  const int result = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  return result == 0 || errno == EINPROGRESS ? std::move(connection) : nullptr;
}

UnwatchedConnection::~UnwatchedConnection() {
  if (fd_ >= 0) close(fd_);
}

bool UnwatchedConnection::Send(std::string_view bytes) {
  return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

void UnwatchedConnection::Watch(net::EventLoop& loop, net::HttpClient::Call& call) {
  call_ = &call;
  connection_ = Connection::Adopt(loop, std::exchange(fd_, -1), *this,
                                  kBounds.head_bytes + kBounds.body_bytes, kBounds.head_bytes);
  if (!connection_) Break();
}

void UnwatchedConnection::OnData(Connection& connection) {
  net::RingBuffer& in = connection.in();
  while (!in.empty() && !answer_.done() && !answer_.failed()) in.Consume(answer_.Parse(in.Front()));
  if (connection.peer_closed() && answer_.begun()) answer_.HandleEndOfInput();
  if (!answer_.done() && !answer_.failed()) return;  // OnClosed follows where the other side has ended
  connection.Close();
  if (answer_.failed()) return Break();
  call_->OnResponse(answer_.message());
}

void UnwatchedConnection::OnClosed(Connection&, Connection::CloseReason) { Break(); }

void UnwatchedConnection::Break() { call_->OnFailure(Failure::kReset, 0); }

}  // namespace opalroute::lab
