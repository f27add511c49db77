#include "cli/snapshot_command.h"

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

#include "journal/persistent_clock.h"
#include "net/address.h"
#include "state_transfer/snapshot_client.h"
#include "state_transfer/snapshot_file.h"

namespace opalroute::cli {

namespace {

using nlohmann::ordered_json;
using state_transfer::NamedRouteState;

constexpr Seconds kTime = 5;  // for all of it

struct Result {
  std::string name, end;
  Seconds age = 0;  // of a saved one
  std::vector<NamedRouteState> lanes;
};

class Fetch : private state_transfer::SnapshotClient::Owner {
 public:
  explicit Fetch(const sockaddr_in& from) : learner_(loop_, {from}, "snapshot", kTime, limits_, *this) {
    loop_.Run();
  }
  Result result;

 private:
  void OnRouteState(int, const NamedRouteState& heard, Seconds made) override {
    result.lanes.push_back(heard);
    state_transfer::AgeBy(result.lanes.back().state, loop_.Now() - made);
  }
  void OnSnapshotsEnded(const std::vector<state_transfer::SnapshotClient::Report>& reports) override {
    result.name = reports[0].name;
    result.end = reports[0].result;
    loop_.Stop();
  }
  const Limits limits_;
  const net::SystemClock clock_;
  net::EventLoop loop_{clock_};
  state_transfer::SnapshotClient learner_;
};

Result Load(const std::string& folder) {
  const Limits limits;
  const auto saved = state_transfer::SnapshotFile(folder, limits.learn_file_bytes).Load();
  const net::SystemClock system_clock;
  const PersistentClock clock(system_clock, folder);
  return {saved.name, saved.result, static_cast<double>(clock.Micros() - saved.written_at) / 1e6,
          saved.routes};
}

ordered_json LaneJson(const NamedRouteState& heard) {
  const RouteState& b = heard.state;
  ordered_json row = {{"destination", b.destination}};
  if (!heard.endpoint.empty()) row["endpoint"] = heard.endpoint;
  if (b.retry_after > 0) row["wait_s"] = b.retry_after;
  if (b.failure_age) row["out_since_s"] = *b.failure_age;
  if (b.recovery_age) row["back_since_s"] = *b.recovery_age;
  if (b.success_age) row["served_before_s"] = *b.success_age;
  if (b.rejection_age) row["refused_before_s"] = *b.rejection_age;
  if (b.rejection_age) row["pace_per_s"] = b.send_rate;
  if (b.latency_age) row["latency_s"] = b.latency;
  if (b.hedging_disabled_age) row["copies_barred_before_s"] = *b.hedging_disabled_age;
  return row;
}

void PrintTable(const Result& result) {
  std::printf("%-12s %-16s %8s %8s %8s %8s %8s %8s\n", "destination", "endpoint", "wait", "out", "back",
              "served", "pace/s", "latency");
  const auto cell = [](bool has, double value) {
    if (has)
      std::printf(" %8.3f", value);
    else
      std::printf(" %8s", "-");
  };
  for (const NamedRouteState& heard : result.lanes) {
    const RouteState& b = heard.state;
    const std::string name =
        heard.endpoint.empty()
            ? "(all)"
            : ordered_json(heard.endpoint).dump(-1, ' ', true, ordered_json::error_handler_t::replace);
    std::printf("%-12lld %-16s", static_cast<long long>(b.destination), name.c_str());
    cell(b.retry_after > 0, b.retry_after);
    cell(b.failure_age.has_value(), b.failure_age.value_or(0));
    cell(b.recovery_age.has_value(), b.recovery_age.value_or(0));
    cell(b.success_age.has_value(), b.success_age.value_or(0));
    cell(b.rejection_age.has_value(), b.send_rate);
    cell(b.latency_age.has_value(), b.latency);
    std::printf("\n");
  }
}

}  // namespace

int Snapshot(const std::string& from, bool as_json) {
  const auto address = net::ParseAddress(from);
  const Result result = address ? Fetch(*address).result : Load(from);
  if (as_json) {
    ordered_json rows = ordered_json::array();
    for (const NamedRouteState& heard : result.lanes) rows.push_back(LaneJson(heard));
    const ordered_json all = {
        {"name", result.name}, {"end", result.end}, {"saved_before_s", result.age}, {"lanes", rows}};
    std::cout << all.dump(-1, ' ', true, ordered_json::error_handler_t::replace) << '\n';
  } else {
    PrintTable(result);
  }
  if (result.end == "whole") return 0;
  std::cerr << "snapshot of " << from << ": " << result.end << '\n';
  return 1;
}

}  // namespace opalroute::cli
