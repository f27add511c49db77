// The command line of the relay program: the command and the operators' settings.
#pragma once

#include <string>
#include <vector>

#include "cli/zones_command.h"
#include "config/config.h"
#include "config/operator_settings.h"

namespace opalroute::cli {

enum class Command { kRun, kCheck, kSnapshot, kPool, kZones };

// What the command line asks for.
struct Invocation {
  Command command = Command::kRun;
  OperatorSettings settings;
  std::vector<std::string> errors;  // in the operators' settings
  std::string snapshot_source;      // an address or a state folder
  std::string pool_source;          // an address, or empty
  ZonesArguments zones;
  bool as_json = false;
};

struct Parsed {
  Invocation invocation;
  // The help, the version or a usage error was printed: the program ends with `exit_status`, and `invocation`
  // has no meaning.
  bool should_exit = false;
  int exit_status = 0;
};
// Parses the command line. Without arguments, as the platform starts the program, the command is kRun.
Parsed Parse(int argc, const char* const* argv, const config::Environment& environment);

// `opalroute check`: prints every error with its key. Returns the exit status: 0 valid, 2 errors.
int Check(const Invocation& invocation, const config::Environment& environment);

}  // namespace opalroute::cli
