// The program's command line: what it is asked to do, and the operators' settings.
#pragma once

#include <string>
#include <vector>

#include "cli/zones_command.h"
#include "config/config.h"
#include "config/operator.h"

namespace opalroute::cli {

enum class Command { kRun, kCheck, kSnapshot, kPool, kZones };

struct Order {
  Command command = Command::kRun;
  Operator settings;
  std::vector<std::string> faults;  // of the operators' settings, one a line
  std::string snapshot_of;          // an address or a state folder
  std::string pool_of;              // an address, or nothing
  ZoneCommand zones;
  bool as_json = false;
};

// Reads the command line. With no argument it asks for a run, as the platform starts it. Prints help, the
// version or what is wrong with the line itself; `exit_code` is then set and nothing else counts.
struct Parsed {
  Order order;
  bool exits = false;
  int exit_code = 0;
};
Parsed Parse(int argc, const char* const* argv, const config::Environment& environment);

// `opalroute check`: prints every fault with its key. Returns the exit status: 0 sound, 2 faults.
int Check(const Order& order, const config::Environment& environment);

}  // namespace opalroute::cli
