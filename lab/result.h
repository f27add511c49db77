// The result of a run: counts, delivered value, latencies, a time series by second, breaches; and its JSON.
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

// Times from 0.1 ms to 1,000 s in steps of 2%. Latencies are measured from when a message was due, so that a
// stalled relay can't hide the messages that waited for it (coordinated omission).
class LatencyHistogram {
 public:
  void Add(Seconds latency) {
    histogram_(std::max(latency, 1e-4));
    ++count_;
  }
  long count() const { return count_; }
  Seconds Quantile(double quantile) const;  // the upper edge of its bin; 0 if there are no samples
  nlohmann::json ToJson() const;            // quantiles up to 99.99%
  // Pairs [nines, seconds] as far as there are samples; nines is -log10(1 - quantile): 2 stands for 99%.
  nlohmann::json QuantileCurve() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  static Axis MakeAxis() { return Axis(814, 1e-4, 1e3); }
  boost::histogram::histogram<std::tuple<Axis>> histogram_ = boost::histogram::make_histogram(MakeAxis());
  long count_ = 0;
};

struct SecondCounts {
  int offered = 0, delivered = 0;  // messages, in the second when they were due
  int rejected = 0, failed = 0;    // messages, in the second when they ended
  int calls = 0, rejected_calls = 0;
  std::vector<long> zone_calls;                // by zone
  std::vector<long> multi_zone_partner_calls;  // by zone: calls to partners with endpoints in several zones
  int watched_calls = 0;                       // to the watched partner
  double watched_capacity = -1;                // its capacity in calls a second; negative: not sampled
};

struct ClassOutcome {
  std::string name;
  long offered = 0, delivered = 0, within_objective = 0;
  double value = 0, offered_value = 0;  // sums of priority weights; a delivery past the objective counts less
  LatencyHistogram latency;
};

struct PartnerOutcome {
  int number = 0;               // of the destination
  double share = 0, limit = 0;  // of the load; calls a second
  long offered = 0, delivered = 0, calls = 0;
};

// A sample of one relay process, on sockets only.
struct ProcessSample {
  Seconds at = 0;
  long rss_kb = 0, descriptors = 0;
  long peak_rss_kb = 0;  // since the process started (VmHWM)
  Seconds cpu = 0;       // used by this process so far; restarts begin at 0
};
struct Crash {
  int relay = -1;
  Seconds at = 0;
  std::string cause;     // exit status or signal
  std::string last_log;  // the last lines of its log
};

struct ZonePhaseChange {  // of one zone, at one relay
  Seconds at = 0;
  int relay = 0, zone = 0;
  std::uint64_t round = 0;
  std::string phase;
  bool from_peer = false;  // learned from another relay
};

struct RunResult {
  std::string scenario;
  std::uint64_t seed = 0;
  std::vector<ClassOutcome> classes;
  std::vector<SecondCounts> seconds;
  std::vector<PartnerOutcome> partners;
  int watched_partner = 0;                            // index; its load and capacity are recorded by second
  std::string mode = "simulated";                     // or "sockets"
  std::vector<std::vector<ProcessSample>> processes;  // by relay, on sockets
  std::vector<Crash> crashes;
  LatencyHistogram answer_time;  // on sockets: from a request's last byte to its 202
  // How late the laboratory's own timers fired, on sockets. A run in which they were too late says nothing
  // about the relays.
  Seconds lateness_p99 = 0, lateness_max = 0;
  std::string void_reason;                       // empty: the run is valid
  long submitted = 0, rejected = 0, failed = 0;  // messages at relays, each retry of a client counted
  long calls = 0, attempts = 0, health_checks = 0;
  long stray_responses = 0;  // on sockets: responses that servers wrote once more during a later request
  long withdrawn = 0;        // on sockets: messages that endpoints have withdrawn in time
  // On sockets: messages that were delivered, and then notified as failed or rejected.
  long notified_after_delivery = 0;
  // Attempts by outcome.
  long rejected_attempts = 0, failed_attempts = 0, timeouts = 0, connect_failures = 0, resets = 0;
  long collapses = 0;          // routes that collapsed under load after an outage
  long closed_unread = 0;      // requests on connections that a stopping relay closed before it had read them
  Auditor::Restarts restarts;  // on sockets
  long client_duplicates = 0;  // repeated effects because a client retried after the deduplication window
  long events = 0;
  long datagrams = 0, datagram_bytes = 0;  // between relays, counted once per recipient
  // Datagrams by kind: "lanes" for those of the decision module, and the kinds of membership messages. In
  // simulated time only.
  std::map<std::string, long> datagrams_by_kind;
  std::vector<long> endpoint_calls, relay_calls;  // by endpoint and by relay
  long handshakes = 0;                            // connections that were established
  EvennessCounter evenness;
  std::vector<ZonePhaseChange> zone_phase_changes;
  std::vector<Breach> breaches;

  double ValueShare() const;       // delivered value over offered value
  double WorstTenSeconds() const;  // the lowest delivered over offered messages
  std::vector<PartnerOutcome> WorstPartners(std::size_t max_count) const;  // lowest share delivered first
  bool Passed() const { return breaches.empty() && crashes.empty() && void_reason.empty(); }
  nlohmann::json ToJson() const;
};

}  // namespace opalroute::lab
