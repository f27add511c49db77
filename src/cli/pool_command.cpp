#include "cli/pool_command.h"

#include <cstdio>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

#include "cli/page.h"
#include "discovery/endpoint_list_parser.h"
#include "discovery/merged_endpoint_source.h"
#include "net/address.h"
#include "net/event_loop.h"

namespace opalroute::cli {

namespace {

using nlohmann::ordered_json;

constexpr net::Seconds kResolveTimeout = 10;  // for all names together
constexpr net::Seconds kMaxLoopWait = 0.1;

// Exit statuses
constexpr int kOk = 0;
constexpr int kNoResponse = 1;
constexpr int kInvalid = 2;

class IgnoringListener : public EndpointSource::Listener {
 public:
  void OnEndpointList(const EndpointListUpdate&) override {}
  void OnWatchFailed() override {}
};

ordered_json ResolveOnce(const Config& config, const OperatorSettings& settings) {
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  IgnoringListener listener;
  const auto cached = config.cached_list.is_null() ? std::nullopt : ParseEndpointList(config.cached_list);
  MergedEndpointSource source(loop, config, settings, listener);
  source.ApplyCached(cached.value_or(EndpointListUpdate{true, true, {}}));
  const net::Seconds give_up_at = loop.Now() + kResolveTimeout;
  while (source.pending_names() > 0 && loop.Now() < give_up_at) loop.RunOnce(kMaxLoopWait);
  return source.ToJson();
}

std::string Dump(const ordered_json& value) {
  return value.dump(-1, ' ', true, ordered_json::error_handler_t::replace);
}

void PrintTable(const ordered_json& page) {
  std::printf("%-12s %-32s %-21s %-8s %10s  %s\n", "destination", "endpoint", "address", "service", "rating",
              "why");
  for (const ordered_json& row : page.at("members")) {
    const std::string endpoint = Dump(row.at("endpoint"));
    std::printf("%-12lld %-32s %-21s %-8s %10.2f  %s\n", row.at("destination").get<long long>(),
                endpoint.c_str(), row.at("address").get<std::string>().c_str(),
                row.value("in_service", true) ? "in" : "draining", row.value("rating", 0.0),
                row.at("why").get<std::string>().c_str());
  }
  if (!page.contains("silent")) return;
  for (const auto& [destination, why] : page.at("silent").items()) {
    std::printf("destination %s: no SRV data: %s\n", destination.c_str(), why.get<std::string>().c_str());
  }
}

void Print(const ordered_json& page, bool as_json) {
  if (as_json) {
    std::cout << Dump(page) << '\n';
  } else {
    PrintTable(page);
  }
}

int PrintPoolOfRelay(const std::string& from, bool as_json) {
  const auto address = net::ParseAddress(from);
  if (!address) {
    std::cerr << "'" << from << "' is not an address like 127.0.0.1:80\n";
    return kInvalid;
  }
  const ordered_json page = FetchPage(*address, "/pool");
  if (!page.is_object()) {
    std::cerr << "no relay returned its endpoints at " << from << " (see --admin-listen)\n";
    return kNoResponse;
  }
  Print(page, as_json);
  return kOk;
}

int PrintResolvedPool(bool as_json, const OperatorSettings& settings,
                      const config::Environment& environment) {
  if (settings.srv_names.empty()) {
    std::cerr
        << "'srv' names no SRV records; give the address of a running relay's --admin-listen, or see --srv\n";
    return kInvalid;
  }
  ordered_json page;
  try {
    page = ResolveOnce(config::Load(environment), settings);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kInvalid;
  }
  Print(page, as_json);
  return kOk;
}

}  // namespace

int PrintPool(const std::string& from, bool as_json, const OperatorSettings& settings,
              const config::Environment& environment) {
  return from.empty() ? PrintResolvedPool(as_json, settings, environment) : PrintPoolOfRelay(from, as_json);
}

}  // namespace opalroute::cli
