#include "cli/operator_options.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <set>

#include "dns/message.h"
#include "net/address.h"

namespace opalroute::config {

using nlohmann::json;

namespace {

constexpr const char* kDefaultFile = "deploy/operator.json";
constexpr const char* kFileVariable = "OPALROUTE_OPERATOR_FILE";

// The JSON type in the operators' file. Flags and variables are always text.
enum class Type { kString, kBool, kNumber, kStrings };

// Stores a value in the settings. Returns what is expected instead if the value is invalid, else an empty
// string.
using Setter = std::function<std::string(OperatorSettings&, const std::string& value)>;

struct Setting {
  const char* key;
  Type type;
  const char* help;
  Setter set;
};

std::string SetBool(bool& to, const std::string& value) {
  if (value != "true" && value != "false") return "true or false";
  to = value == "true";
  return {};
}

std::string SetNumber(double& to, const std::string& value, double min, double max, double unit) {
  char* end = nullptr;
  const double number = std::strtod(value.c_str(), &end);
  if (value.empty() || *end != '\0' || !std::isfinite(number) || number < min || number > max)
    return "a number from " + json(min).dump() + " to " + json(max).dump();
  to = number * unit;
  return {};
}

std::string SetAddresses(std::vector<sockaddr_in>& to, const std::string& value) {
  to.clear();
  for (const std::string& text : CLI::detail::split(value, ',')) {
    const auto address = net::ParseAddress(text);
    if (!address || address->sin_port == 0) return "addresses like 127.0.0.1:80, separated by commas";
    to.push_back(*address);
  }
  return {};
}

std::string SetAddress(std::optional<sockaddr_in>& to, const std::string& value) {
  to = net::ParseAddress(value);
  return to ? "" : "an address like 127.0.0.1:80";
}

std::optional<long long> ParseDestination(const std::string& text) {
  char* end = nullptr;
  errno = 0;
  const long long number = std::strtoll(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0' || errno != 0) return std::nullopt;
  return number;
}

// `value`: NAME=DESTINATION pairs, separated by commas.
std::string SetSrvNames(std::vector<std::pair<std::string, long long>>& to, const std::string& value) {
  constexpr const char* kExpected =
      "names like _api._tcp.partner.example=7, separated by commas, each destination once";
  to.clear();
  std::set<long long> seen;
  for (const std::string& text : CLI::detail::split(value, ',')) {
    const std::size_t equals = text.find('=');
    const auto destination =
        equals == std::string::npos ? std::nullopt : ParseDestination(text.substr(equals + 1));
    const auto name = dns::Name::Parse(text.substr(0, equals));
    if (!destination || !name || name->root() || !seen.insert(*destination).second) return kExpected;
    to.emplace_back(text.substr(0, equals), *destination);
  }
  return {};
}

// `value`: DESTINATION=ADDRESS pairs, separated by commas.
std::string SetOwnAddresses(std::vector<std::pair<long long, sockaddr_in>>& to, const std::string& value) {
  to.clear();
  for (const std::string& text : CLI::detail::split(value, ',')) {
    const std::size_t equals = text.find('=');
    const auto destination = ParseDestination(text.substr(0, equals));
    const auto address =
        equals == std::string::npos ? std::nullopt : net::ParseAddress(text.substr(equals + 1));
    if (!destination || !address || address->sin_port == 0)
      return "entries like 7=127.0.0.1:80, separated by commas";
    to.emplace_back(*destination, *address);
  }
  return {};
}

template <typename... Words>
std::string SetOneOf(std::string& to, const std::string& value, Words... words) {
  if (((value != words) && ...)) {
    std::string all;
    ((all += (all.empty() ? "" : ", ") + std::string(words)), ...);
    return "one of " + all;
  }
  to = value;
  return {};
}

const std::vector<Setting>& Settings() {
  static const std::vector<Setting> settings = {
      {"log.format", Type::kString, "text or json",
       [](OperatorSettings& s, const std::string& v) {
         std::string word;
         const std::string expected = SetOneOf(word, v, "text", "json");
         s.log_json = word == "json";
         return expected;
       }},
      {"log.level", Type::kString, "debug, info, warn or error",
       [](OperatorSettings& s, const std::string& v) {
         return SetOneOf(s.log_level, v, "debug", "info", "warn", "error");
       }},
      {"learn.listen", Type::kString,
       "address where other relays may fetch a snapshot of this relay's route states",
       [](OperatorSettings& s, const std::string& v) { return SetAddress(s.state_transfer.listen, v); }},
      {"learn.from", Type::kStrings, "addresses of running relays whose snapshots are fetched at the start",
       [](OperatorSettings& s, const std::string& v) { return SetAddresses(s.state_transfer.donors, v); }},
      {"learn.notes", Type::kBool, "ask peers for route states by datagrams at the start, and answer theirs",
       [](OperatorSettings& s, const std::string& v) { return SetBool(s.state_transfer.use_datagrams, v); }},
      {"learn.state", Type::kBool, "save a snapshot to the state folder for the next start",
       [](OperatorSettings& s, const std::string& v) {
         return SetBool(s.state_transfer.use_state_folder, v);
       }},
      {"learn.time_ms", Type::kNumber, "how long readiness waits for running relays; 10 to 10000",
       [](OperatorSettings& s, const std::string& v) {
         return SetNumber(s.state_transfer.timeout, v, 10, 10000, 1e-3);
       }},
      {"learn.longest_wait_s", Type::kNumber,
       "how long a Retry-After from another relay or an earlier process holds at most; 0 to 3600",
       [](OperatorSettings& s, const std::string& v) {
         return SetNumber(s.state_transfer.max_retry_after, v, 0, 3600, 1);
       }},
      {"tier.shares", Type::kBool, "divide limits by the number of relays that are alive",
       [](OperatorSettings& s, const std::string& v) { return SetBool(s.fleet.share_quotas, v); }},
      {"tier.zones", Type::kBool, "evacuate failing zones, and return to them, together with the fleet",
       [](OperatorSettings& s, const std::string& v) { return SetBool(s.fleet.evacuate_zones, v); }},
      {"admin.listen", Type::kString,
       "address of the admin pages of a running relay (GET /pool, /counters, /zones)",
       [](OperatorSettings& s, const std::string& v) { return SetAddress(s.admin_listen, v); }},
      {"dns.server", Type::kStrings, "addresses of recursive name servers",
       [](OperatorSettings& s, const std::string& v) { return SetAddresses(s.dns.servers, v); }},
      {"dns.least_lifetime_s", Type::kNumber, "a shorter TTL of an answer counts as this; 0.1 to 3600",
       [](OperatorSettings& s, const std::string& v) { return SetNumber(s.dns.min_ttl, v, 0.1, 3600, 1); }},
      {"dns.most_lifetime_s", Type::kNumber, "a longer TTL of an answer counts as this; 1 to 86400",
       [](OperatorSettings& s, const std::string& v) { return SetNumber(s.dns.max_ttl, v, 1, 86400, 1); }},
      {"dns.stale_s", Type::kNumber,
       "how long after its TTL an answer is used while servers fail; 0 to 604800",
       [](OperatorSettings& s, const std::string& v) { return SetNumber(s.dns.max_stale, v, 0, 604800, 1); }},
      {"srv", Type::kStrings,
       "SRV names of destinations, NAME=DESTINATION; their records order, rate and drain endpoints",
       [](OperatorSettings& s, const std::string& v) { return SetSrvNames(s.srv_names, v); }},
      {"srv_own", Type::kStrings,
       "DESTINATION=ADDRESS: an address of a destination, which SRV may add to the list",
       [](OperatorSettings& s, const std::string& v) { return SetOwnAddresses(s.own_addresses, v); }},
  };
  return settings;
}

std::string FlagOf(std::string key) {
  std::replace_if(
      key.begin(), key.end(), [](char c) { return c == '.' || c == '_'; }, '-');
  return key;
}

std::string VariableOf(const std::string& key) {
  std::string name = "OPALROUTE_";
  for (const char c : key) name += c == '.' ? '_' : static_cast<char>(std::toupper(c));
  return name;
}

// The text that a flag would have for this value of the file; nothing if the value has another type.
std::optional<std::string> ToText(const json& value, Type type) {
  switch (type) {
    case Type::kBool:
      return value.is_boolean() ? std::optional(value.dump()) : std::nullopt;
    case Type::kNumber:
      return value.is_number() ? std::optional(value.dump()) : std::nullopt;
    case Type::kString:
      return value.is_string() ? std::optional(value.get<std::string>()) : std::nullopt;
    case Type::kStrings:
      break;
  }
  if (!value.is_array()) return std::nullopt;
  std::string text;
  for (const json& item : value) {
    if (!item.is_string()) return std::nullopt;
    text += (text.empty() ? "" : ",") + item.get<std::string>();
  }
  return text;
}

const char* Describe(Type type) {
  switch (type) {
    case Type::kBool:
      return "true or false";
    case Type::kNumber:
      return "a number";
    case Type::kString:
      return "a string";
    case Type::kStrings:
      break;
  }
  return "an array of strings";
}

}  // namespace

// The text that the command line, a variable or the file gave for a setting.
struct OperatorOptions::Value {
  const Setting* setting = nullptr;
  std::string text;
  CLI::Option* option = nullptr;
};

// Replaces CLI11's own file format by JSON, the format of all configuration of this program. CLI11 gives the
// file precedence over the environment, so settings that have a variable are left out here.
class OperatorOptions::File : public CLI::Config {
 public:
  explicit File(const Environment& environment) : environment_(environment) {}

