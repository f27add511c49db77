// What a run came to: counts, worth, latencies, a series by second, breaches; and its JSON.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/auditor.h"
#include "lab/evenness.h"
#include "lab/scenario.h"

namespace opalroute::lab {

// Times from 0.1 ms to 1,000 s in steps of 2%, from when a message was first due: a relay that stands still
// can't hide what waited for it.
class LatencyHistogram {
 public:
  void Add(Seconds latency) {
    histogram_(std::max(latency, 1e-4));
    ++count_;
  }
  long count() const { return count_; }
  Seconds At(double quantile) const;  // the upper edge of its step; 0: none were added
  nlohmann::json ToJson() const;      // quantiles to 99.99
  nlohmann::json Curve() const;       // [nines, seconds], as far as there are messages: 2 nines are 99%

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  static Axis MakeAxis() { return Axis(814, 1e-4, 1e3); }
  boost::histogram::histogram<std::tuple<Axis>> histogram_ = boost::histogram::make_histogram(MakeAxis());
  long count_ = 0;
};

struct Second {
  int offered = 0, delivered = 0, refused = 0, failed = 0;  // by when they were due, or ended
  int calls = 0, full = 0;
  std::vector<long> zone_calls;    // by zone
  std::vector<long> spared_calls;  // by zone: of partners that stand in other zones too
  int watched_calls = 0;           // at the partner that is watched closely
  double watched_capacity = -1;    // calls that it could do, a second; below 0: nobody has looked
};

struct ClassOutcome {
  std::string name;
  long asked = 0, delivered = 0, in_aim = 0;
  double worth = 0, worth_asked = 0;
  LatencyHistogram latency;
};

struct PartnerOutcome {
  int number = 0;               // the destination's
  double share = 0, limit = 0;  // of the load; calls a second
  long asked = 0, delivered = 0, calls = 0;
};

// A relay's process, where relays are processes.
struct ProcessSample {
  Seconds at = 0;
  long rss_kb = 0, descriptors = 0;
  Seconds cpu = 0;  // used so far by its present life
};
struct Crash {
  int relay = -1;
  Seconds at = 0;
  std::string how;       // its exit status or signal
  std::string last_log;  // its last lines
};

struct StageChange {  // of a zone, at one relay
  Seconds at = 0;
  int relay = 0, zone = 0;
  std::uint64_t round = 0;
  std::string step;
  bool heard = false;  // from another relay
};

struct RunResult {
  std::string scenario;
  std::uint64_t seed = 0;
  std::vector<ClassOutcome> classes;
  std::vector<Second> seconds;
  std::vector<PartnerOutcome> partners;
  int watched = 0;                                    // index of the partner that is watched closely
  std::string played = "simulated";                   // or "sockets"
  std::vector<std::vector<ProcessSample>> processes;  // by relay, on sockets
  std::vector<Crash> crashes;
  LatencyHistogram answer_time;  // on sockets: from a request's last byte to its 202
  // How late the laboratory itself was, on sockets. A run whose clock slipped says nothing of the relays.
  Seconds lateness_p99 = 0, lateness_most = 0;
  std::string void_because;                     // empty: the run counts
  long handed_in = 0, refused = 0, failed = 0;  // by relays, retries counted
  long calls = 0, attempts = 0, full = 0, errors = 0, timeouts = 0, unconnected = 0, resets = 0, probes = 0;
  long collapses = 0;
  long closed_unread = 0;      // requests on connections that a stopping relay closed before it had read them
  Auditor::Restarts restarts;  // on sockets
  long client_doubles = 0;     // keyed effects doubled by clients that came again after the window
  long events = 0;
  long notes = 0, note_bytes = 0;  // between relays, by what was sent to each
  // Of those: "lanes" of the decision module, and the tier's kinds (membership::NoteKind). In simulated time
  // only.
  std::map<std::string, long> notes_by_kind;
  std::vector<long> endpoint_calls, relay_calls;  // by endpoint and by relay
  long handshakes = 0;                            // connections that came up
  EvenCount even;
  std::vector<StageChange> stage_changes;
  std::vector<Breach> breaches;

  double Worth() const;                                               // delivered over asked
  double WorstTenSeconds() const;                                     // delivered over offered messages
  std::vector<PartnerOutcome> WorstPartners(std::size_t most) const;  // by the share delivered
  bool Sound() const { return breaches.empty() && crashes.empty() && void_because.empty(); }
  nlohmann::json ToJson() const;
};

}  // namespace opalroute::lab
