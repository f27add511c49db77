#include "cli/snapshot_command.h"

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "journal/persistent_clock.h"
#include "net/address.h"
#include "state_transfer/snapshot_client.h"
#include "state_transfer/snapshot_file.h"

namespace opalroute::cli {

namespace {

using nlohmann::ordered_json;
using state_transfer::NamedRouteState;
using state_transfer::SnapshotClient;
using state_transfer::SnapshotResult;

constexpr Seconds kTimeout = 5;
// The name under which this command asks a relay for its snapshot.
constexpr char kClientName[] = "snapshot";

struct Snapshot {
  std::string name;  // of the relay
  SnapshotResult result = SnapshotResult::kNoFile;
  Seconds age = 0;  // of a saved snapshot
  std::vector<NamedRouteState> routes;
};

// Fetches a running relay's snapshot.
class SnapshotFetch : private SnapshotClient::Owner {
 public:
  explicit SnapshotFetch(const sockaddr_in& from)
      : client_(loop_, {from}, kClientName, kTimeout, limits_, *this) {
    loop_.Run();
  }
  const Snapshot& snapshot() const { return snapshot_; }

 private:
  void OnRouteState(int, const NamedRouteState& route, Seconds observed_at) override {
    snapshot_.routes.push_back(route);
    state_transfer::AgeBy(snapshot_.routes.back().state, loop_.Now() - observed_at);
  }
  void OnSnapshotsEnded(const std::vector<SnapshotClient::Report>& reports) override {
    snapshot_.name = reports[0].name;
    snapshot_.result = reports[0].result;
    loop_.Stop();
  }

  Snapshot snapshot_;
  const Limits limits_;
  const net::SystemClock clock_;
  net::EventLoop loop_{clock_};
  SnapshotClient client_;
};

Snapshot LoadFromFolder(const std::string& folder) {
  const Limits limits;
  const auto saved = state_transfer::SnapshotFile(folder, limits.snapshot_file_bytes).Load();
  const net::SystemClock system_clock;
  const PersistentClock clock(system_clock, folder);
  const Seconds age = static_cast<double>(clock.Micros() - saved.written_at) / 1e6;
  return {saved.name, saved.result, age, saved.routes};
}

std::string Dump(const ordered_json& value) {
  return value.dump(-1, ' ', true, ordered_json::error_handler_t::replace);
}

ordered_json RouteJson(const NamedRouteState& route) {
  const RouteState& state = route.state;
  ordered_json row = {{"destination", state.destination}};
  if (!route.endpoint.empty()) row["endpoint"] = route.endpoint;
  if (state.retry_after > 0) row["wait_s"] = state.retry_after;
  if (state.failure_age) row["out_since_s"] = *state.failure_age;
  if (state.recovery_age) row["back_since_s"] = *state.recovery_age;
  if (state.success_age) row["served_before_s"] = *state.success_age;
  if (state.rejection_age) row["refused_before_s"] = *state.rejection_age;
  if (state.rejection_age) row["pace_per_s"] = state.send_rate;
  if (state.latency_age) row["latency_s"] = state.latency;
  if (state.hedging_disabled_age) row["copies_barred_before_s"] = *state.hedging_disabled_age;
  return row;
}

void PrintJson(const Snapshot& snapshot) {
  ordered_json rows = ordered_json::array();
  for (const NamedRouteState& route : snapshot.routes) rows.push_back(RouteJson(route));
  const ordered_json page = {{"name", snapshot.name},
                             {"end", NameOf(snapshot.result)},
                             {"saved_before_s", snapshot.age},
                             {"lanes", rows}};
  std::cout << Dump(page) << '\n';
}

void PrintCell(const std::optional<double>& value) {
  if (value) {
    std::printf(" %8.3f", *value);
  } else {
    std::printf(" %8s", "-");
  }
}

void PrintRow(const NamedRouteState& route) {
  const RouteState& state = route.state;
  const std::string name = route.endpoint.empty() ? "(all)" : Dump(route.endpoint);
  const auto value_if = [](bool has_value, double value) {
    return has_value ? std::optional<double>(value) : std::nullopt;
  };
  std::printf("%-12lld %-16s", static_cast<long long>(state.destination), name.c_str());
  PrintCell(value_if(state.retry_after > 0, state.retry_after));
  PrintCell(state.failure_age);
  PrintCell(state.recovery_age);
  PrintCell(state.success_age);
  PrintCell(value_if(state.rejection_age.has_value(), state.send_rate));
  PrintCell(value_if(state.latency_age.has_value(), state.latency));
  std::printf("\n");
}

void PrintTable(const Snapshot& snapshot) {
  std::printf("%-12s %-16s %8s %8s %8s %8s %8s %8s\n", "destination", "endpoint", "wait", "out", "back",
              "served", "pace/s", "latency");
  for (const NamedRouteState& route : snapshot.routes) PrintRow(route);
}

}  // namespace

int PrintSnapshot(const std::string& from, bool as_json) {
  const auto address = net::ParseAddress(from);
  const Snapshot snapshot = address ? SnapshotFetch(*address).snapshot() : LoadFromFolder(from);
  if (as_json) {
    PrintJson(snapshot);
  } else {
    PrintTable(snapshot);
  }
  if (snapshot.result == SnapshotResult::kComplete) return 0;
  std::cerr << "snapshot of " << from << ": " << NameOf(snapshot.result) << '\n';
  return 1;
}

}  // namespace opalroute::cli
