// Tests of the operators' settings, of the validation of the configuration, and of the format of log lines.
#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "cli/operator_options.h"
#include "config/memory_limits.h"
#include "log/log.h"

namespace opalroute {
namespace {

namespace fs = std::filesystem;

std::optional<std::string> EnvironmentVariable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

struct ParsedSettings {
  OperatorSettings settings;
  std::vector<std::string> errors;
};

ParsedSettings ReadSettings(const std::string& file, std::vector<std::string> flags = {}) {
  const fs::path path =
      fs::temp_directory_path() / ("opalroute-operator-" + std::to_string(getpid()) + ".json");
  std::ofstream(path) << file;
  CLI::App app;
  const config::OperatorOptions options(app, EnvironmentVariable);
  flags.insert(flags.begin(), {"--operator-file", path.string()});
  std::reverse(flags.begin(), flags.end());  // CLI11 expects them in reverse order
  app.parse(flags);
  fs::remove(path);
  ParsedSettings read;
  read.settings = options.Finish(read.errors);
  return read;
}

TEST_CASE("operators' settings: flag, then variable, then file, then default") {
  CHECK(ReadSettings("{}").settings.state_transfer.timeout == 0.3);
  CHECK(!ReadSettings("{}").settings.state_transfer.use_state_folder);
  const char* file = R"({"learn":{"time_ms":400,"state":true,"from":["127.0.0.1:1","127.0.0.1:2"]}})";
  CHECK(ReadSettings(file).settings.state_transfer.timeout == doctest::Approx(0.4));
  CHECK(ReadSettings(file).settings.state_transfer.use_state_folder);
  CHECK(ReadSettings(file).settings.state_transfer.donors.size() == 2);
  setenv("OPALROUTE_LEARN_TIME_MS", "500", 1);
  CHECK(ReadSettings(file).settings.state_transfer.timeout == doctest::Approx(0.5));
  CHECK(ReadSettings(file, {"--learn-time-ms", "600"}).settings.state_transfer.timeout ==
        doctest::Approx(0.6));
  unsetenv("OPALROUTE_LEARN_TIME_MS");
  CHECK(!ReadSettings(file, {"--learn-state=false"}).settings.state_transfer.use_state_folder);
}

TEST_CASE("operators' settings: each error names the full key") {
  const auto check_error = [](const char* file, const char* expected) {
    const ParsedSettings read = ReadSettings(file);
    REQUIRE(read.errors.size() == 1);
    CHECK_MESSAGE(read.errors[0].find(expected) != std::string::npos, read.errors[0]);
  };
  check_error(R"({"learn":{"bogus":1}})", "'learn.bogus' of the operators' file is unknown");
  check_error(R"({"learn":3})", "'learn' of the operators' file must be an object");
  check_error(R"({"learn":{"state":"yes"}})", "'learn.state' of the operators' file must be true or false");
  check_error(R"({"learn":{"time_ms":9}})", "'learn.time_ms'");
  check_error(R"({"learn":{"time_ms":10001}})", "a number from 10.0 to 10000.0, not '10001'");
  check_error(R"({"learn":{"listen":"here"}})", "an address like 127.0.0.1:80, not 'here'");
  check_error(R"({"learn":{"from":["127.0.0.1:0"]}})", "'learn.from'");
  check_error(R"({"log":{"format":"xml"}})", "one of text, json, not 'xml'");
  check_error("{", "not valid JSON at byte");
  CHECK(ReadSettings(R"({"a":1,"b":2,"learn":{"time_ms":"x"}})").errors.size() == 3);
}

TEST_CASE("configuration: all errors are reported at once") {
  try {
    config::Parse(
        nlohmann::json::parse(
            R"({"listen":"x","settings":{"limits":{"openCap":"many"},"rules":{},"discovery":"push"}})"),
        [](const char*) { return std::nullopt; });
    FAIL("an invalid configuration was accepted");
  } catch (const config::FieldErrors& errors) {
    const std::string all = errors.what();
    for (const char* part :
         {"key 'listen'", "key 'name'", "key 'state'", "in 'limits': field 'openCap' has the wrong type",
          "missing field 'familyInfo'", "in 'rules': missing field 'rampTimeS'", "missing field 'classes'"})
      CHECK_MESSAGE(all.find(part) != std::string::npos, part, " is missing in ", all);
  }
}

// Guards against a client that forges a log line by sending text with a newline.
TEST_CASE("configuration: what buffers may hold follows from the memory and the disk") {
  const auto buffers = [](std::size_t memory_bytes, std::size_t disk_bytes) {
    Limits limits;
    limits.disk_bytes = disk_bytes;
    config::ApplyMemoryLimit(memory_bytes, limits);
    const MemoryLimits& memory = limits.memory;
    CHECK(limits.client_connections <= 480);
    return memory.clients + memory.requests + memory.endpoints + memory.discovery + memory.operators;
  };
  CHECK(buffers(32'000'000, 3'000'000) == doctest::Approx(12'600'000));  // 0.8 of it, less files and program
  CHECK(buffers(192'000'000, 3'000'000) == doctest::Approx(140'600'000));
  CHECK(buffers(192'000'000, 1'000'000'000) == doctest::Approx(105'200'000));  // files lie on a disk
  Limits scarce;
  config::ApplyMemoryLimit(16'000'000, scarce);
  CHECK(scarce.memory_is_scarce);
  CHECK(scarce.client_connections > 50);
}

TEST_CASE("log lines escape what others send") {
  const std::string text = "a\nb\"\xff";
  CHECK(log::FormatLine(log::LineFormat::kText, "bad_request", {{"why", text}, {"n", 3}}) ==
        "bad_request why=\"a\\nb\\\"\\ufffd\" n=3");
  const std::string json = log::FormatLine(log::LineFormat::kJson, "bad_request", {{"why", text}, {"n", 3}});
  const auto read = nlohmann::json::parse("{" + json);
  CHECK(read["event"] == "bad_request");
  CHECK(read["why"] == "a\nb\"\xef\xbf\xbd");
  CHECK(json.find('\n') == std::string::npos);
}

TEST_CASE("fleet features are off unless the operators' settings turn them on") {
  CHECK(!ReadSettings("{}").settings.fleet.enabled());
  const ParsedSettings both = ReadSettings(R"({"tier": {"shares": true}})", {"--tier-zones"});
  CHECK(both.errors.empty());
  CHECK(both.settings.fleet.share_quotas);
  CHECK(both.settings.fleet.evacuate_zones);
  CHECK(ReadSettings(R"({"tier": {"zones": "yes"}})").errors ==
        std::vector<std::string>{"key 'tier.zones' of the operators' file must be true or false"});
}

}  // namespace
}  // namespace opalroute
