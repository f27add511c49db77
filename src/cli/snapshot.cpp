#include "cli/snapshot.h"

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

#include "journal/persistent_clock.h"
#include "learning/learner.h"
#include "learning/state_file.h"
#include "net/address.h"

namespace opalroute::cli {

namespace {

using learning::Heard;
using nlohmann::ordered_json;

constexpr Seconds kTime = 5;  // for all of it

struct Result {
  std::string name, end;
  Seconds age = 0;  // of a saved one
  std::vector<Heard> lanes;
};

class Fetch : private learning::Learner::Owner {
 public:
  explicit Fetch(const sockaddr_in& from) : learner_(loop_, {from}, "snapshot", kTime, limits_, *this) {
    loop_.Run();
  }
  Result result;

 private:
  void OnHeard(int, const Heard& heard, Seconds made) override {
    result.lanes.push_back(heard);
    learning::Age(result.lanes.back().belief, loop_.Now() - made);
  }
  void OnAllEnded(const std::vector<learning::Learner::Report>& reports) override {
    result.name = reports[0].name;
    result.end = reports[0].end;
    loop_.Stop();
  }
  const Limits limits_;
  const net::SystemClock clock_;
  net::EventLoop loop_{clock_};
  learning::Learner learner_;
};

Result Load(const std::string& folder) {
  const Limits limits;
  const auto saved = learning::StateFile(folder, limits.learn_file_bytes).Load();
  const net::SystemClock system_clock;
  const PersistentClock clock(system_clock, folder);
  return {saved.name, saved.end, static_cast<double>(clock.Micros() - saved.written_at) / 1e6, saved.lanes};
}

ordered_json LaneJson(const Heard& heard) {
  const Belief& b = heard.belief;
  ordered_json row = {{"destination", b.destination}};
  if (!heard.endpoint.empty()) row["endpoint"] = heard.endpoint;
  if (b.wait > 0) row["wait_s"] = b.wait;
  if (b.out) row["out_since_s"] = *b.out;
  if (b.back) row["back_since_s"] = *b.back;
  if (b.served) row["served_before_s"] = *b.served;
  if (b.refused) row["refused_before_s"] = *b.refused;
  if (b.refused) row["pace_per_s"] = b.pace;
  if (b.measured) row["latency_s"] = b.latency;
  if (b.barred) row["copies_barred_before_s"] = *b.barred;
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
  for (const Heard& heard : result.lanes) {
    const Belief& b = heard.belief;
    const std::string name =
        heard.endpoint.empty()
            ? "(all)"
            : ordered_json(heard.endpoint).dump(-1, ' ', true, ordered_json::error_handler_t::replace);
    std::printf("%-12lld %-16s", static_cast<long long>(b.destination), name.c_str());
    cell(b.wait > 0, b.wait);
    cell(b.out.has_value(), b.out.value_or(0));
    cell(b.back.has_value(), b.back.value_or(0));
    cell(b.served.has_value(), b.served.value_or(0));
    cell(b.refused.has_value(), b.pace);
    cell(b.measured.has_value(), b.latency);
    std::printf("\n");
  }
}

}  // namespace

int Snapshot(const std::string& from, bool as_json) {
  const auto address = net::ParseAddress(from);
  const Result result = address ? Fetch(*address).result : Load(from);
  if (as_json) {
    ordered_json rows = ordered_json::array();
    for (const Heard& heard : result.lanes) rows.push_back(LaneJson(heard));
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
