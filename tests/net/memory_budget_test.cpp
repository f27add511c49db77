#include "net/memory_budget.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <random>
#include <string>

#include "lab/capacity/minimal_http.h"
#include "net/address.h"
#include "net/eviction.h"
#include "net/http_server.h"
#include "net/turn_queue.h"
#include "tests/support/manual_clock.h"
#include "tests/support/server_bounds.h"

namespace opalroute::net {
namespace {

constexpr EvictionTimes kTimes{0.5, 0.05, 0.25};
constexpr Seconds kNow = 100;

ConnectionActivity Activity(Seconds quiet) {
  ConnectionActivity activity;
  activity.last_active = activity.last_progress = activity.request_started = activity.backlog_since =
      kNow - quiet;
  return activity;
}

TEST_CASE("net: which connection ends first for a new one") {
  ConnectionActivity silent = Activity(0.06);
  CHECK(EvictionGroupOf(silent, kTimes, kNow) == EvictionGroup::kSilent);
  silent = Activity(0.04);
  CHECK(!EvictionGroupOf(silent, kTimes, kNow));
  CHECK(MayEndSoon(silent));
  ConnectionActivity answered = Activity(0.5);
  answered.answered = true;
  CHECK(EvictionGroupOf(answered, kTimes, kNow) == EvictionGroup::kIdle);
  ConnectionActivity unfinished = Activity(0.06);
  unfinished.request_begun = true;
  CHECK(EvictionGroupOf(unfinished, kTimes, kNow) == EvictionGroup::kStalledRequest);
  unfinished.last_progress = kNow;
  CHECK(!EvictionGroupOf(unfinished, kTimes, kNow));
  unfinished.request_started = kNow - 0.25;
  CHECK(EvictionGroupOf(unfinished, kTimes, kNow) == EvictionGroup::kSlowRequest);
  ConnectionActivity unread = Activity(0.06);
  unread.answered = unread.response_pending = unread.input_pending = true;
  CHECK(EvictionGroupOf(unread, kTimes, kNow) == EvictionGroup::kUnreadResponse);
  ConnectionActivity unparsed = Activity(10);
  unparsed.input_pending = true;
  CHECK(!EvictionGroupOf(unparsed, kTimes, kNow));
  unparsed.awaits_turn = true;
  CHECK(EvictionGroupOf(unparsed, kTimes, kNow) == EvictionGroup::kBacklog);
  ConnectionActivity recent = Activity(0.4);
  recent.answered = true;
  CHECK(EvictionGroupOf(recent, kTimes, kNow) == EvictionGroup::kRecentlyIdle);
}

TEST_CASE("net: memory that is not covered is waited for until it is released") {
  struct CountingWaiter : MemoryBudget::Waiter {
    void OnMemoryReleased() override { ++released; }
    int released = 0;
  } waiter;
  ManualClock clock;
  EventLoop loop(clock);
  MemoryBudget budget(loop, {20000, 10, 10, 10, 10});
  MemoryHolding first(&budget, MemoryOwner::kClients);
  MemoryHolding second(&budget, MemoryOwner::kClients);
  CHECK(first.GrowOrAwait(20000, waiter));
  CHECK(second.GrowOrAwait(MemoryHolding::kAllowedBytes, waiter));
  CHECK(!second.GrowOrAwait(1, waiter));
  CHECK(budget.figures(MemoryOwner::kClients).refusals == 1);
  CHECK(budget.figures(MemoryOwner::kRequests).held == 0);
  loop.RunOnce(0);
  CHECK(waiter.released == 0);
  int reclaimed = 0;
  budget.SetReclaim(MemoryOwner::kClients, [&] {
    first.Set(500);
    return ++reclaimed == 1;
  });
  clock.now += 1;
  loop.RunOnce(0);
  CHECK(reclaimed == 1);
  CHECK(waiter.released == 1);
  CHECK(budget.figures(MemoryOwner::kClients).peak == 20000 + MemoryHolding::kAllowedBytes);
  budget.SetReclaim(MemoryOwner::kClients, nullptr);
}

TEST_CASE("net: each member of a turn queue has one turn before any has another") {
  struct Member : TurnQueue::Member {
    explicit Member(TurnQueue& of) : queue(of) {}
    void TakeTurn() override {
      ++turns;
      queue.Add(*this);
    }
    TurnQueue& queue;
    int turns = 0;
  };
  const SystemClock clock;
  EventLoop loop(clock);
  TurnQueue queue(loop, 2);
  Member first(queue), second(queue), third(queue);
  for (Member* member : {&first, &second, &third}) queue.Add(*member);
  loop.RunOnce(0);
  CHECK(first.turns + second.turns + third.turns == 2);
  CHECK(third.turns == 0);
  loop.RunOnce(0);
  CHECK(third.turns == 1);
  for (Member* member : {&first, &second, &third}) queue.Remove(*member);
}

// A request of which parts are repeated, changed or missing.
std::string DrawnInput(std::mt19937& random) {
  static const std::string parts[] = {"POST /api HTTP/1.1\r\n",
                                      "GET / HTTP/1.1\r\n\r\n",
                                      "Content-Length: 300\r\n",
                                      "Transfer-Encoding: chunked\r\n",
                                      "a:b\r\n",
                                      "\r\n",
                                      "12c\r\n",
                                      "0\r\n\r\n",
                                      "Connection: close\r\n",
                                      std::string(300, 'x'),
                                      std::string(5000, 'y'),
                                      "\n"};
  std::string input;
  const std::size_t count = 1 + random() % 12;
  for (std::size_t i = 0; i < count; ++i) input += parts[random() % std::size(parts)];
  if (random() % 4 == 0) input[random() % input.size()] = static_cast<char>(random());
  return input;
}

TEST_CASE("net: no memory is counted any more once the connections have ended, whatever they sent") {
  struct Echo : HttpServer::Handler {
    HttpResponse OnRequest(HttpMessage& request) override { return {200, {}, request.body, 0}; }
    void OnResponseLost(std::uint64_t) override {}
  } handler;
  constexpr int kInputs = 10'000;
  constexpr int kAtOnce = 20;
  const SystemClock clock;
  EventLoop loop(clock);
  MemoryBudget budget(loop, {60'000, 1, 1, 1, 1});
  ServerBounds bounds = TestServerBounds(kAtOnce, 5);
  bounds.silent_timeout = 0.001;
  bounds.slow_request_time = 0.002;
  bounds.memory = &budget;
  HttpServer server(loop, *ParseAddress("127.0.0.1:0"), bounds, handler);
  std::mt19937 random(1);
  for (int input = 0; input < kInputs; input += kAtOnce) {
    std::vector<int> clients;
    for (int i = 0; i < kAtOnce; ++i) {
      clients.push_back(lab::raw::Connect(server.address()));
      lab::raw::WriteAll(clients.back(), DrawnInput(random));
      loop.RunOnce(0);
    }
    for (const int fd : clients) close(fd);
    while (server.connections() > 0) loop.RunOnce(0.01);
    loop.RunOnce(0);
    REQUIRE(budget.figures(MemoryOwner::kClients).held == 0);
  }
  CHECK(budget.figures(MemoryOwner::kClients).peak > 10'000);
}

}  // namespace
}  // namespace opalroute::net
