#include "lab/result.h"

#include <algorithm>
#include <cmath>

namespace opalroute::lab {

namespace {

const std::vector<std::pair<const char*, double>> kQuantiles = {
    {"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99_9", 0.999}, {"p99_99", 0.9999}};

}  // namespace

Seconds LatencyHistogram::Quantile(double quantile) const {
  if (count_ == 0) return 0;
  const double target = quantile * static_cast<double>(count_);
  double count = 0;
  for (const auto& bin : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    count += static_cast<double>(*bin);
    if (count >= target && *bin > 0) return bin.bin().upper();
  }
  return 1e3;
}

nlohmann::json LatencyHistogram::ToJson() const {
  nlohmann::json quantiles;
  for (const auto& [name, quantile] : kQuantiles) quantiles[name] = Quantile(quantile);
  return quantiles;
}

nlohmann::json LatencyHistogram::QuantileCurve() const {
  nlohmann::json curve = nlohmann::json::array();
  for (int i = 0; i <= 80; ++i) {
    const double nines = 0.05 * i;
    const double above = std::pow(10.0, -nines);
    if (above * static_cast<double>(count_) < 1) break;  // less than one sample lies above
    curve.push_back({nines, Quantile(1 - above)});
  }
  return curve;
}

double RunResult::ValueShare() const {
  double value = 0, offered = 0;
  for (const ClassOutcome& c : classes) {
    value += c.value;
    offered += c.offered_value;
  }
  return offered > 0 ? value / offered : 0;
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

std::vector<PartnerOutcome> RunResult::WorstPartners(std::size_t max_count) const {
  std::vector<PartnerOutcome> worst;
  for (const PartnerOutcome& p : partners)
    if (p.offered > 0) worst.push_back(p);
  const auto share = [](const PartnerOutcome& p) {
    return static_cast<double>(p.delivered) / static_cast<double>(p.offered);
  };
  std::stable_sort(worst.begin(), worst.end(),
                   [&](const PartnerOutcome& a, const PartnerOutcome& b) { return share(a) < share(b); });
  if (worst.size() > max_count) worst.resize(max_count);
  return worst;
}

nlohmann::json RunResult::ToJson() const {
  nlohmann::ordered_json all = {{"scenario", scenario},
                                {"seed", seed},
                                {"played", mode},
                                {"worth", ValueShare()},
                                {"worst_ten_seconds", WorstTenSeconds()},
                                {"handed_in", submitted},
                                {"refused", rejected},
                                {"failed", failed},
                                {"calls", calls},
                                {"attempts", attempts},
                                {"full", rejected_attempts},
                                {"errors", failed_attempts},
                                {"timeouts", timeouts},
                                {"unconnected", connect_failures},
                                {"resets", resets},
                                {"probes", health_checks},
                                {"collapses", collapses},
                                {"client_doubles", client_duplicates},
                                {"events", events},
                                {"notes", datagrams},
                                {"note_bytes", datagram_bytes},
                                {"endpoint_calls", endpoint_calls},
                                {"relay_calls", relay_calls},
                                {"handshakes", handshakes}};
  for (const int seconds : {1, 10}) {
    const Evenness e = evenness.Compute(seconds);
    all["evenness"].push_back({{"span_s", e.span},
                               {"counted", e.spans},
                               {"jain", e.jain},
                               {"jain_by_chance", e.jain_random},
                               {"most", e.max_over_mean},
                               {"most_by_chance", e.max_over_mean_random},
                               {"idle", e.idle_spans}});
  }
  for (const ClassOutcome& c : classes) {
    all["classes"][c.name] = {{"asked", c.offered},
                              {"delivered", c.delivered},
                              {"in_aim", c.within_objective},
                              {"worth", c.value},
                              {"worth_asked", c.offered_value},
                              {"latency_s", c.latency.ToJson()},
                              {"latency_curve", c.latency.QuantileCurve()}};
  }
  for (const char* key :
       {"offered", "delivered", "refused", "failed", "calls", "full", "watched_calls", "watched_capacity"})
    all["seconds"][key] = nlohmann::json::array();
  for (const SecondCounts& s : seconds) {
    all["seconds"]["offered"].push_back(s.offered);
    all["seconds"]["delivered"].push_back(s.delivered);
    all["seconds"]["refused"].push_back(s.rejected);
    all["seconds"]["failed"].push_back(s.failed);
    all["seconds"]["calls"].push_back(s.calls);
    all["seconds"]["full"].push_back(s.rejected_calls);
    all["seconds"]["watched_calls"].push_back(s.watched_calls);
    all["seconds"]["watched_capacity"].push_back(
        s.watched_capacity < 0 ? nlohmann::ordered_json() : nlohmann::ordered_json(s.watched_capacity));
    all["seconds"]["zone_calls"].push_back(s.zone_calls);
    all["seconds"]["spared_calls"].push_back(s.multi_zone_partner_calls);
  }
  all["notes_by_kind"] = datagrams_by_kind;
  all["stages"] = nlohmann::json::array();
  for (const ZonePhaseChange& c : zone_phase_changes)
    all["stages"].push_back({{"at_s", c.at},
                             {"relay", c.relay},
                             {"zone", c.zone},
                             {"round", c.round},
                             {"step", c.phase},
                             {"heard", c.from_peer}});
  all["watched_partner"] = partners.empty() ? 0 : partners[static_cast<std::size_t>(watched_partner)].number;
  all["partners"] = nlohmann::json::array();
  for (const PartnerOutcome& p : WorstPartners(20))
    all["partners"].push_back({{"number", p.number},
                               {"share", p.share},
                               {"limit", p.limit},
                               {"asked", p.offered},
                               {"delivered", p.delivered},
                               {"calls", p.calls}});
  all["processes"] = nlohmann::json::array();
  for (const auto& samples : processes) {
    nlohmann::json columns = {{"at_s", nlohmann::json::array()},
                              {"rss_kb", nlohmann::json::array()},
                              {"descriptors", nlohmann::json::array()},
                              {"cpu_s", nlohmann::json::array()}};
    for (const ProcessSample& s : samples) {
      columns["at_s"].push_back(s.at);
      columns["rss_kb"].push_back(s.rss_kb);
      columns["descriptors"].push_back(s.descriptors);
      columns["cpu_s"].push_back(s.cpu);
    }
    all["processes"].push_back(nlohmann::ordered_json(columns));
  }
  all["crashes"] = nlohmann::json::array();
  for (const Crash& c : crashes)
    all["crashes"].push_back(
        {{"relay", c.relay}, {"at_s", c.at}, {"how", c.cause}, {"last_log", c.last_log}});
  if (mode == "sockets") {
    all["withdrawn"] = withdrawn;
    all["notified_after_delivery"] = notified_after_delivery;
  }
  if (answer_time.count() > 0) all["answer_time_s"] = answer_time.ToJson();
  all["lateness_s"] = {{"p99", lateness_p99}, {"most", lateness_max}};
  all["void_because"] = void_reason;
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
