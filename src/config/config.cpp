#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <string_view>

#include "config/memory_limits.h"
#include "config/settings.h"
#include "net/address.h"

namespace opalroute {

int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

std::optional<ZoneId> ZoneNamed(const Config& config, const std::string& name) {
  const int index = IndexOf(config.zones, name);
  return index < 0 ? std::nullopt : std::optional(ZoneId{index});
}

std::optional<KindId> KindNamed(const Config& config, const std::string& name) {
  const int index = IndexOf(config.kinds, name);
  return index < 0 ? std::nullopt : std::optional(KindId{index});
}

std::string NameOf(const Config& config, std::optional<ZoneId> zone) {
  return zone ? config.zones.at(static_cast<std::size_t>(*zone)) : "";
}

}  // namespace opalroute

namespace opalroute::config {

using nlohmann::json;

namespace {

constexpr double kBytesPerMegabyte = 1e6;
constexpr std::size_t kDiskBytesPerRememberedRequest = 800;  // so that their file has 4% of the disk
constexpr double kDefaultMemoryMegabytes = 192;              // where `limits.memory_mb` is missing

sockaddr_in ParseAddressKey(const std::string& text, const char* key) {
  const auto address = net::ParseAddress(text);
  if (!address)
    throw FieldError(std::string("key '") + key + "' must be an address like 127.0.0.1:80, not '" + text +
                     "'");
  return *address;
}

std::string TextOrVariable(const json& file, const char* key, const Environment& environment,
                           const char* variable) {
  if (const auto value = environment(variable)) return *value;
  if (Find(file, key) == nullptr)
    throw FieldError(std::string("key '") + key + "' is missing, and the variable " + variable +
                     " is not set");
  return Get<std::string>(file, key);
}

std::uint64_t ParseSeed(const json& file) {
  const auto text = GetOr(file, "seed", std::string("0"));
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw FieldError("key 'seed' must be a hexadecimal number of up to 64 bits, not '" + text + "'");
  return seed;
}

// Whether the descriptor is a listening socket is checked when the server takes it over.
int ParseInheritedFd(const Environment& environment) {
  const auto text = environment("EDGE_INHERITED_FD");
  if (!text) return -1;
  int fd = -1;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), fd);
  if (error != std::errc() || end != text->data() + text->size() || fd < 0)
    throw FieldError("the variable EDGE_INHERITED_FD must be a file descriptor, not '" + *text + "'");
  return fd;
}

void FillLimits(const json& file, Config& config) {
  Limits& limits = config.limits;
  double memory_mb = kDefaultMemoryMegabytes;
  if (const json* given = Find(file, "limits")) {
    memory_mb = GetOr(*given, "memory_mb", memory_mb);
    if (memory_mb <= 0) throw FieldError("key 'limits.memory_mb' must be greater than 0");
    const auto disk_mb = GetOr(*given, "disk_mb", 3.0);
    if (disk_mb <= 0) throw FieldError("key 'limits.disk_mb' must be greater than 0");
    limits.disk_bytes = static_cast<std::size_t>(disk_mb * kBytesPerMegabyte);
    limits.remembered_requests = limits.disk_bytes / kDiskBytesPerRememberedRequest;
    const auto sockets = GetOr(*given, "sockets", 1024);
    if (sockets < 64) throw FieldError("key 'limits.sockets' must be at least 64");
    // Of each 32 descriptors 15 are for clients, 1 is for clients that only get a reject, and 12 are for
    // endpoints; the rest is for files, discovery, notifications and peers.
    const int groups_of_32 = std::min(sockets, 4096) / 32;
    limits.client_connections = 15 * groups_of_32;
    limits.reject_connections = groups_of_32;
    limits.upstream_connections = 12 * groups_of_32;
    if (config.ops) {  // reserved, so that operators can connect while all client connections are in use
      limits.ops_connections = std::clamp(groups_of_32, 4, 32);
      limits.client_connections -= limits.ops_connections;
    }
  }
  ApplyMemoryLimit(static_cast<std::size_t>(memory_mb * kBytesPerMegabyte), limits);
  const json& settings = Require(file, "settings");
  const json& platform_limits = Require(settings, "limits");
  limits.upstream_connect_timeout = GetOr(platform_limits, "dialTimeoutS", limits.upstream_connect_timeout);
  const double idle = GetOr(platform_limits, "connIdleS", 15.0);
  if (idle <= 0) throw FieldError("key 'settings.limits.connIdleS' must be greater than 0");
  // Shorter than that of the endpoints, so that no request is written while an endpoint closes the
  // connection.
  limits.upstream_idle_timeout = idle - std::min(1.0, idle / 4);
  limits.open_requests = config.settings.request_capacity;
  config.settings.list_heartbeat = limits.watch_heartbeat_interval;
  limits.snapshot_file_bytes = std::min(limits.snapshot_file_bytes, limits.disk_bytes / 20);
  config.may_gossip = GetOr(platform_limits, "peers", false);
  config.own_peer = GetOr(settings, "me", -1);
}