  std::string to_config(const CLI::App*, bool, bool, std::string) const override { return {}; }

  std::vector<CLI::ConfigItem> from_config(std::istream& stream) const override {
    std::vector<CLI::ConfigItem> items;
    json file;
    try {
      file = json::parse(stream);
    } catch (const json::parse_error& error) {
      errors_.push_back("the operators' file is not valid JSON at byte " + std::to_string(error.byte));
      return items;
    }
    Walk(file, "", items);
    return items;
  }

  const std::vector<std::string>& errors() const { return errors_; }
  bool Sets(const std::string& key) const { return set_.count(key) > 0; }

 private:
  void Walk(const json& value, const std::string& key, std::vector<CLI::ConfigItem>& items) const {
    const auto& all = Settings();
    const auto setting = std::find_if(all.begin(), all.end(), [&](const Setting& s) { return key == s.key; });
    if (setting != all.end()) {
      const auto text = ToText(value, setting->type);
      if (!text)
        return errors_.push_back("key '" + key + "' of the operators' file must be " +
                                 Describe(setting->type));
      if (environment_(VariableOf(key).c_str())) return;
      set_.insert(key);
      CLI::ConfigItem item;
      item.name = FlagOf(key);
      item.inputs = {*text};
      items.push_back(item);
      return;
    }
    const bool is_group = key.empty() || std::any_of(all.begin(), all.end(), [&](const Setting& s) {
                            return std::string(s.key).rfind(key + ".", 0) == 0;
                          });
    if (!is_group) return errors_.push_back("key '" + key + "' of the operators' file is unknown");
    if (!value.is_object())
      return errors_.push_back(
          (key.empty() ? "the operators' file" : "key '" + key + "' of the operators' file") +
          std::string(" must be an object"));
    for (const auto& [name, inner] : value.items()) Walk(inner, key.empty() ? name : key + "." + name, items);
  }

