// A scenario: a deployment, its load and its troubles. Read from JSON and checked whole; every fault is told
// with the path of its key. docs/operate/lab.md explains the keys, lab/scenarios/ holds some.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/draw.h"
#include "lab/lane_model.h"
#include "lab/links.h"
#include "opalroute/request_router.h"
#include "zone_failover/operator_override.h"

namespace opalroute::lab {

struct Trouble {
  RouteFaultKind kind{};
  std::string name;
  double share = 0;  // of the partners, the busiest of a draw first; or ...
  int partner = -1;  // ... this one
  int zone = -1;     // only endpoints in this zone; -1: all
  Seconds from = 0, lasts = 0;
  double chance = 1;  // of a call, where it strikes by chance
  double factor = 1;  // kSlow
};

struct Burst {
  Seconds from = 0, lasts = 0;
  double times = 1;      // the usual load
  int hot_partners = 0;  // above 0: what comes above the usual goes to so many busy partners
};

struct PoolChange {
  enum class Kind { kDrain, kReplace } kind{};
  Seconds at = 0;
  double share = 0;  // of the endpoints
};

struct RelayFault {
  enum class Kind {
    kKill,            // SIGKILL, and a new start after `down`
    kStop,            // SIGTERM, and the same
    kFreeze,          // SIGSTOP, and SIGCONT after `down`
    kReload,          // a new file of the configuration, and SIGHUP
    kKillAfterAccept  // SIGKILL right behind the next request that it accepts; on sockets alone
  } kind{};
  int relay = 0;
  Seconds at = 0, down = 0;
  int through = -1;      // above `relay`: all from that to this one
  bool forgets = false;  // what it kept of tier and zones is gone
};

// What befalls the watches of some relays, on sockets alone. A new watch meets it, too.
struct ListFault {
  enum class Kind {
    kBusy,        // 503, after a while
    kRefuse,      // requests for the list and its watch are reset; notifications are answered
    kReset,       // watches that are open are reset, at its beginning
    kSilent,      // watches that are open bring nothing more; new ones are served
    kOld,         // each watch begins with a list from before the latest changes
    kCutLine,     // a line is cut in its midst, and the connection ends
    kUnreachable  // nobody listens, for the list and for notifications alike: these are overdue meanwhile
  } kind{};
  int first = 0, last = 0;  // relays, both counted
  Seconds from = 0, lasts = 0;
};

// Clients of one relay that finish no request, on sockets alone.
struct RudePlan {
  enum class Kind {
    kIdle,      // say nothing
    kHalfHead,  // stop in a request's head
    kHalfBody   // stop in its body
  } kind{};
  int relay = 0, count = 1;
  Seconds at = 0;
};

struct HandGiven {  // an operator's order of a zone, to one relay
  int relay = 0, zone = 0;
  zone_failover::OverrideKind what{};
  Seconds at = 0, lasts = 0;
};

struct ClassPlan {
  std::string name;
  RequestClass rules;
  double share = 0;  // of the messages
};

struct TenantPlan {
  std::string name;
  double share = 0;      // of the messages
  double allowance = 0;  // messages a second within its share, to all relays
};

struct Scenario {
  std::string name = "unnamed";
  Seconds lasts = 30;  // of arrivals; it then runs on until all is answered
  int relays = 2;
  Settings settings;  // of the decision module, but for seed and classes' order
  std::vector<ClassPlan> classes;
  std::vector<TenantPlan> tenants;  // one at least
  std::vector<std::string> zones;
  struct Partners {
    int count = 10;
    Range endpoints{1, 4};
    double zipf = 1;   // exponent of their shares of the load
    double apart = 0;  // share of them whose endpoints are routes with a limit and outages of their own
    int bundle = 1;    // messages in a call to those
    Range latency{0.18, 0.45};  // mean of a call, drawn for each partner
    double latency_cv = 0.4;    // coefficient of variation of single calls (log-normal)
    Range headroom{1.3, 2.3};   // its limit over its part of the load; 0: no limit
    double least_limit = 2;     // calls a second
    double window_share = 0.5;  // share of partners with a count in a window instead of a plain rate
    Seconds window = 1;
    Range tells_wait{0.1, 0.99};  // share of refusals that tell a wait, drawn for each partner
    Range wait{0.3, 1};
    bool refused_count = true;  // refused calls use up the limit
    double spare = 1.4;         // capacity over limit
    int queue = -1;             // calls that wait for a place, a lane; below 0: places without end
    Range connections{0, 0};    // that an endpoint takes from all relays, idle ones counted; 0: no limit
  } partners;
  struct Load {
    double rate = 20;        // messages a second to all relays
    double clump_share = 0;  // of the messages come in clumps for one partner
    Range clump{1.3, 3.2};   // a clump's size: seconds of the partner's limit
    std::vector<Burst> bursts;
    int order_keys = 0;  // a partner: messages of classes kept in order carry one of so many; 0: none
  } load;
  struct Clients {
    int retries = 2;     // after a refusal
    Range wait{0.3, 2};  // where none was advised
  } clients;
  Range one_way{0.005, 0.015};  // of the network, drawn for each relay and zone
  Seconds handshake = 0.001;    // a new connection costs the call a round trip and this
  Range list_late{1, 4};        // a change of the list reaches a relay so long after it was made
  LinkSettings links;
  bool notes = false;   // relays may send one another datagrams
  bool tier = false;    // they follow who is there (src/tier) ...
  bool leave = false;   // ... and leave failing zones together (src/zones)
  bool oracle = false;  // every relay is told each zone's state at once, in place of that
  std::vector<Trouble> troubles;
  std::vector<PoolChange> pool_changes;
  std::vector<ListFault> list_faults;
  std::vector<RudePlan> rude_clients;
  std::vector<RelayFault> relay_faults;
  std::vector<HandGiven> zone_orders;
};

// When a run of it ends at the latest: its arrivals, the longest deadline, and some seconds for what is late.
Seconds EndOf(const Scenario& scenario);

// Throws config::Faults, one line a fault.
Scenario ReadScenario(const nlohmann::json& json);
// Throws config::FieldError if there is no such file, or no JSON in it.
nlohmann::json ReadScenarioFile(const std::string& path);
Scenario LoadScenario(const std::string& path);
// `what`: a file, or FILE,key=value,...; then `sets`, each key=value. Throws as the two above.
Scenario ReadScenarioWith(const std::string& what, const std::vector<std::string>& sets);

// Puts `value` (JSON, or else a text) at the dotted path of a scenario's JSON, as `--set load.rate=30` does.
void SetByPath(nlohmann::json& json, const std::string& assignment);

}  // namespace opalroute::lab
