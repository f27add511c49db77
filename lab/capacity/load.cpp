#include "lab/capacity/load.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

#include "lab/capacity/minimal_http.h"

namespace opalroute::lab {

namespace {

constexpr int kMaxEvents = 256;
constexpr std::size_t kMaxUpstreamConnections = 400;  // the relay's concurrency limit in the measurement

struct Connection {
  int fd = -1;
  bool upstream = false;
  std::string in;
};

void AcceptAll(int epoll, int listener, std::vector<std::unique_ptr<Connection>>& connections) {
  for (;;) {
    const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    connections.push_back(std::make_unique<Connection>());
    connections.back()->fd = fd;
    raw::AddToEpoll(epoll, fd, connections.back().get());
  }
}

}  // namespace

void RunForwarder(int listener, const sockaddr_in& endpoint) {
  const int epoll = epoll_create1(EPOLL_CLOEXEC);
  raw::AddToEpoll(epoll, listener, nullptr);
  std::vector<std::unique_ptr<Connection>> connections;
  std::vector<Connection*> idle;
  std::deque<std::string> waiting;
  std::size_t upstream = 0;
  const auto send = [&](std::string call) {
    if (idle.empty() && upstream < kMaxUpstreamConnections) {
      ++upstream;
      connections.push_back(std::make_unique<Connection>());
      connections.back()->fd = raw::Connect(endpoint);
      connections.back()->upstream = true;
      raw::AddToEpoll(epoll, connections.back()->fd, connections.back().get());
      idle.push_back(connections.back().get());
    }
    if (idle.empty()) return waiting.push_back(std::move(call));
    raw::WriteAll(idle.back()->fd, call);
    idle.pop_back();
  };
  const auto serve = [&](Connection& connection) {
    for (std::size_t length = raw::CompleteMessageLength(connection.in); length > 0;
         length = raw::CompleteMessageLength(connection.in)) {
      if (connection.upstream) {
        connection.in.erase(0, length);
        idle.push_back(&connection);
        if (waiting.empty()) continue;
        std::string next = std::move(waiting.front());
        waiting.pop_front();
        send(std::move(next));
        continue;
      }
      // Replaces the request line, and forwards the rest unchanged.
      const std::size_t line_end = connection.in.find("\r\n");
      std::string call = "POST /hook HTTP/1.1";
      call.append(connection.in, line_end, length - line_end);
      connection.in.erase(0, length);
      raw::WriteAll(connection.fd, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
      send(std::move(call));
    }
  };
  epoll_event events[kMaxEvents];
  for (;;) {
    const int count = epoll_wait(epoll, events, kMaxEvents, -1);
    for (int i = 0; i < count; ++i) {
      auto* connection = static_cast<Connection*>(events[i].data.ptr);
      if (connection == nullptr) {
        AcceptAll(epoll, listener, connections);
      } else if (connection->fd >= 0) {
        const bool still_open = raw::ReadAll(connection->fd, connection->in);
        serve(*connection);
        if (!still_open) {
          close(connection->fd);
          connection->fd = -1;
        }
      }
    }
  }
}

void RunEndpoint(int listener, EndpointState& state) {
  const int epoll = epoll_create1(EPOLL_CLOEXEC);
  raw::AddToEpoll(epoll, listener, nullptr);
  std::vector<std::unique_ptr<Connection>> connections;
  epoll_event events[kMaxEvents];
  for (;;) {
    const int count = epoll_wait(epoll, events, kMaxEvents, -1);
    for (int i = 0; i < count; ++i) {
      auto* connection = static_cast<Connection*>(events[i].data.ptr);
      if (connection == nullptr) {
        AcceptAll(epoll, listener, connections);
        continue;
      }
      if (connection->fd < 0) continue;
      const bool still_open = raw::ReadAll(connection->fd, connection->in);
      for (std::size_t length = raw::CompleteMessageLength(connection->in); length > 0;
           length = raw::CompleteMessageLength(connection->in)) {
        connection->in.erase(0, length);
        state.calls.fetch_add(1, std::memory_order_relaxed);
        if (!state.withhold_responses.load(std::memory_order_relaxed))
          raw::WriteAll(connection->fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      }
      if (still_open) continue;
      close(connection->fd);
      connection->fd = -1;
    }
  }
}

LoadResult GenerateLoad(const LoadPlan& plan) {
  struct Client {
    Connection connection;
    double since = 0;  // when its request was sent or, in an open loop, due
    bool busy = false;
  };
  LoadResult result;
  const int epoll = epoll_create1(EPOLL_CLOEXEC);
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<Client*> idle;
  const std::string head =
      "POST /api HTTP/1.1\r\nHost: lab\r\nX-Lane: " + plan.message_class +
      "\r\nX-Org: lab\r\nX-Remaining-Ms: " + std::to_string(static_cast<long>(plan.remaining_time * 1000)) +
      "\r\nX-Txn: " + plan.id_prefix;
  const std::string body(200, 'x');
  const auto send_request = [&](Client& client, double since) {
    const long number = result.sent++;
    client.since = since;
    client.busy = true;
    raw::WriteAll(client.connection.fd, head + std::to_string(number) + "\r\nX-Addressing: dest=" +
                                            std::to_string(number % plan.destinations + 1) +
                                            "\r\nContent-Length: 200\r\n\r\n" + body);
  };
  const auto open = [&] {
    clients.push_back(std::make_unique<Client>());
    clients.back()->connection.fd = raw::Connect(plan.target);
    raw::AddToEpoll(epoll, clients.back()->connection.fd, clients.back().get());
    idle.push_back(clients.back().get());
  };
  for (int i = 0; i < plan.connections; ++i) open();
  const double began = raw::Now(), ends = began + plan.seconds;
  const auto may_send_more = [&] { return plan.max_requests == 0 || result.sent < plan.max_requests; };
  long in_flight = 0;
  epoll_event events[kMaxEvents];
  for (double now = began;; now = raw::Now()) {
    const bool finished = now >= ends || !may_send_more();
    if (finished && (in_flight == 0 || now >= ends + 1)) break;
    while (!finished && !idle.empty() && may_send_more()) {
      const double due = plan.rate > 0 ? began + static_cast<double>(result.sent) / plan.rate : now;
      if (due > now) break;
      Client& client = *idle.back();
      idle.pop_back();
      ++in_flight;
      send_request(client, due);
    }
    // Open loop: polls without blocking, so that the load generator itself is never late.
    const int count = epoll_wait(epoll, events, kMaxEvents, plan.rate > 0 && !finished ? 0 : 50);
    const double read_at = raw::Now();
    for (int i = 0; i < count; ++i) {
      Client& client = *static_cast<Client*>(events[i].data.ptr);
      if (client.connection.fd < 0) continue;
      const bool still_open = raw::ReadAll(client.connection.fd, client.connection.in);
      const std::size_t length = raw::CompleteMessageLength(client.connection.in);
      if (length > 0) {
        const bool accepted = client.connection.in.compare(9, 2, "20") == 0;
        ++(accepted ? result.accepted : result.rejected);
        if (accepted) result.response_time.Add(read_at - client.since);
        client.connection.in.erase(0, length);
        client.busy = false;
        --in_flight;
        if (still_open) idle.push_back(&client);
      } else if (!still_open && client.busy) {  // an idle connection may be closed at any time
        ++result.disconnected;
        --in_flight;
      }
      if (still_open) continue;
      idle.erase(std::remove(idle.begin(), idle.end(), &client), idle.end());
      close(client.connection.fd);
      client.connection.fd = -1;
      if (!finished) open();
    }
  }
  result.seconds = raw::Now() - began;
  for (const auto& client : clients)
    if (client->connection.fd >= 0) close(client->connection.fd);
  close(epoll);
  return result;
}

}  // namespace opalroute::lab
