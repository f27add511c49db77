// A scenario: a deployment, its load and its faults. Scenarios are read from JSON and validated as a whole;
// each error names the path of its key. docs/operate/lab.md explains the keys, lab/scenarios/ holds examples.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/draw.h"
#include "lab/link_model.h"
#include "lab/route_model.h"
#include "opalroute/request_router.h"
#include "zone_failover/operator_override.h"

namespace opalroute::lab {

struct PartnerFault {
  RouteFaultKind kind{};
  std::string kind_name;
  double share = 0;  // of the load: the partners that carry it are drawn from the seed; or ...
  int partner = -1;  // ... this partner
  int zone = -1;     // only endpoints in this zone; -1: all
  Seconds start = 0, duration = 0;
  double probability = 1;     // per call, for the kinds that strike single calls (ByChance)
  double latency_factor = 1;  // kSlow
};

struct Burst {
  Seconds start = 0, duration = 0;
  double multiplier = 1;  // of the usual rate
  int hot_partners = 0;   // above 0: the load above the usual goes to this many of the busiest partners
};

struct EndpointChange {
  enum class Kind { kDrain, kReplace } kind{};
  Seconds at = 0;
  double share = 0;  // of the endpoints
};

struct RelayFault {
  enum class Kind {
    kKill,            // SIGKILL, and a new start after `downtime`
    kStop,            // SIGTERM, and a new start after `downtime`
    kFreeze,          // SIGSTOP, and SIGCONT after `downtime`
    kReload,          // a new configuration file, and SIGHUP
    kKillAfterAccept  // SIGKILL right after the next request that it accepts; on sockets only
  } kind{};
  int relay = 0;
  Seconds at = 0, downtime = 0;
  int last_relay = -1;             // above `relay`: the fault hits all relays from `relay` to this one
  bool loses_saved_state = false;  // its saved fleet membership and zone state are gone
};

// A fault of the endpoint list service towards some relays, on sockets only.
struct ListFault {
  enum class Kind {
    kUnavailable,    // open watches are ended; new ones get 503 after a delay
    kResetRequests,  // open watches and new requests for the list are reset; notifications are answered
    kResetWatches,   // open watches are reset once, when the fault begins
    kSilentWatches,  // open watches receive nothing more; new ones are served
    kOutdatedList,   // open watches are reset; each new one begins with a list from before the latest changes
    kTruncatedLine,  // a line of a watch is cut in the middle, and the connection ends
    kUnreachable     // nothing listens for the fault's duration, neither for the list nor for notifications
  } kind{};
  int first_relay = 0, last_relay = 0;  // inclusive
  Seconds start = 0, duration = 0;
};

// Clients of one relay that never complete a request, on sockets only.
struct StalledClientsPlan {
  enum class Kind {
    kIdle,           // send nothing
    kPartialHeader,  // stop within a request's header
    kPartialBody     // stop within its body
  } kind{};
  int relay = 0, count = 1;
  Seconds at = 0;
};

// Servers that write an earlier response of a connection once more, while a later request is in flight on it.
// On sockets only.
struct StrayResponsePlan {
  // The server's own response to the request that the stray one precedes.
  enum class OwnResponse {
    kUnchanged,   // as without the fault
    kRejected,    // 503; the request does not run
    kRetryAfter,  // 429 with a Retry-After; the request does not run
    kClosed,      // none: the connection ends; the request does not run
    kNone         // none: the connection stays open; the request does not run
  };
  double share = 0;            // of the calls on connections that have carried one before
  double platform_share = 0;   // the same of the notifications, of which the platform then takes none
  Range delay{0, 0.1};         // from the request's last byte to the stray response
  bool repeats_latest = true;  // the latest response of the connection; else any of the earlier ones
  OwnResponse own_response = OwnResponse::kUnchanged;
  Range own_delay{0.07, 0.09};  // from the request's last byte to the own response, unless it is unchanged
};

// Endpoints that withdraw messages in time: they respond that a message is over (410, `void` in a batch), and
// never run it. On sockets only.
struct WithdrawalPlan {
  double share = 0;  // of the messages
};

// Faults of connections to endpoints, drawn call by call. A call that meets one does not run. On sockets
// only.
struct ConnectionFaultPlan {
  double closed_share = 0;      // of the calls: the connection is closed in place of a response
  double reset_share = 0;       // of the calls: the same, with a reset
  double silent_share = 0;      // of the calls: no response, and the connection stays open
  double idle_close_share = 0;  // of the responses: the connection is closed some time after it, if idle
  Range idle_close_delay{0.01, 0.1};
};

struct OperatorOverridePlan {  // an operator override of a zone, given to one relay
  int relay = 0, zone = 0;
  zone_failover::OverrideKind kind{};
  Seconds at = 0, duration = 0;
};

struct ClassPlan {
  std::string name;
  RequestClass rules;
  double share = 0;  // of the messages
};

struct TenantPlan {
  std::string name;
  double share = 0;  // of the messages
  double quota = 0;  // messages a second, over all relays
};

struct Scenario {
  std::string name = "unnamed";
  Seconds duration = 30;  // of arrivals; the run then continues until all messages have ended
  int relays = 2;
  Settings settings;  // of the decision module; each run sets the seed
  std::vector<ClassPlan> classes;
  std::vector<TenantPlan> tenants;  // at least one
  std::vector<std::string> zones;
  struct Partners {
    int count = 10;
    Range endpoints{1, 4};
    double zipf_exponent = 1;  // of their shares of the load
    // Share of partners where each endpoint is a route with its own limit and outages.
    double separate_routes_share = 0;
    int max_batch = 1;               // messages in one call to those
    Range mean_latency{0.18, 0.45};  // of calls, drawn for each partner
    double latency_cv = 0.4;         // coefficient of variation of single calls (log-normal)
    Range headroom{1.3, 2.3};        // rate limit over the partner's part of the load; 0: no limit
    double min_limit = 2;            // calls a second
    double window_share = 0.5;  // share of partners whose limit is a count per window instead of a plain rate
    Seconds window = 1;
    Range retry_after_share{0.1, 0.99};  // share of a partner's rejections that carry Retry-After
    Range retry_after{0.3, 1};
    bool rejected_calls_count = true;  // rejected calls use up the limit
    double capacity_over_limit = 1.4;
    int max_queued_calls = -1;  // calls that may wait for a slot, per route; negative: unlimited slots
    // That an endpoint accepts from all relays together, idle ones included; 0: no limit.
    Range max_connections{0, 0};
  } partners;
  struct Load {
    double rate = 20;              // messages a second, over all relays
    double cluster_share = 0;      // of the messages arrive in clusters: many at once for one partner
    Range cluster_size{1.3, 3.2};  // in seconds of the partner's limit
    std::vector<Burst> bursts;
    int ordering_keys = 0;  // per partner, on messages of classes ordered by key; 0: none
  } load;
  struct Clients {
    int max_retries = 2;        // after a rejection
    Range retry_delay{0.3, 2};  // without Retry-After
  } clients;
  Range one_way_delay{0.005, 0.015};  // of the network, drawn for each relay and zone
  Seconds handshake_time = 0.001;     // a new connection costs a round trip and this
  Range list_delay{1, 4};             // from a change of the endpoint list until a relay receives it
  LinkSettings links;
  bool peer_datagrams = false;  // relays may send one another datagrams
  bool share_quotas = false;    // relays follow the fleet's membership (src/membership) ...
  bool evacuate_zones = false;  // ... and evacuate failing zones together (src/zone_failover)
  bool oracle = false;          // instead, every relay is told the true state of each zone at once
  std::vector<PartnerFault> partner_faults;
  std::vector<EndpointChange> endpoint_changes;
  std::vector<ListFault> list_faults;
  std::vector<StalledClientsPlan> stalled_clients;
  std::vector<RelayFault> relay_faults;
  StrayResponsePlan stray_responses;
  WithdrawalPlan withdrawals;
  ConnectionFaultPlan connection_faults;
  std::vector<OperatorOverridePlan> operator_overrides;
};

// The latest end of a run: its arrivals, the longest deadline, and some seconds for late answers.
Seconds LatestEnd(const Scenario& scenario);

// Throws config::Faults, one line for each error.
Scenario ReadScenario(const nlohmann::json& json);
// Throws config::FieldError if the file can't be read or is not JSON.
nlohmann::json ReadScenarioFile(const std::string& path);
Scenario LoadScenario(const std::string& path);
// `source` is FILE or FILE,key=value,...; `assignments` are applied after it, each key=value. Throws as the
// two above.
Scenario ReadScenarioWithOverrides(const std::string& source, const std::vector<std::string>& assignments);

// Sets the value (JSON, or else a string) at the dotted path of a scenario's JSON, as `--set load.rate=30`
// does.
void SetByPath(nlohmann::json& json, const std::string& assignment);

}  // namespace opalroute::lab