  const Environment environment_;
  mutable std::vector<std::string> errors_;  // mutable since CLI11 declares from_config const
  mutable std::set<std::string> set_;
};

OperatorOptions::OperatorOptions(CLI::App& app, const Environment& environment)
    : file_(std::make_shared<File>(environment)) {
  for (const Setting& setting : Settings()) {
    auto value = std::make_unique<Value>();
    value->setting = &setting;
    const std::string flag = "--" + FlagOf(setting.key);
    value->option = setting.type == Type::kBool ? app.add_flag(flag, value->text, setting.help)
                                                : app.add_option(flag, value->text, setting.help);
    value->option->envname(VariableOf(setting.key))->group("Settings");
    values_.push_back(std::move(value));
  }
  const auto path = environment(kFileVariable);
  app.set_config("--operator-file", path.value_or(kDefaultFile),
                 std::string("the operators' file (JSON); also the variable ") + kFileVariable);
  app.config_formatter(file_);
  if (path && !std::filesystem::exists(*path))
    throw CLI::FileError::Missing(std::string(kFileVariable) + "=" + *path);
}

OperatorOptions::~OperatorOptions() = default;

OperatorSettings OperatorOptions::Finish(std::vector<std::string>& errors) const {
  errors.insert(errors.end(), file_->errors().begin(), file_->errors().end());
  OperatorSettings settings;
  for (const auto& value : values_) {
    if (value->option->count() == 0) continue;
    const std::string expected = value->setting->set(settings, value->text);
    if (expected.empty()) continue;
    const std::string key = value->setting->key;
    errors.push_back("'" + key + "' (flag --" + FlagOf(key) + ", variable " + VariableOf(key) +
                     ", or the operators' file) must be " + expected + ", not '" + value->text + "'");
  }
  if (!settings.srv_names.empty() && settings.dns.servers.empty())
    errors.emplace_back("'dns.server' must name a server, as 'srv' names SRV records to query");
  if (settings.dns.min_ttl > settings.dns.max_ttl)
    errors.emplace_back("'dns.least_lifetime_s' must not exceed 'dns.most_lifetime_s'");
  return settings;
}

}  // namespace opalroute::config
