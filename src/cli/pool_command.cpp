#include "cli/pool_command.h"

#include <cstdio>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "cli/page.h"
#include "discovery/endpoint_list_parser.h"
#include "discovery/merged_endpoint_source.h"
#include "net/address.h"
#include "net/event_loop.h"

namespace opalroute::cli {

namespace {

using nlohmann::ordered_json;

constexpr net::Seconds kTime = 10;  // for all of it

class Nobody : public EndpointSource::Listener {
 public:
  void OnEndpointList(const EndpointListUpdate&) override {}
  void OnWatchFailed() override {}
};

ordered_json ResolveOnce(const Config& config, const Operator& settings) {
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  Nobody nobody;
  const auto known = config.known.is_null() ? std::nullopt : ParseEndpointList(config.known);
  MergedEndpointSource pool(loop, config, settings, nobody);
  pool.ApplyCached(known.value_or(EndpointListUpdate{true, true, {}}));
  for (const net::Seconds ends = loop.Now() + kTime; pool.unanswered() > 0 && loop.Now() < ends;)
    loop.RunOnce(0.1);
  return pool.Print();
}

void PrintTable(const ordered_json& page) {
  std::printf("%-12s %-32s %-21s %-8s %10s  %s\n", "destination", "endpoint", "address", "service", "rating",
              "why");
  for (const ordered_json& row : page.at("members")) {
    const std::string name = row.at("endpoint").dump(-1, ' ', true, ordered_json::error_handler_t::replace);
    std::printf("%-12lld %-32s %-21s %-8s %10.2f  %s\n", row.at("destination").get<long long>(), name.c_str(),
                row.at("address").get<std::string>().c_str(),
                row.value("in_service", true) ? "in" : "draining", row.value("rating", 0.0),
                row.at("why").get<std::string>().c_str());
  }
  if (!page.contains("silent")) return;
  for (const auto& [destination, why] : page.at("silent").items())
    std::printf("destination %s: SRV says nothing: %s\n", destination.c_str(),
                why.get<std::string>().c_str());
}

}  // namespace

int Pool(const std::string& from, bool as_json, const Operator& settings,
         const config::Environment& environment) {
  ordered_json page;
  if (!from.empty()) {
    const auto address = net::ParseAddress(from);
    if (!address) {
      std::cerr << "'" << from << "' is no address like 127.0.0.1:80\n";
      return 2;
    }
    page = FetchPage(*address, "/pool");
    if (!page.is_object()) {
      std::cerr << "no relay told its pool at " << from << " (see --admin-listen)\n";
      return 1;
    }
  } else {
    if (settings.srv_names.empty()) {
      std::cerr << "'srv' names nothing to ask for; name a running relay's --admin-listen, or see --srv\n";
      return 2;
    }
    try {
      page = ResolveOnce(config::Load(environment), settings);
    } catch (const std::exception& error) {
      std::cerr << error.what() << '\n';
      return 2;
    }
  }
  if (as_json)
    std::cout << page.dump(-1, ' ', true, ordered_json::error_handler_t::replace) << '\n';
  else
    PrintTable(page);
  return 0;
}

}  // namespace opalroute::cli
