// Runs a scenario in simulated time: a request router for each relay, models of the partners' routes, and one
// event queue. A seed always gives the same run, byte for byte. Relays affect one another only through the
// partners, and through datagrams if the scenario has them.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "lab/auditor.h"
#include "lab/event_queue.h"
#include "lab/fleet_simulation.h"
#include "lab/tally.h"
#include "lab/traffic.h"
#include "lab/world.h"
#include "opalroute/request_router.h"

namespace opalroute::lab {

class Simulation : private FleetSimulation::Host {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed);
  ~Simulation() override;

  // `progress` is called about once a simulated second. Throws std::runtime_error if the time stops
  // advancing, which is a fault of the laboratory.
  RunResult Run(const std::function<void(Seconds)>& progress = nullptr);

 private:
  enum class EventKind : std::uint8_t {
    kArrival,          // the next message of the traffic, id: its client
    kSubmit,           // a client submits its message again, id: the client
    kBatchEnd,         // ends the batch of events that a relay's router has handled since the last tick
    kTimer,            // of a relay's router, id: the timer
    kCallReceived,     // a call's last byte has reached its endpoint, id: the call
    kCallEnded,        // the response to a call, or its failure, has reached the relay, id: the call
    kAttemptTimeout,   // id: the message, detail: the attempt
    kListUpdate,       // the next change of the endpoint list has reached a relay
    kPoolChange,       // the endpoint list changes, id: index in the scenario
    kEndpointRemoved,  // a drained endpoint is removed, id: the endpoint
    kRelayFault,       // id: index in the scenario, detail: 1 at the end of a shutdown
    kRelayStart,       // a stopped relay starts again
    kFleetTick,        // of a relay as a member of the fleet
    kDatagram,         // has reached a relay, id: the datagram
    kPeerUnreachable,  // the host of a stopped relay has rejected a datagram, id: that relay
    kOracle,           // the oracle runs
    kOperatorOverride  // of a zone's state, id: index in the scenario
  };
  struct ScheduledEvent {
    EventKind kind{};
    std::int32_t relay = 0;
    std::uint64_t id = 0;
    std::uint32_t detail = 0;
    std::uint32_t process = 0;  // of the relay that it is meant for; Relay::process
  };
  struct Attempt {
    EndpointId endpoint = 0;
    Seconds sent = 0;
    std::uint64_t call = 0;
    bool in_flight = true, may_have_run = true;
  };
  struct Client {  // one message of a client, whatever the number of its submissions
    Arrival arrival;
    int retries = 0;
    bool delivered = false;
  };
  struct Submission {  // a message that a relay has accepted, under a message id of its own
    std::uint64_t client = 0;
    int relay = 0;
    Seconds deadline = 0;
    bool ended = false;
    int in_flight = 0;
    std::vector<Attempt> attempts;
  };
  struct Call {
    int relay = 0;
    std::uint32_t process = 0;
    EndpointId endpoint = 0;
    Seconds sent = 0;
    // Message ids and attempts. An attempt that its relay gives up after the endpoint has handled the call is
    // removed.
    std::vector<std::pair<std::uint64_t, int>> batch;
    bool health_check = false, connected = true, out_of_connections = false, in_outage = false;
    RouteModel::CallResult result;
  };
  struct Relay;

  static Micros ToMicros(Seconds seconds) { return static_cast<Micros>(seconds * 1e6 + 0.5); }
  Seconds now() const { return static_cast<double>(now_) * 1e-6; }
  void Schedule(Seconds when, ScheduledEvent event) { queue_.Push(std::max(now_, ToMicros(when)), event); }
  static bool IsHandledByRelay(EventKind kind);
  // FleetSimulation::Host
  Seconds CurrentTime() const override { return now(); }
  bool IsUp(int relay) const override;
  void PostEvent(int relay, opalroute::Event event) override;
  void ScheduleDatagram(Seconds when, int relay, std::uint64_t datagram) override {
    Schedule(when, {EventKind::kDatagram, relay, datagram});
  }
  void ScheduleUnreachable(Seconds when, int relay, int peer) override {
    Schedule(when, {EventKind::kPeerUnreachable, relay, static_cast<std::uint64_t>(peer)});
  }
  void HandleFleetEvent(const ScheduledEvent& event);
  bool CanReach(int relay, const PartnerEndpoint& endpoint) const;
  void HandleEvent(const ScheduledEvent& event);

  void StartRelay(Relay& relay);
  void RecoverRouteHealth(Relay& relay);
  void Post(Relay& relay, opalroute::Event event);
  void PerformActions(Relay& relay, const std::vector<Action>& actions);
  void AddToBatch(Relay& relay, const Send& send);
  void StartCall(Relay& relay, EndpointId endpoint, std::vector<std::pair<std::uint64_t, int>> batch,
                 bool health_check);
  int ConnectionCount(EndpointId endpoint) const;
  bool IsAwaited(const Call& call) const;
  void ReleaseConnection(const Call& call);
  void OnCallReceived(std::uint64_t number);
  void OnCallEnded(std::uint64_t number);
  void AbandonAttempt(std::uint64_t id, int attempt, Outcome outcome);
  void EndAttempt(std::uint64_t id, int attempt, Outcome outcome, Seconds retry_after);
  void Submit(std::uint64_t client);
  void OnEndedByRelay(std::uint64_t id, bool rejected, Seconds retry_after);
  void ScheduleRetry(std::uint64_t client, Seconds retry_after);
  void RecordDelivery(Client& client);
  void EraseIfDone(std::uint64_t id);
  void ApplyPoolChange(const EndpointChange& change);
  void PublishChange(EndpointId endpoint, EndpointStatus status);
  void DeliverListUpdate(Relay& relay);
  void ApplyFault(const RelayFault& fault, bool shutdown_over);
  void RestartRelay(Relay& relay);
  ListedEndpoint ListEntry(EndpointId endpoint, EndpointStatus status) const;
  double Draw(const Range& range) { return DrawFrom(range, random_); }

  const Scenario s_;
  pcg32 random_;
  World world_;
  Traffic traffic_;
  Auditor auditor_;
  Tally tally_;
  RunResult& result_;
  FleetSimulation fleet_;
  HeapQueue<ScheduledEvent> queue_;
  Micros now_ = 0;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::vector<Client> clients_;
  std::unordered_map<std::uint64_t, Submission>
      submissions_;  // by message id, until ended with no attempt in flight
  std::unordered_map<std::uint64_t, Call> calls_;
  std::vector<World::ListChange> changes_;
  std::vector<EndpointStatus> statuses_;  // by endpoint, as listed
  std::uint64_t last_message_ = 0, last_call_ = 0, next_relay_ = 0;
};

}  // namespace opalroute::lab
