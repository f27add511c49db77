// The program as the platform runs it: signals, and a configuration that changes under it.
#include "program.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

namespace opalroute {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

// Guards against a SIGHUP that ends the program, or that reads the address from its old environment.
TEST_CASE("SIGHUP reads the configuration anew, and SIGTERM ends the program") {
  const fs::path folder = fs::temp_directory_path() / ("opalroute-program-" + std::to_string(getpid()));
  fs::create_directories(folder);
  json config;
  std::ifstream(fs::path(EXCHANGES) / "base.json") >> config;
  config["state"] = folder.string();
  const auto write = [&](const std::string& text) { std::ofstream(folder / "config.json") << text; };
  config["discovery"] = "127.0.0.1:1";
  write(config.dump());
  {
    Program program(folder / "config.json", "127.0.0.1:1");
    REQUIRE(program.Says("listening"));
    config["discovery"] = "127.0.0.1:2";
    config["limits"]["disk_mb"] = 5;
    write(config.dump());
    program.Signal(SIGHUP);
    CHECK(program.Says("reload_key_waits key=/limits/disk_mb"));
    CHECK(program.Says("reload_done discovery=127.0.0.1:2 before=127.0.0.1:1"));
    write("{\"name\":");
    program.Signal(SIGHUP);
    CHECK(program.Says("reload_refused why=\"the configuration is no JSON"));
    program.Signal(SIGTERM);
    CHECK(program.Says("counters"));
    CHECK(program.ExitStatus() == 0);
  }
  fs::remove_all(folder);
}

}  // namespace
}  // namespace opalroute
