// The one place where the configuration is read, checked and given defaults.
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
  std::optional<sockaddr_in> peer_listen, peers_all, ops;
  int inherited_fd = -1;           // the clients' listening socket, where the platform holds it
  std::vector<sockaddr_in> peers;  // by their numbers
  int own_peer = -1;               // among them
  bool may_tell_peers = false;     // the settings allow notes between relays
  Settings settings;
  std::vector<std::string> classes, tenants, zones, kinds;  // names, in the settings' order
  nlohmann::json known;                                     // the list as it was last held, or null
  Limits limits;
  nlohmann::json file;  // what was read, but for `known` and `seed`, which serve a start alone
};

// Its place among the names, or -1.
int IndexOf(const std::vector<std::string>& names, const std::string& name);

namespace config {

using Environment = std::function<std::optional<std::string>(const char* name)>;

// Variables of the environment stand over the file that EDGE_CONFIG names. Throws a FieldError that names the
// key at fault.
Config Load(const Environment& environment);
Config Parse(const nlohmann::json& file, const Environment& environment);

// Reads and checks the file anew. EDGE_DISCOVERY is as old as the process: here the file stands over it.
Config Reload(const Environment& environment);

// The keys, by their paths, that differ and take effect only with a restart.
std::vector<std::string> KeysForRestart(const Config& old, const Config& fresh);

}  // namespace config
}  // namespace opalroute
