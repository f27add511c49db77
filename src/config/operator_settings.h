// Operators' settings and their defaults. cli/operator_options.h says where they come from.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace opalroute {

// Times are in seconds; ranges are those that the command line accepts.
struct OperatorSettings {
  bool log_json = false;
  std::string log_level = "info";
  struct StateTransfer {
    std::optional<sockaddr_in> listen;  // where other relays may fetch a snapshot
    std::vector<sockaddr_in> donors;    // relays whose snapshots are fetched at the start
    bool use_datagrams = false;         // ask peers by datagrams at the start, and answer theirs
    bool use_state_folder = false;      // save a snapshot to the state folder, and load it at the start
    double timeout = 0.3;               // how long readiness waits for the donors; 0.01 to 10
    double max_retry_after = 30;        // for how long a transferred Retry-After holds at most; 0 to 3600
    bool enabled() const { return listen || !donors.empty() || use_datagrams || use_state_folder; }
  } state_transfer;
  struct Fleet {
    bool share_quotas = false;    // divide limits by the number of relays that are alive
    bool evacuate_zones = false;  // all relays together leave failing zones and return to them
    bool enabled() const { return share_quotas || evacuate_zones; }
  } fleet;
  std::optional<sockaddr_in> admin_listen;  // the admin pages' address
  struct Dns {
    std::vector<sockaddr_in> servers;
    double min_ttl = 1;       // a shorter TTL of an answer counts as this; 0.1 to 3600
    double max_ttl = 3600;    // a longer one counts as this; 1 to 86400
    double max_stale = 3600;  // how long after its TTL an answer may be used if servers fail; 0 to 604800
  } dns;
  std::vector<std::pair<std::string, long long>> srv_names;  // SRV names and their destinations
  // Addresses that belong to a destination though no endpoint list names them: SRV may add them.
  std::vector<std::pair<long long, sockaddr_in>> own_addresses;
};

}  // namespace opalroute
