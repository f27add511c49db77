#include "cli/command_line.h"

#include <iostream>
#include <utility>

#include "cli/operator_options.h"
#include "zone_failover/operator_override.h"

namespace opalroute::cli {

Parsed Parse(int argc, const char* const* argv, const config::Environment& environment) {
  Parsed parsed;
  Invocation& invocation = parsed.invocation;
  CLI::App app{
      "opalroute relays requests to endpoints.\n"
      "The platform's configuration is in the file that EDGE_CONFIG names; every setting below is a "
      "flag,\n"
      "a variable OPALROUTE_... or a key of the operators' file, in this order of precedence."};
  app.name("opalroute");
  app.set_version_flag("--version", std::string("opalroute ") + OPALROUTE_VERSION);
  app.require_subcommand(0, 1);
  app.fallthrough();
  CLI::App* run = app.add_subcommand("run", "serve until SIGTERM (the default command)");
  CLI::App* check = app.add_subcommand("check", "check the whole configuration and print every error");
  CLI::App* snapshot = app.add_subcommand("snapshot", "print the route states of a relay");
  snapshot->add_option("FROM", invocation.snapshot_source, "address of a --learn-listen, or a state folder")
      ->required();
  snapshot->add_flag("--json", invocation.as_json, "as JSON instead of a table");
  CLI::App* pool =
      app.add_subcommand("pool", "print the merged set of endpoints, and why each is in service or not");
  pool->add_option("FROM", invocation.pool_source,
                   "address of a relay's --admin-listen; without it the names of --srv are queried once");
  pool->add_flag("--json", invocation.as_json, "as JSON instead of a table");
  CLI::App* zones =
      app.add_subcommand("zones", "print the members of a relay's fleet, and the state of each zone");
  zones->add_option("FROM", invocation.zones.address, "address of a relay's --admin-listen")->required();
  zones->add_flag("--json", invocation.as_json, "as JSON instead of a table");
  std::string leave, keep, revoke;
  auto* override_group =
      zones->add_option_group("by hand", "an override, which the relay gossips to the whole fleet");
  override_group->require_option(0, 1);
  auto* duration = zones
                       ->add_option("--for", invocation.zones.duration,
                                    "seconds until the override expires, a day at most")
                       ->check(CLI::Range(1.0, zone_failover::OperatorOverrides::kMaxDuration));
  override_group->add_option("--leave", leave, "evacuate this zone, whatever its health")->needs(duration);
  override_group->add_option("--keep", keep, "keep this zone in service, whatever its health")
      ->needs(duration);
  override_group->add_option("--revoke", revoke, "revoke the override of this zone")->excludes(duration);
  for (CLI::App* command : {run, check, snapshot, pool, zones}) command->fallthrough();
  try {
    const config::OperatorOptions options(app, environment);
    app.parse(argc, argv);
    invocation.settings = options.Finish(invocation.errors);
  } catch (const CLI::ParseError& error) {
    parsed.should_exit = true;
    parsed.exit_status = app.exit(error) == 0 ? 0 : 2;
    return parsed;
  }
  if (*check) invocation.command = Command::kCheck;
  if (*snapshot) invocation.command = Command::kSnapshot;
  if (*pool) invocation.command = Command::kPool;
  if (*zones) invocation.command = Command::kZones;
  for (const auto& [name, zone] :
       {std::pair("leave", &leave), std::pair("keep", &keep), std::pair("none", &revoke)})
    if (!zone->empty()) invocation.zones.override_name = name, invocation.zones.zone = *zone;
  return parsed;
}

int Check(const Invocation& invocation, const config::Environment& environment) {
  std::vector<std::string> errors = invocation.errors;
  try {
    config::Load(environment);
  } catch (const config::FieldErrors& error) {
    errors.insert(errors.end(), error.messages().begin(), error.messages().end());
  } catch (const config::FieldError& error) {
    errors.emplace_back(error.what());
  }
  for (const std::string& error : errors) std::cout << error << '\n';
  if (errors.empty()) std::cout << "the configuration is valid\n";
  return errors.empty() ? 0 : 2;
}

}  // namespace opalroute::cli
