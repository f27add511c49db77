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
                                  {kBounds.head_bytes + kBounds.body_bytes, kBounds.head_bytes});
  if (!connection_) ReportFailure();
}

void UnwatchedConnection::OnData(Connection& connection) {
  net::RingBuffer& in = connection.in();
  while (!in.empty() && !parser_.done() && !parser_.failed()) in.Consume(parser_.Parse(in.Front()));
  if (connection.peer_closed() && parser_.begun()) parser_.HandleEndOfInput();
  if (!parser_.done() && !parser_.failed())
    return;  // OnClosed follows if the relay has closed the connection
  connection.Close();
  if (parser_.failed()) return ReportFailure();
  call_->OnResponse(parser_.message());
}

void UnwatchedConnection::OnClosed(Connection&, Connection::CloseReason) { ReportFailure(); }

void UnwatchedConnection::ReportFailure() { call_->OnFailure(Failure::kReset, 0); }

}  // namespace opalroute::lab
