// Plays a scenario in simulated time: many decision modules, the partners' models between them, one queue of
// events. The same seed gives the same run to the byte. Relays share nothing but the partners.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "lab/auditor.h"
#include "lab/event_queue.h"
#include "lab/tally.h"
#include "lab/tier_play.h"
#include "lab/traffic.h"
#include "lab/world.h"
#include "opalroute/request_router.h"

namespace opalroute::lab {

class Simulation : private TierPlay::Host {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed);
  ~Simulation() override;

  // `progress` is told the simulated second from time to time. Throws std::runtime_error where the clock no
  // longer moves: a fault of the laboratory.
  RunResult Run(const std::function<void(Seconds)>& progress = nullptr);

 private:
  enum class Kind : std::uint8_t {
    kArrival,  // the next of the traffic
    kHandIn,   // a client's message, a: its index
    kTurn,     // of a relay
    kWake,     // of a relay, a: label
    kReach,    // a call's last byte reaches its endpoint, a: call
    kBack,     // a call's outcome reaches its relay, a: call
    kUntil,    // an attempt's time is up, a: message, b: attempt
    kNews,     // the next change of the list reaches a relay
    kChange,   // the list changes, a: of the scenario
    kGone,     // a drained endpoint's machine goes, a: endpoint
    kFault,    // strikes a relay, a: of the scenario
    kUp,       // a relay starts again
    kTick,     // of a relay as a member of its tier
    kNote,     // a datagram reaches a relay, a: its number
    kRefusal,  // of a datagram by the machine of another relay, a: that relay
    kTruth,    // the oracle speaks
    kOrder     // an operator's, of a zone, a: of the scenario
  };
  struct Payload {
    Kind kind{};
    std::int32_t relay = 0;
    std::uint64_t a = 0;
    std::uint32_t b = 0;
    std::uint32_t life = 0;  // of the relay that it was meant for
  };
  struct Attempt {
    EndpointId endpoint = 0;
    Seconds sent = 0;
    std::uint64_t call = 0;
    bool out = true, may_have_run = true;
  };
  struct Client {  // one message of a client, however often it is handed in
    Arrival arrival;
    int retries = 0;
    bool delivered = false;
  };
  struct Handing {  // a message as a relay has it, under an id of its own
    std::uint64_t client = 0;
    int relay = 0;
    Seconds deadline = 0;
    bool over = false;
    int out = 0;
    std::vector<Attempt> attempts;
  };
  struct Call {
    int relay = 0;
    std::uint32_t life = 0;
    EndpointId endpoint = 0;
    Seconds sent = 0;
    std::vector<std::pair<std::uint64_t, int>> members;  // id and attempt, as long as the relay awaits them
    bool probe = false, connects = true, crowded = false, in_outage = false;
    RouteModel::CallResult result;
  };
  struct Relay;

  static Micros ToMicros(Seconds seconds) { return static_cast<Micros>(seconds * 1e6 + 0.5); }
  Seconds now() const { return static_cast<double>(now_) * 1e-6; }
  void At(Seconds when, Payload payload) { queue_.Push(std::max(now_, ToMicros(when)), payload); }
  static bool IsRelays(Kind kind);
  // TierPlay::Host
  Seconds TierNow() const override { return now(); }
  bool IsUp(int relay) const override;
  void PostTo(int relay, opalroute::Event event) override;
  void NoteAt(Seconds when, int relay, std::uint64_t note) override { At(when, {Kind::kNote, relay, note}); }
  void RefusalAt(Seconds when, int relay, int peer) override {
    At(when, {Kind::kRefusal, relay, static_cast<std::uint64_t>(peer)});
  }
  void PlayTier(const Payload& event);
  bool Reaches(int relay, const PartnerEndpoint& endpoint) const;
  void Play(const Payload& event);

  void StartRelay(Relay& relay);
  void Post(Relay& relay, opalroute::Event event);
  void Apply(Relay& relay, const std::vector<Action>& actions);
  void Gather(Relay& relay, const Send& send);
  void StartCall(Relay& relay, EndpointId endpoint, std::vector<std::pair<std::uint64_t, int>> members,
                 bool probe);
  int ConnectionsTo(EndpointId endpoint) const;
  bool Awaited(const Call& call) const;
  void EndConnection(const Call& call);
  void Reach(std::uint64_t number);
  void Back(std::uint64_t number);
  void GiveUp(std::uint64_t id, int attempt, Outcome outcome);
  void EndAttempt(std::uint64_t id, int attempt, Outcome outcome, Seconds wait);
  void HandIn(std::uint64_t client);
  void EndByRelay(std::uint64_t id, bool refused, Seconds advice);
  void ComeAgain(std::uint64_t client, Seconds advice);
  void Deliver(Client& client);
  void ForgetIfDone(std::uint64_t id);
  void ChangeList(const PoolChange& change);
  void Publish(EndpointId endpoint, EndpointStatus listing);
  void TellNews(Relay& relay);
  void Strike(const RelayFault& fault, bool forced);
  void BringUp(Relay& relay);
  ListedEndpoint EntryOf(EndpointId endpoint, EndpointStatus listing) const;
  double Draw(const Range& range) { return DrawFrom(range, random_); }

  const Scenario s_;
  pcg32 random_;
  World world_;
  Traffic traffic_;
  Auditor auditor_;
  Tally tally_;
  RunResult& result_;
  TierPlay tier_;
  HeapQueue<Payload> queue_;
  Micros now_ = 0;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::vector<Client> clients_;
  std::unordered_map<std::uint64_t, Handing> handings_;  // by id, until over with nothing out
  std::unordered_map<std::uint64_t, Call> calls_;
  std::vector<World::ListChange> changes_;
  std::vector<EndpointStatus> listings_;  // by endpoint, as the list has them
  std::uint64_t last_id_ = 0, last_call_ = 0, next_relay_ = 0;
};

}  // namespace opalroute::lab
