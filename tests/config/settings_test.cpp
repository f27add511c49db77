// The operators' settings, the check of the platform's configuration, and the form of log lines.
#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "cli/operator_options.h"
#include "log/log.h"

namespace opalroute {
namespace {

namespace fs = std::filesystem;

std::optional<std::string> Variable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

struct Read {
  Operator settings;
  std::vector<std::string> faults;
};

Read ReadSettings(const std::string& file, std::vector<std::string> flags = {}) {
  const fs::path path =
      fs::temp_directory_path() / ("opalroute-operator-" + std::to_string(getpid()) + ".json");
  std::ofstream(path) << file;
  CLI::App app;
  const config::OperatorOptions options(app, Variable);
  flags.insert(flags.begin(), {"--operator-file", path.string()});
  std::reverse(flags.begin(), flags.end());  // CLI11 takes them from the back
  app.parse(flags);
  fs::remove(path);
  Read read;
  read.settings = options.Finish(read.faults);
  return read;
}

TEST_CASE("operators' settings: flag, then variable, then file, then default") {
  CHECK(ReadSettings("{}").settings.learn.time == 0.3);
  CHECK(!ReadSettings("{}").settings.learn.state);
  const char* file = R"({"learn":{"time_ms":400,"state":true,"from":["127.0.0.1:1","127.0.0.1:2"]}})";
  CHECK(ReadSettings(file).settings.learn.time == doctest::Approx(0.4));
  CHECK(ReadSettings(file).settings.learn.state);
  CHECK(ReadSettings(file).settings.learn.from.size() == 2);
  setenv("OPALROUTE_LEARN_TIME_MS", "500", 1);
  CHECK(ReadSettings(file).settings.learn.time == doctest::Approx(0.5));
  CHECK(ReadSettings(file, {"--learn-time-ms", "600"}).settings.learn.time == doctest::Approx(0.6));
  unsetenv("OPALROUTE_LEARN_TIME_MS");
  CHECK(!ReadSettings(file, {"--learn-state=false"}).settings.learn.state);
}

TEST_CASE("operators' settings: every fault is told with its key's full name") {
  const auto fault = [](const char* file, const char* says) {
    const Read read = ReadSettings(file);
    REQUIRE(read.faults.size() == 1);
    CHECK_MESSAGE(read.faults[0].find(says) != std::string::npos, read.faults[0]);
  };
  fault(R"({"learn":{"bogus":1}})", "'learn.bogus' of the operators' file is not known");
  fault(R"({"learn":3})", "'learn' of the operators' file must hold an object");
  fault(R"({"learn":{"state":"yes"}})", "'learn.state' of the operators' file must hold true or false");
  fault(R"({"learn":{"time_ms":9}})", "'learn.time_ms'");
  fault(R"({"learn":{"time_ms":10001}})", "a number from 10.0 to 10000.0, not '10001'");
  fault(R"({"learn":{"listen":"here"}})", "an address like 127.0.0.1:80, not 'here'");
  fault(R"({"learn":{"from":["127.0.0.1:0"]}})", "'learn.from'");
  fault(R"({"log":{"format":"xml"}})", "one of text, json, not 'xml'");
  fault("{", "no JSON at byte");
  CHECK(ReadSettings(R"({"a":1,"b":2,"learn":{"time_ms":"x"}})").faults.size() == 3);
}

TEST_CASE("configuration: all faults are told at once") {
  try {
    config::Parse(
        nlohmann::json::parse(
            R"({"listen":"x","settings":{"limits":{"openCap":"many"},"rules":{},"discovery":"push"}})"),
        [](const char*) { return std::nullopt; });
    FAIL("a broken configuration was taken");
  } catch (const config::Faults& faults) {
    const std::string all = faults.what();
    for (const char* part :
         {"key 'listen'", "key 'name'", "key 'state'", "in 'limits': field 'openCap' has the wrong form",
          "missing field 'familyInfo'", "in 'rules': missing field 'rampTimeS'", "missing field 'classes'"})
      CHECK_MESSAGE(all.find(part) != std::string::npos, part, " is lacking in ", all);
  }
}

// Guards against a client whose text begins a log line of its own.
TEST_CASE("log lines escape what others send") {
  const std::string text = "a\nb\"\xff";
  CHECK(log::Format(log::Form::kText, "bad_request", {{"why", text}, {"n", 3}}) ==
        "bad_request why=\"a\\nb\\\"\\ufffd\" n=3");
  const std::string json = log::Format(log::Form::kJson, "bad_request", {{"why", text}, {"n", 3}});
  const auto read = nlohmann::json::parse("{" + json);
  CHECK(read["event"] == "bad_request");
  CHECK(read["why"] == "a\nb\"\xef\xbf\xbd");
  CHECK(json.find('\n') == std::string::npos);
}

TEST_CASE("the tier is off unless the operators' settings turn it on") {
  CHECK(!ReadSettings("{}").settings.tier.on());
  const Read both = ReadSettings(R"({"tier": {"shares": true}})", {"--tier-zones"});
  CHECK(both.faults.empty());
  CHECK(both.settings.tier.shares);
  CHECK(both.settings.tier.zones);
  CHECK(ReadSettings(R"({"tier": {"zones": "yes"}})").faults ==
        std::vector<std::string>{"key 'tier.zones' of the operators' file must hold true or false"});
}

}  // namespace
}  // namespace opalroute
