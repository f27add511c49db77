#include "relay/tier_state.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "journal/durable_file.h"
#include "net/framing.h"

namespace opalroute {

namespace {

using nlohmann::json;

constexpr int kVersion = 1;
constexpr std::size_t kMostRecord = TierState::kMostBytes / 2 - 512;  // files count in whole blocks

}  // namespace

TierState::Kept TierState::Load(const std::string& relay, const std::vector<std::string>& zones,
                                std::int64_t now, double oldest) const {
  Kept kept;
  std::ifstream file(path_, std::ios::binary);
  if (!file) return kept;
  std::string bytes(kMostBytes, '\0');
  file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  bytes.resize(static_cast<std::size_t>(file.gcount()));
  kept.end = "broken";
  const net::FrameRead frame = net::ReadFrame(bytes, kMostRecord);
  if (frame.state != net::FrameState::kWhole || frame.size != bytes.size()) return kept;
  const json all = json::parse(frame.record, nullptr, false);
  try {
    if (all.at("version").get<int>() != kVersion) {
      kept.end = "other version";
      return kept;
    }
    if (all.at("relay").get<std::string>() != relay) {
      kept.end = "other relay";
      return kept;
    }
    kept.life = all.at("life").get<std::uint64_t>();
    const double age = static_cast<double>(now - all.at("at").get<std::int64_t>()) / 1e6;
    const bool old = age < 0 || age > oldest;
    std::vector<zones::Stage> stages(old ? 0 : zones.size());
    std::vector<zones::HandOrder> orders(zones.size());
    for (std::size_t i = 0; i < zones.size(); ++i) {
      const auto row = all.at("zones").find(zones[i]);
      if (row == all.at("zones").end()) continue;  // it is new
      const int step = row->at("step").get<int>();
      if (step < 0 || step > static_cast<int>(zones::Step::kIn)) return kept;
      if (!old)
        stages[i] = {row->at("round").get<std::uint64_t>(), static_cast<zones::Step>(step),
                     std::clamp(row->at("relapses").get<int>(), 0, 31), age + row->at("age").get<double>()};
      const auto order = row->find("order");  // an earlier build writes none
      if (order == row->end()) continue;
      const auto what = zones::ByHandOf(order->at("what").get<std::string>());
      if (!what) return kept;
      orders[i] = {order->at("number").get<std::uint64_t>(), order->at("by").get<int>(), *what,
                   order->at("left").get<double>() - std::max(0.0, age)};
    }
    kept.zones = {std::move(stages), std::move(orders)};
    kept.end = old ? "too old" : "whole";
  } catch (const json::exception&) { kept.life = 0; }
  return kept;
}

bool TierState::Save(const std::string& relay, const std::vector<std::string>& zones, std::int64_t now,
                     std::uint64_t life, const zones::Member::Kept& kept) const {
  json all = {
      {"version", kVersion}, {"relay", relay}, {"life", life}, {"at", now}, {"zones", json::object()}};
  for (std::size_t i = 0; i < zones.size() && i < kept.stages.size(); ++i) {
    const zones::Stage& stage = kept.stages[i];
    json& row = all["zones"][zones[i]];
    row = {{"round", stage.round},
           {"step", static_cast<int>(stage.step)},
           {"relapses", stage.relapses},
           {"age", stage.since}};
    if (i >= kept.orders.size() || kept.orders[i].number == 0) continue;
    const zones::HandOrder& order = kept.orders[i];
    row["order"] = {{"number", order.number},
                    {"by", order.by},
                    {"what", zones::NameOf(order.what)},
                    {"left", order.until}};
  }
  const std::string record = all.dump();
  if (record.size() > kMostRecord) return false;
  return ReplaceFile(path_, net::Frame(record));
}

}  // namespace opalroute
