#include "relay/operations_metrics.h"

namespace opalroute {
namespace {

std::string Line(const std::string& name, long value) {
  return "edge." + name + "=" + std::to_string(value) + "\n";
}

std::string ClassLines(const Config& config, const Counters& counters) {
  std::string text;
  for (std::size_t i = 0; i < config.classes.size(); ++i) {
    const Counters::ClassCounters& of_class = counters.classes[i];
    text += Line("passed." + config.classes[i], of_class.delivered);
    text += Line("dropped." + config.classes[i], of_class.rejected);
    text += Line("bad_gateway." + config.classes[i], of_class.failed);
  }
  return text;
}

// What each owner of the memory budget holds, in bytes, and which limits have ended requests of clients.
std::string LimitLines(const Counters& counters, const net::MemoryBudget& memory) {
  std::string text;
  for (std::size_t i = 0; i < net::kMemoryOwners; ++i) {
    const auto owner = static_cast<net::MemoryOwner>(i);
    const net::MemoryBudget::Figures& figures = memory.figures(owner);
    const std::string name = std::string("memory.") + net::NameOf(owner);
    text += Line(name + ".held", static_cast<long>(figures.held));
    text += Line(name + ".peak", static_cast<long>(figures.peak));
    text += Line(name + ".budget", static_cast<long>(figures.share));
    text += Line(name + ".refusals", figures.refusals);
  }
  for (std::size_t i = 0; i < net::kServerLimits; ++i) {
    const char* name = net::NameOf(static_cast<net::ServerLimit>(i));
    text += Line(std::string("client_limit.") + name, counters.client_limits[i]);
  }
  return text;
}

}  // namespace

std::string OperationsMetrics(const Config& config, const Counters& counters, const EndpointTable& endpoints,
                              const RequestTable& requests, const DecisionLoop& decisions,
                              const net::MemoryBudget& memory, const ListenerTakeover& listeners,
                              Seconds now) {
  long known = 0;
  long skipped = 0;
  for (const EndpointId id : endpoints.Listed()) {
    ++known;
    if (!decisions.router().MaySend(now, id)) ++skipped;
  }
  std::string text = ClassLines(config, counters);
  text += Line("upstream_tries", counters.requests_written);
  text += Line("in_progress", requests.open());
  text += Line("known_endpoints", known);
  text += Line("skipped_endpoints", skipped);
  text += Line("waiting_listeners", static_cast<long>(listeners.waiting()));
  text += LimitLines(counters, memory);
  return text;
}

}  // namespace opalroute
