#include "relay/membership_file.h"

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
constexpr std::size_t kMostRecord = MembershipFile::kMostBytes / 2 - 512;  // files count in whole blocks

}  // namespace

MembershipFile::Saved MembershipFile::Load(const std::string& relay, const std::vector<std::string>& zones,
                                           std::int64_t now, double oldest) const {
  Saved kept;
  std::ifstream file(path_, std::ios::binary);
  if (!file) return kept;
  std::string bytes(kMostBytes, '\0');
  file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  bytes.resize(static_cast<std::size_t>(file.gcount()));
  kept.load_result = "broken";
  const net::FrameRead frame = net::ReadFrame(bytes, kMostRecord);
  if (frame.state != net::FrameState::kWhole || frame.size != bytes.size()) return kept;
  const json all = json::parse(frame.record, nullptr, false);
  try {
    if (all.at("version").get<int>() != kVersion) {
      kept.load_result = "other version";
      return kept;
    }
    if (all.at("relay").get<std::string>() != relay) {
      kept.load_result = "other relay";
      return kept;
    }
    kept.incarnation = all.at("life").get<std::uint64_t>();
    const double age = static_cast<double>(now - all.at("at").get<std::int64_t>()) / 1e6;
    const bool old = age < 0 || age > oldest;
    std::vector<zone_failover::EvacuationState> stages(old ? 0 : zones.size());
    std::vector<zone_failover::OperatorOverride> orders(zones.size());
    for (std::size_t i = 0; i < zones.size(); ++i) {
      const auto row = all.at("zones").find(zones[i]);
      if (row == all.at("zones").end()) continue;  // it is new
      const int step = row->at("step").get<int>();
      if (step < 0 || step > static_cast<int>(zone_failover::EvacuationPhase::kInService)) return kept;
      if (!old)
        stages[i] = {row->at("round").get<std::uint64_t>(), static_cast<zone_failover::EvacuationPhase>(step),
                     std::clamp(row->at("relapses").get<int>(), 0, 31), age + row->at("age").get<double>()};
      const auto order = row->find("order");  // an earlier build writes none
      if (order == row->end()) continue;
      const auto what = zone_failover::OverrideKindOf(order->at("what").get<std::string>());
      if (!what) return kept;
      orders[i] = {order->at("number").get<std::uint64_t>(), order->at("by").get<int>(), *what,
                   order->at("left").get<double>() - std::max(0.0, age)};
    }
    kept.zones = {std::move(stages), std::move(orders)};
    kept.load_result = old ? "too old" : "whole";
  } catch (const json::exception&) {
    kept.incarnation = 0;
  }
  return kept;
}

bool MembershipFile::Save(const std::string& relay, const std::vector<std::string>& zones, std::int64_t now,
                          std::uint64_t life, const zone_failover::ZoneFailover::SavedState& kept) const {
  json all = {
      {"version", kVersion}, {"relay", relay}, {"life", life}, {"at", now}, {"zones", json::object()}};
  for (std::size_t i = 0; i < zones.size() && i < kept.states.size(); ++i) {
    const zone_failover::EvacuationState& stage = kept.states[i];
    json& row = all["zones"][zones[i]];
    row = {{"round", stage.round},
           {"step", static_cast<int>(stage.phase)},
           {"relapses", stage.relapses},
           {"age", stage.since}};
    if (i >= kept.overrides.size() || kept.overrides[i].sequence == 0) continue;
    const zone_failover::OperatorOverride& order = kept.overrides[i];
    row["order"] = {{"number", order.sequence},
                    {"by", order.issued_by},
                    {"what", zone_failover::NameOf(order.kind)},
                    {"left", order.expires_at}};
  }
  const std::string record = all.dump();
  if (record.size() > kMostRecord) return false;
  return ReplaceFile(path_, net::Frame(record));
}

}  // namespace opalroute
