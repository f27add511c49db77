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

enum class Form { kText, kYesNo, kNumber, kTexts };  // in the file; elsewhere all are texts

// Returns what was expected, or nothing if the value is sound and was taken.
using Take = std::function<std::string(Operator&, const std::string& value)>;

struct Setting {
  const char* key;
  Form form;
  const char* help;
  Take take;
};

std::string TakeYesNo(bool& to, const std::string& value) {
  if (value != "true" && value != "false") return "true or false";
  to = value == "true";
  return {};
}

std::string TakeNumber(double& to, const std::string& value, double least, double most, double unit) {
  char* end = nullptr;
  const double number = std::strtod(value.c_str(), &end);
  if (value.empty() || *end != '\0' || !std::isfinite(number) || number < least || number > most)
    return "a number from " + json(least).dump() + " to " + json(most).dump();
  to = number * unit;
  return {};
}

std::string TakeAddresses(std::vector<sockaddr_in>& to, const std::string& value) {
  to.clear();
  for (const std::string& text : CLI::detail::split(value, ',')) {
    const auto address = net::ParseAddress(text);
    if (!address || address->sin_port == 0) return "addresses like 127.0.0.1:80, apart by commas";
    to.push_back(*address);
  }
  return {};
}

std::string TakeAddress(std::optional<sockaddr_in>& to, const std::string& value) {
  to = net::ParseAddress(value);
  return to ? "" : "an address like 127.0.0.1:80";
}

std::optional<long long> DestinationIn(const std::string& text) {
  char* end = nullptr;
  errno = 0;
  const long long number = std::strtoll(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0' || errno != 0) return std::nullopt;
  return number;
}

// NAME=DESTINATION, apart by commas.
std::string TakeNames(std::vector<std::pair<std::string, long long>>& to, const std::string& value) {
  constexpr const char* kForm =
      "names like _api._tcp.partner.example=7, apart by commas, each destination once";
  to.clear();
  std::set<long long> seen;
  for (const std::string& text : CLI::detail::split(value, ',')) {
    const std::size_t equals = text.find('=');
    const auto destination =
        equals == std::string::npos ? std::nullopt : DestinationIn(text.substr(equals + 1));
    const auto name = dns::Name::Parse(text.substr(0, equals));
    if (!destination || !name || name->root() || !seen.insert(*destination).second) return kForm;
    to.emplace_back(text.substr(0, equals), *destination);
  }
  return {};
}

// DESTINATION=ADDRESS, apart by commas.
std::string TakeOwn(std::vector<std::pair<long long, sockaddr_in>>& to, const std::string& value) {
  to.clear();
  for (const std::string& text : CLI::detail::split(value, ',')) {
    const std::size_t equals = text.find('=');
    const auto destination = DestinationIn(text.substr(0, equals));
    const auto address =
        equals == std::string::npos ? std::nullopt : net::ParseAddress(text.substr(equals + 1));
    if (!destination || !address || address->sin_port == 0)
      return "entries like 7=127.0.0.1:80, apart by commas";
    to.emplace_back(*destination, *address);
  }
  return {};
}

template <typename... Words>
std::string TakeWord(std::string& to, const std::string& value, Words... words) {
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
      {"log.format", Form::kText, "text or json",
       [](Operator& o, const std::string& v) {
         std::string word;
         const std::string wrong = TakeWord(word, v, "text", "json");
         o.log_json = word == "json";
         return wrong;
       }},
      {"log.level", Form::kText, "debug, info, warn or error",
       [](Operator& o, const std::string& v) {
         return TakeWord(o.log_level, v, "debug", "info", "warn", "error");
       }},
      {"learn.listen", Form::kText, "address where other instances may fetch what this one has learnt",
       [](Operator& o, const std::string& v) { return TakeAddress(o.learn.listen, v); }},
      {"learn.from", Form::kTexts, "addresses of running instances to learn from at the start",
       [](Operator& o, const std::string& v) { return TakeAddresses(o.learn.from, v); }},
      {"learn.notes", Form::kYesNo, "ask peers by datagrams at the start, and answer theirs",
       [](Operator& o, const std::string& v) { return TakeYesNo(o.learn.notes, v); }},
      {"learn.state", Form::kYesNo, "keep what was learnt in the state folder for the next start",
       [](Operator& o, const std::string& v) { return TakeYesNo(o.learn.state, v); }},
      {"learn.time_ms", Form::kNumber, "longest that readiness waits for running instances; 10 to 10000",
       [](Operator& o, const std::string& v) { return TakeNumber(o.learn.time, v, 10, 10000, 1e-3); }},
      {"learn.longest_wait_s", Form::kNumber, "longest that a wait by hearsay holds; 0 to 3600",
       [](Operator& o, const std::string& v) { return TakeNumber(o.learn.longest_wait, v, 0, 3600, 1); }},
      {"tier.shares", Form::kYesNo, "parts of limits follow how many relays of the tier are there",
       [](Operator& o, const std::string& v) { return TakeYesNo(o.tier.shares, v); }},
      {"tier.zones", Form::kYesNo, "leave failing zones, and return to them, together with the tier",
       [](Operator& o, const std::string& v) { return TakeYesNo(o.tier.zones, v); }},
      {"admin.listen", Form::kText,
       "address where operators may ask a running relay (GET /pool, /counters, /zones)",
       [](Operator& o, const std::string& v) { return TakeAddress(o.admin_listen, v); }},
      {"dns.server", Form::kTexts, "addresses of recursive name servers",
       [](Operator& o, const std::string& v) { return TakeAddresses(o.dns.servers, v); }},
      {"dns.least_lifetime_s", Form::kNumber, "an answer is kept so long at least; 0.1 to 3600",
       [](Operator& o, const std::string& v) { return TakeNumber(o.dns.least_lifetime, v, 0.1, 3600, 1); }},
      {"dns.most_lifetime_s", Form::kNumber, "and so long at most; 1 to 86400",
       [](Operator& o, const std::string& v) { return TakeNumber(o.dns.most_lifetime, v, 1, 86400, 1); }},
      {"dns.stale_s", Form::kNumber, "and so long after its lifetime while servers fail; 0 to 604800",
       [](Operator& o, const std::string& v) { return TakeNumber(o.dns.stale, v, 0, 604800, 1); }},
      {"srv", Form::kTexts,
       "SRV names of destinations, NAME=DESTINATION; they order, rate and drain endpoints",
       [](Operator& o, const std::string& v) { return TakeNames(o.srv_names, v); }},
      {"srv_own", Form::kTexts, "DESTINATION=ADDRESS: a destination's own, which SRV may add to the list",
       [](Operator& o, const std::string& v) { return TakeOwn(o.srv_own, v); }},
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

// The text that a flag would have for this value of the file; none if it has the wrong form.
std::optional<std::string> TextOf(const json& value, Form form) {
  switch (form) {
    case Form::kYesNo:
      return value.is_boolean() ? std::optional(value.dump()) : std::nullopt;
    case Form::kNumber:
      return value.is_number() ? std::optional(value.dump()) : std::nullopt;
    case Form::kText:
      return value.is_string() ? std::optional(value.get<std::string>()) : std::nullopt;
    case Form::kTexts:
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

const char* NameOf(Form form) {
  switch (form) {
    case Form::kYesNo:
      return "true or false";
    case Form::kNumber:
      return "a number";
    case Form::kText:
      return "a text";
    case Form::kTexts:
      break;
  }
  return "an array of texts";
}

}  // namespace

struct OperatorOptions::Given {
  const Setting* setting = nullptr;
  std::string text;
  CLI::Option* option = nullptr;
};

// CLI11 reads its own form of file; ours is JSON, as all configuration of this program. It also ranks a file
// over the environment, so what a variable sets is left out here.
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
      faults_.push_back("the operators' file is no JSON at byte " + std::to_string(error.byte));
      return items;
    }
    Walk(file, "", items);
    return items;
  }

  const std::vector<std::string>& faults() const { return faults_; }
  bool Sets(const std::string& key) const { return set_.count(key) > 0; }

 private:
  void Walk(const json& value, const std::string& key, std::vector<CLI::ConfigItem>& items) const {
    const auto& all = Settings();
    const auto setting = std::find_if(all.begin(), all.end(), [&](const Setting& s) { return key == s.key; });
    if (setting != all.end()) {
      const auto text = TextOf(value, setting->form);
      if (!text)
        return faults_.push_back("key '" + key + "' of the operators' file must hold " +
                                 NameOf(setting->form));
      if (environment_(VariableOf(key).c_str())) return;
      set_.insert(key);
      CLI::ConfigItem item;
      item.name = FlagOf(key);
      item.inputs = {*text};
      items.push_back(item);
      return;
    }
    const bool group = key.empty() || std::any_of(all.begin(), all.end(), [&](const Setting& s) {
                         return std::string(s.key).rfind(key + ".", 0) == 0;
                       });
    if (!group) return faults_.push_back("key '" + key + "' of the operators' file is not known");
    if (!value.is_object())
      return faults_.push_back(
          (key.empty() ? "the operators' file" : "key '" + key + "' of the operators' file") +
          std::string(" must hold an object"));
    for (const auto& [name, inner] : value.items()) Walk(inner, key.empty() ? name : key + "." + name, items);
  }

  const Environment environment_;
  mutable std::vector<std::string> faults_;  // from_config is const to CLI11
  mutable std::set<std::string> set_;
};