void ReadSettings(const json& settings, std::uint64_t seed, Config& config) {
  ErrorCollector errors;
  errors.WithContext("key 'settings': ", [&] {
    errors.Try([&] { config.settings = ParseSettings(settings, seed); });
    errors.Try([&] { config.classes = NamesIn(settings, "classes", "name"); });
    errors.Try([&] { config.tenants = NamesIn(settings, "realms", "name"); });
    errors.Try([&] { config.zones = NamesIn(settings, "zones", nullptr); });
    errors.Try([&] { config.kinds = NamesIn(settings, "kinds", nullptr); });
    if (!errors.empty()) return;  // the checks below would report what is missing once more
    if (config.classes.empty()) throw FieldError("field 'classes' must not be empty");
    if (config.settings.tick <= 0) throw FieldError("field 'tickS' must be greater than 0");
    if (config.settings.relay_count < 1) throw FieldError("field 'balancers' must be at least 1");
  });
  errors.ThrowIfAny();
}

}  // namespace

Config Parse(const json& file, const Environment& environment) {
  if (!file.is_object()) throw FieldError("the configuration is not a JSON object");
  Config config;
  ErrorCollector errors;
  const auto address = [&](sockaddr_in& to, const char* key, const char* variable) {
    errors.Try([&] { to = ParseAddressKey(TextOrVariable(file, key, environment, variable), key); });
  };
  const auto optional_address = [&](std::optional<sockaddr_in>& to, const char* key) {
    if (Find(file, key) != nullptr)
      errors.Try([&] { to = ParseAddressKey(Get<std::string>(file, key), key); });
  };
  errors.Try([&] { config.name = TextOrVariable(file, "name", environment, "EDGE_NAME"); });
  address(config.listen, "listen", "EDGE_LISTEN");
  address(config.discovery, "discovery", "EDGE_DISCOVERY");
  errors.Try([&] { config.state_folder = TextOrVariable(file, "state", environment, "EDGE_STATE"); });
  optional_address(config.peer_listen, "peer_listen");
  optional_address(config.broadcast_address, "peers_all");
  if (Find(file, "ops") != nullptr || environment("EDGE_OPS"))
    errors.Try(
        [&] { config.ops = ParseAddressKey(TextOrVariable(file, "ops", environment, "EDGE_OPS"), "ops"); });
  errors.Try([&] { config.inherited_fd = ParseInheritedFd(environment); });
  errors.Try([&] {
    for (const std::string& peer : NamesIn(file, "peers", nullptr))
      config.peers.push_back(ParseAddressKey(peer, "peers"));
  });
  std::uint64_t seed = 0;
  errors.Try([&] { seed = ParseSeed(file); });
  errors.Try([&] { ReadSettings(Require(file, "settings"), seed, config); });
  if (const json* known = Find(file, "known")) config.cached_list = *known;
  errors.Try([&] { FillLimits(file, config); });
  errors.ThrowIfAny();
  config.file = file;
  for (const char* key : {"known", "seed"}) config.file.erase(key);
  return config;
}

namespace {

json ReadFile(const Environment& environment) {
  const auto path = environment("EDGE_CONFIG");
  if (!path) throw FieldError("the variable EDGE_CONFIG, which names the configuration file, is not set");
  std::ifstream stream(*path);
  if (!stream) throw FieldError("can't read the file that EDGE_CONFIG names: " + *path);
  json file;
  try {
    file = json::parse(stream);
  } catch (const json::parse_error& error) {
    throw FieldError("the configuration is not valid JSON at byte " + std::to_string(error.byte));
  }
  return file;
}

}  // namespace

Config Load(const Environment& environment) { return Parse(ReadFile(environment), environment); }

Config Reload(const Environment& environment) {
  const json file = ReadFile(environment);
  const bool file_sets_discovery = file.is_object() && Find(file, "discovery") != nullptr;
  return Parse(file, [&](const char* name) {
    const bool overridden = file_sets_discovery && std::string_view(name) == "EDGE_DISCOVERY";
    return overridden ? std::nullopt : environment(name);
  });
}

std::vector<std::string> KeysNeedingRestart(const Config& old, const Config& fresh) {
  std::set<std::string> keys;
  for (const json& change : json::diff(old.file, fresh.file)) {
    const auto path = change.at("path").get<std::string>();
    if (path != "/discovery") keys.insert(path);
  }
  return {keys.begin(), keys.end()};
}

}  // namespace opalroute::config
