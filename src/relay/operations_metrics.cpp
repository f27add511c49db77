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

}  // namespace

std::string OperationsMetrics(const Config& config, const Counters& counters, const EndpointTable& endpoints,
                              const RequestTable& requests, const DecisionLoop& decisions, Seconds now) {
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
  return text;
}

}  // namespace opalroute
