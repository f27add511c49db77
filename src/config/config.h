// Reads the configuration of the platform, validates it and fills in defaults.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/fields.h"
#include "config/limits.h"
#include "opalroute/settings.h"

namespace opalroute {

struct Config {
  std::string name, state_folder;
  sockaddr_in listen{}, discovery{};
  std::optional<sockaddr_in> peer_listen, ops;
  std::optional<sockaddr_in> broadcast_address;  // reaches all peers
  int inherited_fd = -1;  // the clients' listening socket if the platform passes it on (hot restart), else -1
  std::vector<sockaddr_in> peers;  // all relays of the fleet, by peer number
  int own_peer = -1;               // this relay's number; -1: unknown
  bool may_gossip = false;         // the settings allow gossip between relays
  Settings settings;
  std::vector<std::string> classes, tenants, zones, kinds;  // names, in the settings' order
  nlohmann::json cached_list;  // the endpoint list of an earlier process, or null
  Limits limits;
  nlohmann::json file;  // the file without `known` and `seed`, which only matter at the start
};

// The index of `name`, or -1.
int IndexOf(const std::vector<std::string>& names, const std::string& name);

// The zone, or the endpoint kind, of this name; nothing if the settings have none.
std::optional<ZoneId> ZoneNamed(const Config& config, const std::string& name);
std::optional<KindId> KindNamed(const Config& config, const std::string& name);
// The name of the zone in the settings; empty for an unknown one.
std::string NameOf(const Config& config, std::optional<ZoneId> zone);

namespace config {

using Environment = std::function<std::optional<std::string>(const char* name)>;

// Environment variables override the file that EDGE_CONFIG names. Throws a FieldError that names each invalid
// key.
Config Load(const Environment& environment);
Config Parse(const nlohmann::json& file, const Environment& environment);

// Reads and validates the file again. EDGE_DISCOVERY dates from the start of the process, so here `discovery`
// in the file overrides it.
Config Reload(const Environment& environment);

// The JSON pointers of values that differ and take effect only after a restart.
std::vector<std::string> KeysNeedingRestart(const Config& old, const Config& fresh);

}  // namespace config
}  // namespace opalroute
