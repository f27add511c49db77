#include "state_transfer/datagram_exchange.h"

#include <algorithm>
#include <numeric>
#include <random>
#include <utility>

namespace opalroute::state_transfer {

std::optional<double> Urgency(const RouteState& state) {
  constexpr double kClassWidth = 2 * kMaxAge;
  if (state.retry_after > 0) return kMaxAge - std::min(state.retry_after, kMaxAge);
  if (state.failure_age) return kClassWidth + *state.failure_age;
  if (state.recovery_age) return 2 * kClassWidth + *state.recovery_age;
  return std::nullopt;
}

std::vector<NamedRouteState> MostUrgent(std::vector<NamedRouteState> routes) {
  const auto is_not_urgent = [](const NamedRouteState& route) { return !Urgency(route.state); };
  routes.erase(std::remove_if(routes.begin(), routes.end(), is_not_urgent), routes.end());
  std::stable_sort(routes.begin(), routes.end(), [](const NamedRouteState& a, const NamedRouteState& b) {
    return *Urgency(a.state) < *Urgency(b.state);
  });
  return routes;
}

void DatagramExchange::SendRequests(Seconds now, int peer_count, int own_peer) {
  std::vector<int> others(static_cast<std::size_t>(std::max(0, peer_count)));
  std::iota(others.begin(), others.end(), 0);
  others.erase(std::remove(others.begin(), others.end(), own_peer), others.end());
  std::mt19937 random(nonce_);
  std::shuffle(others.begin(), others.end(), random);
  others.resize(std::min(others.size(), static_cast<std::size_t>(bounds_.max_peers)));
  requested_at_ = now;
  requested_peers_ = {others.begin(), others.end()};
  Datagram request;
  request.nonce = nonce_;
  request.is_request = true;
  for (const int peer : others) send_(peer, EncodeDatagram(request).bytes);
}

void DatagramExchange::Answer(int peer, std::uint32_t nonce,
                              const std::vector<NamedRouteState>& urgent) const {
  Datagram answer;
  answer.nonce = nonce;
  answer.routes = urgent;
  for (int sent = 0; sent < bounds_.max_answers && !answer.routes.empty(); ++sent) {
    const EncodedDatagram encoded = EncodeDatagram(answer);
    if (encoded.route_count == 0) {  // the endpoint's id is too long for a datagram
      answer.routes.erase(answer.routes.begin());
      continue;
    }
    send_(peer, encoded.bytes);
    const auto first_unsent = answer.routes.begin() + static_cast<std::ptrdiff_t>(encoded.route_count);
    answer.routes.erase(answer.routes.begin(), first_unsent);
  }
}

DatagramExchange::Received DatagramExchange::Receive(Seconds now, int peer, std::string_view bytes) const {
  Received received;
  auto datagram = DecodeDatagram(bytes);
  if (!datagram) return received;
  received.datagram = std::move(*datagram);
  received.kind = Kind::kIgnored;
  if (received.datagram.version != kVersion) return received;
  const bool is_awaited = requested_peers_.count(peer) > 0 && received.datagram.nonce == nonce_ &&
                          now <= requested_at_ + bounds_.answer_timeout;
  if (received.datagram.is_request) {
    received.kind = Kind::kRequest;
  } else if (is_awaited) {
    received.kind = Kind::kAnswer;
  }
  return received;
}

}  // namespace opalroute::state_transfer
