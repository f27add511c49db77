#include "lab/result.h"

#include <algorithm>

namespace opalroute::lab {

namespace {

const std::vector<std::pair<const char*, double>> kQuantiles = {
    {"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99_9", 0.999}, {"p99_99", 0.9999}};

}  // namespace

Seconds LatencyHistogram::At(double quantile) const {
  if (count_ == 0) return 0;
  const double wanted = quantile * static_cast<double>(count_);
  double seen = 0;
  for (const auto& cell : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    seen += static_cast<double>(*cell);
    if (seen >= wanted && *cell > 0) return cell.bin().upper();
  }
  return 1e3;
}

nlohmann::json LatencyHistogram::ToJson() const {
  nlohmann::json quantiles;
  for (const auto& [name, quantile] : kQuantiles) quantiles[name] = At(quantile);
  return quantiles;
}

double RunResult::Worth() const {
  double worth = 0, asked = 0;
  for (const ClassOutcome& c : classes) {
    worth += c.worth;
    asked += c.worth_asked;
  }
  return asked > 0 ? worth / asked : 0;
}

double RunResult::WorstTenSeconds() const {
  double worst = 1;
  for (std::size_t i = 0; i + 10 <= seconds.size(); ++i) {
    int offered = 0, delivered = 0;
    for (std::size_t j = i; j < i + 10; ++j) {
      offered += seconds[j].offered;
      delivered += seconds[j].delivered;
    }
    if (offered > 0) worst = std::min(worst, static_cast<double>(delivered) / offered);
  }
  return worst;
}

nlohmann::json RunResult::ToJson() const {
  nlohmann::ordered_json all = {{"scenario", scenario},
                                {"seed", seed},
                                {"worth", Worth()},
                                {"worst_ten_seconds", WorstTenSeconds()},
                                {"handed_in", handed_in},
                                {"refused", refused},
                                {"failed", failed},
                                {"calls", calls},
                                {"attempts", attempts},
                                {"full", full},
                                {"errors", errors},
                                {"timeouts", timeouts},
                                {"unconnected", unconnected},
                                {"resets", resets},
                                {"probes", probes},
                                {"collapses", collapses},
                                {"client_doubles", client_doubles},
                                {"events", events}};
  for (const ClassOutcome& c : classes) {
    all["classes"][c.name] = {
        {"asked", c.asked}, {"delivered", c.delivered},     {"in_aim", c.in_aim},
        {"worth", c.worth}, {"worth_asked", c.worth_asked}, {"latency_s", c.latency.ToJson()}};
  }
  for (const char* key : {"offered", "delivered", "refused", "failed", "calls", "full"})
    all["seconds"][key] = nlohmann::json::array();
  for (const Second& s : seconds) {
    all["seconds"]["offered"].push_back(s.offered);
    all["seconds"]["delivered"].push_back(s.delivered);
    all["seconds"]["refused"].push_back(s.refused);
    all["seconds"]["failed"].push_back(s.failed);
    all["seconds"]["calls"].push_back(s.calls);
    all["seconds"]["full"].push_back(s.full);
  }
  all["breaches"] = nlohmann::json::array();
  for (const Breach& b : breaches)
    all["breaches"].push_back({{"kind", NameOf(b.kind)},
                               {"at_s", b.at},
                               {"relay", b.relay},
                               {"message", b.message},
                               {"endpoint", b.endpoint},
                               {"trace", b.trace}});
  return all;
}

}  // namespace opalroute::lab
