#include "lab/capacity/players.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

#include "lab/capacity/raw.h"

namespace opalroute::lab {

namespace {

constexpr int kEvents = 256;
constexpr std::size_t kMostUpstream = 400;  // as the relay's bound

struct Line {
  int fd = -1;
  bool upstream = false;
  std::string in;
};

void AcceptAll(int epoll, int listener, std::vector<std::unique_ptr<Line>>& lines) {
  for (;;) {
    const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    lines.push_back(std::make_unique<Line>());
    lines.back()->fd = fd;
    raw::Watch(epoll, fd, lines.back().get());
  }
}

}  // namespace

void RunForwarder(int listener, const sockaddr_in& endpoint) {
  const int epoll = epoll_create1(EPOLL_CLOEXEC);
  raw::Watch(epoll, listener, nullptr);
  std::vector<std::unique_ptr<Line>> lines;
  std::vector<Line*> idle;
  std::deque<std::string> waiting;
  std::size_t upstream = 0;
  const auto send = [&](std::string call) {
    if (idle.empty() && upstream < kMostUpstream) {
      ++upstream;
      lines.push_back(std::make_unique<Line>());
      lines.back()->fd = raw::Connect(endpoint);
      lines.back()->upstream = true;
      raw::Watch(epoll, lines.back()->fd, lines.back().get());
      idle.push_back(lines.back().get());
    }
    if (idle.empty()) return waiting.push_back(std::move(call));
    raw::WriteAll(idle.back()->fd, call);
    idle.pop_back();
  };
  const auto serve = [&](Line& line) {
    for (std::size_t length = raw::WholeMessage(line.in); length > 0; length = raw::WholeMessage(line.in)) {
      if (line.upstream) {
        line.in.erase(0, length);
        idle.push_back(&line);
        if (waiting.empty()) continue;
        std::string next = std::move(waiting.front());
        waiting.pop_front();
        send(std::move(next));
        continue;
      }
      // The head goes on but for its first line.
      const std::size_t first = line.in.find("\r\n");
      std::string call = "POST /hook HTTP/1.1";
      call.append(line.in, first, length - first);
      line.in.erase(0, length);
      raw::WriteAll(line.fd, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
      send(std::move(call));
    }
  };
  epoll_event events[kEvents];
  for (;;) {
    const int count = epoll_wait(epoll, events, kEvents, -1);
    for (int i = 0; i < count; ++i) {
      auto* line = static_cast<Line*>(events[i].data.ptr);
      if (line == nullptr) {
        AcceptAll(epoll, listener, lines);
      } else if (line->fd >= 0) {
        const bool stays = raw::ReadAll(line->fd, line->in);
        serve(*line);
        if (!stays) {
          close(line->fd);
          line->fd = -1;
        }
      }
    }
  }
}

void RunSink(int listener, SinkCounts& counts) {
  const int epoll = epoll_create1(EPOLL_CLOEXEC);
  raw::Watch(epoll, listener, nullptr);
  std::vector<std::unique_ptr<Line>> lines;
  epoll_event events[kEvents];
  for (;;) {
    const int count = epoll_wait(epoll, events, kEvents, -1);
    for (int i = 0; i < count; ++i) {
      auto* line = static_cast<Line*>(events[i].data.ptr);
      if (line == nullptr) {
        AcceptAll(epoll, listener, lines);
        continue;
      }
      if (line->fd < 0) continue;
      const bool stays = raw::ReadAll(line->fd, line->in);
      for (std::size_t length = raw::WholeMessage(line->in); length > 0;
           length = raw::WholeMessage(line->in)) {
        line->in.erase(0, length);
        counts.calls.fetch_add(1, std::memory_order_relaxed);
        if (!counts.holds.load(std::memory_order_relaxed))
          raw::WriteAll(line->fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      }
      if (stays) continue;
      close(line->fd);
      line->fd = -1;
    }
  }
}

DriverResult Drive(const DriverPlan& plan) {
  struct Asker {
    Line line;
    double since = 0;
    bool busy = false;
  };
  DriverResult result;
  const int epoll = epoll_create1(EPOLL_CLOEXEC);
  std::vector<std::unique_ptr<Asker>> askers;
  std::vector<Asker*> idle;
  const std::string head =
      "POST /api HTTP/1.1\r\nHost: lab\r\nX-Lane: " + plan.message_class +
      "\r\nX-Org: lab\r\nX-Remaining-Ms: " + std::to_string(static_cast<long>(plan.remaining * 1000)) +
      "\r\nX-Txn: " + plan.id_prefix;
  const std::string body(200, 'x');
  const auto ask = [&](Asker& asker, double since) {
    const long number = result.asked++;
    asker.since = since;
    asker.busy = true;
    raw::WriteAll(asker.line.fd, head + std::to_string(number) + "\r\nX-Addressing: dest=" +
                                     std::to_string(number % plan.destinations + 1) +
                                     "\r\nContent-Length: 200\r\n\r\n" + body);
  };
  const auto open = [&] {
    askers.push_back(std::make_unique<Asker>());
    askers.back()->line.fd = raw::Connect(plan.to);
    raw::Watch(epoll, askers.back()->line.fd, askers.back().get());
    idle.push_back(askers.back().get());
  };
  for (int i = 0; i < plan.connections; ++i) open();
  const double began = raw::Now(), ends = began + plan.seconds;
  const auto more = [&] { return plan.most == 0 || result.asked < plan.most; };
  long out = 0;
  epoll_event events[kEvents];
  for (double now = began;; now = raw::Now()) {
    const bool over = now >= ends || !more();
    if (over && (out == 0 || now >= ends + 1)) break;
    while (!over && !idle.empty() && more()) {
      const double due = plan.rate > 0 ? began + static_cast<double>(result.asked) / plan.rate : now;
      if (due > now) break;
      Asker& asker = *idle.back();
      idle.pop_back();
      ++out;
      ask(asker, due);
    }
    // Open loop: it looks again at once, so that it is never late itself.
    const int count = epoll_wait(epoll, events, kEvents, plan.rate > 0 && !over ? 0 : 50);
    const double read_at = raw::Now();
    for (int i = 0; i < count; ++i) {
      Asker& asker = *static_cast<Asker*>(events[i].data.ptr);
      if (asker.line.fd < 0) continue;
      const bool stays = raw::ReadAll(asker.line.fd, asker.line.in);
      const std::size_t length = raw::WholeMessage(asker.line.in);
      if (length > 0) {
        const bool taken = asker.line.in.compare(9, 2, "20") == 0;
        ++(taken ? result.taken : result.refused);
        if (taken) result.answer_time.Add(read_at - asker.since);
        asker.line.in.erase(0, length);
        asker.busy = false;
        --out;
        if (stays) idle.push_back(&asker);
      } else if (!stays && asker.busy) {  // one at rest may be closed at any time
        ++result.broken;
        --out;
      }
      if (stays) continue;
      idle.erase(std::remove(idle.begin(), idle.end(), &asker), idle.end());
      close(asker.line.fd);
      asker.line.fd = -1;
      if (!over) open();
    }
  }
  result.seconds = raw::Now() - began;
  for (const auto& asker : askers)
    if (asker->line.fd >= 0) close(asker->line.fd);
  close(epoll);
  return result;
}

}  // namespace opalroute::lab
