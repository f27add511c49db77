// State transfer by datagrams: what is sent and in which order, and which answers are accepted.
#include "state_transfer/datagram_exchange.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "tests/state_transfer/route_states.h"

namespace opalroute::state_transfer {
namespace {

TEST_CASE(
    "state transfer: datagrams hold the most urgent states that fit, and only requested answers count") {
  std::vector<NamedRouteState> routes = {FailingRoute(1, 3), RouteWithRetryAfter(2, 1), FailingRoute(3, 1),
                                         RouteWithRetryAfter(4, 9)};
  NamedRouteState recovering;
  recovering.state.destination = 5;
  recovering.state.recovery_age = 1;
  routes.push_back(recovering);
  NamedRouteState healthy;
  healthy.state.destination = 6;
  healthy.state.success_age = 1;
  routes.push_back(healthy);
  const auto urgent = MostUrgent(routes);
  REQUIRE(urgent.size() == 5);
  const int order[] = {4, 2, 3, 1, 5};
  for (std::size_t i = 0; i < 5; ++i) CHECK(urgent[i].state.destination == order[i]);

  std::vector<std::pair<int, std::string>> sent;
  const auto send = [&](int peer, const std::string& bytes) { sent.emplace_back(peer, bytes); };
  DatagramExchange requester({2, 4, 2}, 77, send);
  requester.SendRequests(10, 6, 3);
  REQUIRE(sent.size() == 2);
  for (const auto& [peer, bytes] : sent) CHECK(peer != 3);
  const auto requests = sent;
  sent.clear();
  DatagramExchange responder({2, 4, 2}, 5, send);
  const auto request = responder.Receive(20, 3, requests[0].second);
  REQUIRE(request.kind == DatagramExchange::Kind::kRequest);
  responder.Answer(3, request.datagram.nonce, MostUrgent(SomeRoutes(500)));
  CHECK(sent.size() == 4);
  for (const auto& [peer, bytes] : sent) CHECK(bytes.size() <= 256);
  const auto answer = requester.Receive(10.1, requests[0].first, sent[0].second);
  CHECK(answer.kind == DatagramExchange::Kind::kAnswer);
  CHECK(answer.datagram.routes.size() > 5);
  // No request was sent to this peer.
  CHECK(requester.Receive(10.1, 3, sent[0].second).kind == DatagramExchange::Kind::kIgnored);
  // Too late.
  CHECK(requester.Receive(12.1, requests[0].first, sent[0].second).kind == DatagramExchange::Kind::kIgnored);
  CHECK(requester.Receive(10.1, requests[0].first, "else").kind == DatagramExchange::Kind::kOtherProtocol);
  sent.clear();
  NamedRouteState too_long = RouteWithRetryAfter(1, 1);  // for a datagram
  too_long.endpoint = std::string(250, 'x');
  responder.Answer(3, 1, {too_long, RouteWithRetryAfter(2, 1)});
  REQUIRE(sent.size() == 1);
  CHECK(DecodeDatagram(sent[0].second)->routes[0].state.destination == 2);
}

}  // namespace
}  // namespace opalroute::state_transfer
