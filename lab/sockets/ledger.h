// What became of each message, seen from both sides on sockets: clients hand in, endpoints get calls, the
// platform gets notices. Tells the auditor and the tally; knows nothing of sockets.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "lab/auditor.h"
#include "lab/tally.h"
#include "lab/traffic.h"

namespace opalroute::lab {

class Ledger {
 public:
  Ledger(const World& world, Auditor& auditor, Tally& tally)
      : world_(world), s_(world.scenario()), auditor_(auditor), tally_(tally) {}

  // A message of a client, however often it is handed in. Returns its number.
  std::size_t Ask(const Arrival& arrival);
  const Arrival& arrival(std::size_t client) const { return clients_[client].arrival; }
  Seconds DeadlineOf(std::size_t client) const;
  bool delivered(std::size_t client) const { return clients_[client].delivered; }

  // Handed in to a relay, under an id of its own (counted from 1).
  std::uint64_t HandIn(Seconds now, int relay, std::size_t client);
  void TakenOn(Seconds now, std::uint64_t id);  // the client has read 202 or 200
  void Refused(Seconds now, std::uint64_t id);
  void Failed(Seconds now, std::uint64_t id);
  void Withdrawn(Seconds now, std::uint64_t id);  // no answer in time, or no relay there
  // A notice to the platform. A message that is over is not touched.
  enum class Notice { kGivenUp, kHandedBack };
  void Noticed(Seconds now, std::uint64_t id, Notice notice, Seconds advice);
  // Told when a message that was taken on is handed back, with the wait advised (0: none).
  std::function<void(std::size_t client, Seconds advice)> on_handed_back;

  // A call's last byte has come. Void: the message is over, or nobody knows it; then it must not run.
  static constexpr int kVoid = -1;
  int Arrived(Seconds now, int relay, std::uint64_t id, EndpointId endpoint);  // the attempt's number
  // A relay that stands still hears of no end until then.
  void Deaf(int relay, Seconds until) { deaf_until_[relay] = until; }
  void Ran(Seconds now, std::uint64_t id);
  // An attempt's answer was written, or its connection has ended before.
  void Over(Seconds now, std::uint64_t id, int attempt, Outcome outcome);

  std::size_t open() const { return open_; }  // handed in and not over

  // The relay's next process has started: what it was handed in and has not called for counts as found
  // untried if half of its time is left.
  void RelayRestarted(Seconds now, int relay);
  // Of all restarts: what was found untried, and what of it has ended early with no call.
  int untried() const { return untried_; }
  int untried_ended() const { return untried_ended_; }

 private:
  struct Client {
    Arrival arrival;
    bool delivered = false;
  };
  struct Handing {
    std::size_t client = 0;
    Seconds ended = 0;
    int relay = 0;
    int attempts = 0;
    bool found_untried = false;
    bool taken_on = false, served = false, over = false, withdrawn = false;
  };
  Handing* Find(std::uint64_t id) { return id >= 1 && id <= handings_.size() ? &handings_[id - 1] : nullptr; }
  Seconds TimeOf(std::size_t client, double share) const;  // when that share of its time is over
  bool MayArriveLate(Seconds now, int relay, const Handing& handing) const;
  bool MayComeAgain(Seconds now, const Handing& handing) const;
  void End(Seconds now, std::uint64_t id, Handing& handing, Auditor::End end);

  const World& world_;
  const Scenario& s_;
  Auditor& auditor_;
  Tally& tally_;
  std::vector<Client> clients_;
  std::vector<Handing> handings_;
  std::map<int, Seconds> deaf_until_;  // by relay
  std::size_t open_ = 0;
  int untried_ = 0, untried_ended_ = 0;
};

}  // namespace opalroute::lab
