#include "tests/membership/simulated_fleet.h"

#include <algorithm>
#include <utility>

namespace opalroute {

using zone_failover::ZoneFailover;

SimulatedFleet::SimulatedFleet(const zone_failover::FailoverOptions& options, const lab::LinkSettings& links,
                               std::uint64_t seed)
    : options_(options),
      links_(links, seed),
      random_(seed, 21),
      relays_(static_cast<std::size_t>(options.membership.fleet_size)) {}

void SimulatedFleet::Start(int relay) {
  Relay& r = At(relay);
  zone_failover::FailoverOptions options = options_;
  options.membership.own_peer = relay;
  r.failover = std::make_unique<ZoneFailover>(options, ++last_incarnation_, random_(), now, r.saved);
  r.share = 1.0 / options.membership.fleet_size;
  r.frozen_until = -1;
  r.traffic_shares.clear();
  Tick(relay);
}

void SimulatedFleet::StartAll() {
  for (int relay = 0; relay < size(); ++relay) Start(relay);
}

void SimulatedFleet::Kill(int relay, bool loses_state) {
  Relay& r = At(relay);
  if (!r.failover) return;
  r.saved = loses_state ? ZoneFailover::SavedState() : r.failover->Save(now);
  r.failover.reset();
  r.share = 0;
  r.received.clear();
}

void SimulatedFleet::Leave(int relay) {
  ZoneFailover::Actions actions;
  if (At(relay).failover) At(relay).failover->AnnounceLeave(actions);
  Apply(relay, actions);
  Kill(relay);
}

void SimulatedFleet::Freeze(int relay, Seconds until) { At(relay).frozen_until = until; }

void SimulatedFleet::IssueOverride(int relay, int zone, zone_failover::OverrideKind kind, Seconds duration) {
  ZoneFailover::Actions actions;
  At(relay).failover->ApplyOverride(now, zone, kind, duration, actions);
  Apply(relay, actions);
}

void SimulatedFleet::RunUntil(Seconds until, const std::function<void()>& before_step) {
  while (now < until) {
    now += ZoneFailover::kTickInterval;
    if (before_step) before_step();
    while (!in_flight_.empty() && in_flight_.begin()->first <= now) {
      const Datagram datagram = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      Deliver(datagram);
    }
    for (int relay = 0; relay < size(); ++relay) {
      if (IsRunning(relay)) Tick(relay);
    }
    max_total_share = std::max(max_total_share, TotalShare());
  }
}

bool SimulatedFleet::IsUp(int relay) const { return At(relay).failover != nullptr; }

bool SimulatedFleet::IsRunning(int relay) const { return IsUp(relay) && At(relay).frozen_until <= now; }

double SimulatedFleet::TotalShare() const {
  double sum = 0;
  for (const Relay& relay : relays_) sum += relay.share;
  return sum;
}

void SimulatedFleet::Tick(int relay) {
  ZoneFailover::Actions actions;
  for (const Datagram& datagram : std::exchange(At(relay).received, {})) {
    At(relay).failover->HandleMessage(now, datagram.from, datagram.bytes, actions);
  }
  At(relay).failover->Tick(now, actions);
  Apply(relay, actions);
}

void SimulatedFleet::Apply(int relay, const ZoneFailover::Actions& actions) {
  for (const zone_failover::OutgoingDatagram& datagram : actions.datagrams) {
    const std::string bytes = rewrite ? rewrite(relay, datagram.bytes) : datagram.bytes;
    longest_datagram = std::max(longest_datagram, bytes.size());
    for (int other = 0; other < size(); ++other) {
      if (other != relay && datagram.to.value_or(other) == other) Send(relay, other, bytes);
    }
  }
  for (const Event& event : actions.events) {
    if (const auto* fleet = std::get_if<FleetSize>(&event)) At(relay).share = 1 / fleet->share_count;
    if (const auto* share = std::get_if<ZoneTrafficShare>(&event)) {
      At(relay).traffic_shares[static_cast<int>(share->zone)] = *share;
    }
  }
  changes.insert(changes.end(), actions.changes.begin(), actions.changes.end());
}

void SimulatedFleet::Send(int from, int to, const std::string& bytes) {
  ++datagrams_sent;
  bytes_sent += static_cast<long>(bytes.size());
  if (cut && cut(from, to)) return;
  for (const Seconds arrival : links_.DrawArrivals(now, from, to)) {
    in_flight_.emplace(arrival, Datagram{from, to, bytes});
  }
}

void SimulatedFleet::Deliver(const Datagram& datagram) {
  const int from = datagram.from;
  const int to = datagram.to;
  if (!IsUp(to)) {
    const bool is_return_path_open = !(cut && cut(to, from)) && !links_.IsPeerLinkCut(now, to, from);
    if (is_return_path_open && IsUp(from)) (*this)[from].OnUnreachable(now, to);
  } else if (!IsRunning(to)) {
    At(to).received.push_back(datagram);
  } else {
    ZoneFailover::Actions actions;
    (*this)[to].HandleMessage(now, from, datagram.bytes, actions);
    Apply(to, actions);
  }
}

}  // namespace opalroute
