#include "cli/command_line.h"

#include <iostream>
#include <utility>

#include "cli/operator_options.h"
#include "zone_failover/operator_override.h"

namespace opalroute::cli {

Parsed Parse(int argc, const char* const* argv, const config::Environment& environment) {
  Parsed parsed;
  Order& order = parsed.order;
  CLI::App app{
      "opalroute relays messages to partners' endpoints.\n"
      "The platform's configuration comes from the file that EDGE_CONFIG names; every setting below is a "
      "flag,\n"
      "a variable OPALROUTE_... or a key of the operators' file, in this order of precedence."};
  app.name("opalroute");
  app.set_version_flag("--version", std::string("opalroute ") + OPALROUTE_VERSION);
  app.require_subcommand(0, 1);
  app.fallthrough();
  CLI::App* run = app.add_subcommand("run", "serve until SIGTERM (also without a command)");
  CLI::App* check = app.add_subcommand("check", "read and check all configuration, print every fault");
  CLI::App* snapshot = app.add_subcommand("snapshot", "print what a relay has learnt of its partners");
  snapshot->add_option("FROM", order.snapshot_of, "address of a --learn-listen, or a state folder")
      ->required();
  snapshot->add_flag("--json", order.as_json, "as JSON instead of a table");
  CLI::App* pool =
      app.add_subcommand("pool", "print the joined set of endpoints, and why each is in service or not");
  pool->add_option("FROM", order.pool_of,
                   "address of a relay's --admin-listen; without it --srv is asked for once");
  pool->add_flag("--json", order.as_json, "as JSON instead of a table");
  CLI::App* zones =
      app.add_subcommand("zones", "print who is there of a relay's tier, and the stage of each zone");
  zones->add_option("FROM", order.zones.address, "address of a relay's --admin-listen")->required();
  zones->add_flag("--json", order.as_json, "as JSON instead of a table");
  std::string leave, keep, revoke;
  auto* by_hand = zones->add_option_group("by hand", "told to all relays of the tier by this one");
  by_hand->require_option(0, 1);
  auto* ends = zones->add_option("--for", order.zones.duration, "seconds until the order ends, a day at most")
                   ->check(CLI::Range(1.0, zone_failover::OperatorOverrides::kMaxDuration));
  by_hand->add_option("--leave", leave, "this zone is left, whatever calls say")->needs(ends);
  by_hand->add_option("--keep", keep, "this zone is not left, whatever calls say")->needs(ends);
  by_hand->add_option("--revoke", revoke, "an order of this zone ends now")->excludes(ends);
  for (CLI::App* command : {run, check, snapshot, pool, zones}) command->fallthrough();
  try {
    const config::OperatorOptions options(app, environment);
    app.parse(argc, argv);
    order.settings = options.Finish(order.faults);
  } catch (const CLI::ParseError& error) {
    parsed.exits = true;
    parsed.exit_code = app.exit(error) == 0 ? 0 : 2;
    return parsed;
  }
  if (*check) order.command = Command::kCheck;
  if (*snapshot) order.command = Command::kSnapshot;
  if (*pool) order.command = Command::kPool;
  if (*zones) order.command = Command::kZones;
  for (const auto& [name, zone] :
       {std::pair("leave", &leave), std::pair("keep", &keep), std::pair("none", &revoke)})
    if (!zone->empty()) order.zones.override_name = name, order.zones.zone = *zone;
  return parsed;
}

int Check(const Order& order, const config::Environment& environment) {
  std::vector<std::string> faults = order.faults;
  try {
    config::Load(environment);
  } catch (const config::Faults& error) {
    faults.insert(faults.end(), error.all().begin(), error.all().end());
  } catch (const config::FieldError& error) {
    faults.emplace_back(error.what());
  }
  for (const std::string& fault : faults) std::cout << fault << '\n';
  if (faults.empty()) std::cout << "the configuration is sound\n";
  return faults.empty() ? 0 : 2;
}

}  // namespace opalroute::cli
