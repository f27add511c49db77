#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <string_view>

#include "config/settings.h"
#include "net/address.h"

namespace opalroute {

int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

}  // namespace opalroute

namespace opalroute::config {

using nlohmann::json;

namespace {

sockaddr_in AddressOf(const std::string& text, const char* key) {
  const auto address = net::ParseAddress(text);
  if (!address)
    throw FieldError(std::string("key '") + key + "' holds no address like 127.0.0.1:80: '" + text + "'");
  return *address;
}

std::string Text(const json& file, const char* key, const Environment& environment, const char* variable) {
  if (const auto value = environment(variable)) return *value;
  if (Find(file, key) == nullptr)
    throw FieldError(std::string("key '") + key + "' is missing, and so is the variable " + variable);
  return Get<std::string>(file, key);
}

std::uint64_t ParseSeed(const json& file) {
  const auto text = GetOr(file, "seed", std::string("0"));
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw FieldError("key 'seed' is no hexadecimal number of 64 bits: '" + text + "'");
  return seed;
}

// The descriptor itself is looked at when it is taken over.
int InheritedFd(const Environment& environment) {
  const auto text = environment("EDGE_INHERITED_FD");
  if (!text) return -1;
  int fd = -1;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), fd);
  if (error != std::errc() || end != text->data() + text->size() || fd < 0)
    throw FieldError("the variable EDGE_INHERITED_FD holds no descriptor's number: '" + *text + "'");
  return fd;
}

void FillLimits(const json& file, Config& config) {
  Limits& limits = config.limits;
  if (const json* given = Find(file, "limits")) {
    const auto disk = GetOr(*given, "disk_mb", 3.0);
    if (disk <= 0) throw FieldError("key 'limits.disk_mb' must be above 0");
    limits.disk_bytes = static_cast<std::size_t>(disk * 1e6);
    const auto sockets = GetOr(*given, "sockets", 1024);
    if (sockets < 64) throw FieldError("key 'limits.sockets' must be 64 or more");
    // Of each 32 descriptors 15 are for clients, 1 for those that hear a reject, 12 for endpoints; the
    // rest is for files, discovery, notices and peers.
    const int part = std::min(sockets, 4096) / 32;
    limits.client_connections = 15 * part;
    limits.reject_connections = part;
    limits.upstream_connections = 12 * part;
    if (config.ops) {  // its callers' descriptors are kept back, that a full table does not shut them out
      limits.door_connections = std::clamp(part, 4, 32);
      limits.client_connections -= limits.door_connections;
    }
  }
  const json& settings = Need(file, "settings");
  const json& site = Need(settings, "limits");
  limits.connect_time = GetOr(site, "dialTimeoutS", limits.connect_time);
  const double idle = GetOr(site, "connIdleS", 15.0);
  if (idle <= 0) throw FieldError("key 'settings.limits.connIdleS' must be above 0");
  limits.upstream_idle = idle - std::min(1.0, idle / 4);  // never written to when it is about to be closed
  limits.open_transactions = config.settings.request_capacity;
  config.settings.list_heartbeat = limits.watch_heartbeat;
  limits.learn_file_bytes = std::min(limits.learn_file_bytes, limits.disk_bytes / 20);
  config.may_tell_peers = GetOr(site, "peers", false);
  config.own_peer = GetOr(settings, "me", -1);
}

void ReadSettings(const json& settings, std::uint64_t seed, Config& config) {
  Collector faults;
  faults.In("key 'settings': ", [&] {
    faults.Try([&] { config.settings = ParseSettings(settings, seed); });
    faults.Try([&] { config.classes = NamesIn(settings, "classes", "name"); });
    faults.Try([&] { config.tenants = NamesIn(settings, "realms", "name"); });
    faults.Try([&] { config.zones = NamesIn(settings, "zones", nullptr); });
    faults.Try([&] { config.kinds = NamesIn(settings, "kinds", nullptr); });
    if (!faults.clean()) return;  // the rest would only be told as missing
    if (config.classes.empty()) throw FieldError("field 'classes' names none");
    if (config.settings.tick <= 0) throw FieldError("field 'tickS' must be above 0");
    if (config.settings.relay_count < 1) throw FieldError("field 'balancers' must be 1 or more");
  });
  faults.Throw();
}

}  // namespace

Config Parse(const json& file, const Environment& environment) {
  if (!file.is_object()) throw FieldError("the configuration is no JSON object");
  Config config;
  Collector faults;
  const auto address = [&](sockaddr_in& to, const char* key, const char* variable) {
    faults.Try([&] { to = AddressOf(Text(file, key, environment, variable), key); });
  };
  const auto address_if_there = [&](std::optional<sockaddr_in>& to, const char* key) {
    if (Find(file, key) != nullptr) faults.Try([&] { to = AddressOf(Get<std::string>(file, key), key); });
  };
  faults.Try([&] { config.name = Text(file, "name", environment, "EDGE_NAME"); });
  address(config.listen, "listen", "EDGE_LISTEN");
  address(config.discovery, "discovery", "EDGE_DISCOVERY");
  faults.Try([&] { config.state_folder = Text(file, "state", environment, "EDGE_STATE"); });
  address_if_there(config.peer_listen, "peer_listen");
  address_if_there(config.peers_all, "peers_all");
  if (Find(file, "ops") != nullptr || environment("EDGE_OPS"))
    faults.Try([&] { config.ops = AddressOf(Text(file, "ops", environment, "EDGE_OPS"), "ops"); });
  faults.Try([&] { config.inherited_fd = InheritedFd(environment); });
  faults.Try([&] {
    for (const std::string& peer : NamesIn(file, "peers", nullptr))
      config.peers.push_back(AddressOf(peer, "peers"));
  });
  std::uint64_t seed = 0;
  faults.Try([&] { seed = ParseSeed(file); });
  faults.Try([&] { ReadSettings(Need(file, "settings"), seed, config); });
  if (const json* known = Find(file, "known")) config.known = *known;
  faults.Try([&] { FillLimits(file, config); });
  faults.Throw();
  config.file = file;
  for (const char* key : {"known", "seed"}) config.file.erase(key);
  return config;
}

namespace {

json ReadFile(const Environment& environment) {
  const auto path = environment("EDGE_CONFIG");
  if (!path) throw FieldError("the variable EDGE_CONFIG is missing: it names the configuration's file");
  std::ifstream stream(*path);
  if (!stream) throw FieldError("the file that EDGE_CONFIG names can't be read: " + *path);
  json file;
  try {
    file = json::parse(stream);
  } catch (const json::parse_error& error) {
    throw FieldError("the configuration is no JSON at byte " + std::to_string(error.byte));
  }
  return file;
}

}  // namespace

Config Load(const Environment& environment) { return Parse(ReadFile(environment), environment); }

Config Reload(const Environment& environment) {
  const json file = ReadFile(environment);
  const bool names_discovery = file.is_object() && Find(file, "discovery") != nullptr;
  return Parse(file, [&](const char* name) {
    const bool hidden = names_discovery && std::string_view(name) == "EDGE_DISCOVERY";
    return hidden ? std::nullopt : environment(name);
  });
}

std::vector<std::string> KeysForRestart(const Config& old, const Config& fresh) {
  std::set<std::string> keys;
  for (const json& step : json::diff(old.file, fresh.file)) {
    const auto path = step.at("path").get<std::string>();
    if (path != "/discovery") keys.insert(path);
  }
  return {keys.begin(), keys.end()};
}

}  // namespace opalroute::config
