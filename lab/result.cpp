#include "lab/result.h"

#include <algorithm>
#include <cmath>

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

nlohmann::json LatencyHistogram::Curve() const {
  nlohmann::json curve = nlohmann::json::array();
  for (int i = 0; i <= 80; ++i) {
    const double nines = 0.05 * i;
    const double left = std::pow(10.0, -nines);
    if (left * static_cast<double>(count_) < 1) break;  // no message stands for it
    curve.push_back({nines, At(1 - left)});
  }
  return curve;
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

std::vector<PartnerOutcome> RunResult::WorstPartners(std::size_t most) const {
  std::vector<PartnerOutcome> worst;
  for (const PartnerOutcome& p : partners)
    if (p.asked > 0) worst.push_back(p);
  const auto share = [](const PartnerOutcome& p) {
    return static_cast<double>(p.delivered) / static_cast<double>(p.asked);
  };
  std::stable_sort(worst.begin(), worst.end(),
                   [&](const PartnerOutcome& a, const PartnerOutcome& b) { return share(a) < share(b); });
  if (worst.size() > most) worst.resize(most);
  return worst;
}

nlohmann::json RunResult::ToJson() const {
  nlohmann::ordered_json all = {{"scenario", scenario},
                                {"seed", seed},
                                {"played", played},
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
                                {"events", events},
                                {"notes", notes},
                                {"note_bytes", note_bytes},
                                {"endpoint_calls", endpoint_calls},
                                {"relay_calls", relay_calls},
                                {"handshakes", handshakes}};
  for (const int seconds : {1, 10}) {
    const Evenness e = even.Of(seconds);
    all["evenness"].push_back({{"span_s", e.span},
                               {"counted", e.counted},
                               {"jain", e.jain},
                               {"jain_by_chance", e.jain_by_chance},
                               {"most", e.most},
                               {"most_by_chance", e.most_by_chance},
                               {"idle", e.idle}});
  }
  for (const ClassOutcome& c : classes) {
    all["classes"][c.name] = {{"asked", c.asked},
                              {"delivered", c.delivered},
                              {"in_aim", c.in_aim},
                              {"worth", c.worth},
                              {"worth_asked", c.worth_asked},
                              {"latency_s", c.latency.ToJson()},
                              {"latency_curve", c.latency.Curve()}};
  }
  for (const char* key :
       {"offered", "delivered", "refused", "failed", "calls", "full", "watched_calls", "watched_capacity"})
    all["seconds"][key] = nlohmann::json::array();
  for (const Second& s : seconds) {
    all["seconds"]["offered"].push_back(s.offered);
    all["seconds"]["delivered"].push_back(s.delivered);
    all["seconds"]["refused"].push_back(s.refused);
    all["seconds"]["failed"].push_back(s.failed);
    all["seconds"]["calls"].push_back(s.calls);
    all["seconds"]["full"].push_back(s.full);
    all["seconds"]["watched_calls"].push_back(s.watched_calls);
    all["seconds"]["watched_capacity"].push_back(
        s.watched_capacity < 0 ? nlohmann::ordered_json() : nlohmann::ordered_json(s.watched_capacity));
    all["seconds"]["zone_calls"].push_back(s.zone_calls);
    all["seconds"]["spared_calls"].push_back(s.spared_calls);
  }
  all["notes_by_kind"] = notes_by_kind;
  all["stages"] = nlohmann::json::array();
  for (const StageChange& c : stage_changes)
    all["stages"].push_back({{"at_s", c.at},
                             {"relay", c.relay},
                             {"zone", c.zone},
                             {"round", c.round},
                             {"step", c.step},
                             {"heard", c.heard}});
  all["watched_partner"] = partners.empty() ? 0 : partners[static_cast<std::size_t>(watched)].number;
  all["partners"] = nlohmann::json::array();
  for (const PartnerOutcome& p : WorstPartners(20))
    all["partners"].push_back({{"number", p.number},
                               {"share", p.share},
                               {"limit", p.limit},
                               {"asked", p.asked},
                               {"delivered", p.delivered},
                               {"calls", p.calls}});
  all["processes"] = nlohmann::json::array();
  for (const auto& samples : processes) {
    nlohmann::json one = {{"at_s", nlohmann::json::array()},
                          {"rss_kb", nlohmann::json::array()},
                          {"descriptors", nlohmann::json::array()},
                          {"cpu_s", nlohmann::json::array()}};
    for (const ProcessSample& s : samples) {
      one["at_s"].push_back(s.at);
      one["rss_kb"].push_back(s.rss_kb);
      one["descriptors"].push_back(s.descriptors);
      one["cpu_s"].push_back(s.cpu);
    }
    all["processes"].push_back(nlohmann::ordered_json(one));
  }
  all["crashes"] = nlohmann::json::array();
  for (const Crash& c : crashes)
    all["crashes"].push_back({{"relay", c.relay}, {"at_s", c.at}, {"how", c.how}, {"last_log", c.last_log}});
  if (answer_time.count() > 0) all["answer_time_s"] = answer_time.ToJson();
  all["lateness_s"] = {{"p99", lateness_p99}, {"most", lateness_most}};
  all["void_because"] = void_because;
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
