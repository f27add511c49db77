#include "state_transfer/datagram_exchange.h"

#include <algorithm>
#include <numeric>
#include <random>
#include <utility>

namespace opalroute::state_transfer {

std::optional<double> Urgency(const RouteState& b) {
  constexpr double kClass = 2 * kMaxAge;
  if (b.retry_after > 0) return kMaxAge - std::min(b.retry_after, kMaxAge);
  if (b.failure_age) return kClass + *b.failure_age;
  if (b.recovery_age) return 2 * kClass + *b.recovery_age;
  return std::nullopt;
}

std::vector<NamedRouteState> MostUrgent(std::vector<NamedRouteState> lanes) {
  lanes.erase(
      std::remove_if(lanes.begin(), lanes.end(), [](const NamedRouteState& h) { return !Urgency(h.state); }),
      lanes.end());
  std::stable_sort(lanes.begin(), lanes.end(), [](const NamedRouteState& a, const NamedRouteState& b) {
    return *Urgency(a.state) < *Urgency(b.state);
  });
  return lanes;
}

void DatagramExchange::RequestSome(Seconds now, int peers, int self) {
  std::vector<int> others(static_cast<std::size_t>(std::max(0, peers)));
  std::iota(others.begin(), others.end(), 0);
  others.erase(std::remove(others.begin(), others.end(), self), others.end());
  std::mt19937 draw(nonce_);
  std::shuffle(others.begin(), others.end(), draw);
  others.resize(std::min(others.size(), static_cast<std::size_t>(bounds_.peers_asked)));
  requested_at_ = now;
  requested_peers_ = {others.begin(), others.end()};
  Datagram ask;
  ask.nonce = nonce_;
  ask.is_request = true;
  std::size_t written = 0;
  for (const int peer : others) send_(peer, EncodeDatagram(ask, written));
}

void DatagramExchange::Answer(int peer, std::uint32_t nonce,
                              const std::vector<NamedRouteState>& urgent) const {
  Datagram note;
  note.nonce = nonce;
  note.routes = urgent;
  for (int sent = 0; sent < bounds_.answers && !note.routes.empty(); ++sent) {
    std::size_t written = 0;
    const std::string bytes = EncodeDatagram(note, written);
    if (written == 0) {  // a name too long for a datagram
      note.routes.erase(note.routes.begin());
      continue;
    }
    send_(peer, bytes);
    note.routes.erase(note.routes.begin(), note.routes.begin() + static_cast<std::ptrdiff_t>(written));
  }
}

DatagramExchange::Received DatagramExchange::Receive(Seconds now, int peer, std::string_view bytes) const {
  Received taken;
  auto note = DecodeDatagram(bytes);
  if (!note) return taken;
  taken.note = std::move(*note);
  taken.kind = Kind::kIgnored;
  if (taken.note.version != kVersion) return taken;
  if (taken.note.is_request) {
    taken.kind = Kind::kRequest;
  } else if (requested_peers_.count(peer) > 0 && taken.note.nonce == nonce_ &&
             now <= requested_at_ + bounds_.answer_time) {
    taken.kind = Kind::kAnswer;
  }
  return taken;
}

}  // namespace opalroute::state_transfer