OperatorOptions::OperatorOptions(CLI::App& app, const Environment& environment)
    : file_(std::make_shared<File>(environment)) {
  for (const Setting& setting : Settings()) {
    auto given = std::make_unique<Given>();
    given->setting = &setting;
    const std::string flag = "--" + FlagOf(setting.key);
    given->option = setting.form == Form::kYesNo ? app.add_flag(flag, given->text, setting.help)
                                                 : app.add_option(flag, given->text, setting.help);
    given->option->envname(VariableOf(setting.key))->group("Settings");
    given_.push_back(std::move(given));
  }
  const auto path = environment(kFileVariable);
  app.set_config("--operator-file", path.value_or(kDefaultFile),
                 std::string("the operators' own file (JSON); also the variable ") + kFileVariable);
  app.config_formatter(file_);
  if (path && !std::filesystem::exists(*path))
    throw CLI::FileError::Missing(std::string(kFileVariable) + "=" + *path);
}

OperatorOptions::~OperatorOptions() = default;

Operator OperatorOptions::Finish(std::vector<std::string>& faults) const {
  faults.insert(faults.end(), file_->faults().begin(), file_->faults().end());
  Operator settings;
  for (const auto& given : given_) {
    if (given->option->count() == 0) continue;
    const std::string expected = given->setting->take(settings, given->text);
    if (expected.empty()) continue;
    const std::string key = given->setting->key;
    faults.push_back("'" + key + "' (flag --" + FlagOf(key) + ", variable " + VariableOf(key) +
                     ", or the operators' file) must be " + expected + ", not '" + given->text + "'");
  }
  if (!settings.srv_names.empty() && settings.dns.servers.empty())
    faults.emplace_back("'dns.server' must name a server where 'srv' names what to ask for");
  if (settings.dns.least_lifetime > settings.dns.most_lifetime)
    faults.emplace_back("'dns.least_lifetime_s' must not be over 'dns.most_lifetime_s'");
  return settings;
}

}  // namespace opalroute::config
