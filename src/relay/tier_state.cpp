#include "relay/tier_state.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

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
    if (age < 0 || age > oldest) {
      kept.end = "too old";
      return kept;
    }
    std::vector<zones::Stage> stages(zones.size());
    for (std::size_t i = 0; i < zones.size(); ++i) {
      const auto row = all.at("zones").find(zones[i]);
      if (row == all.at("zones").end()) continue;  // it is new
      const int step = row->at("step").get<int>();
      if (step < 0 || step > static_cast<int>(zones::Step::kIn)) return kept;
      stages[i] = {row->at("round").get<std::uint64_t>(), static_cast<zones::Step>(step),
                   std::clamp(row->at("relapses").get<int>(), 0, 31), age + row->at("age").get<double>()};
    }
    kept.stages = std::move(stages);
    kept.end = "whole";
  } catch (const json::exception&) { kept.life = 0; }
  return kept;
}

bool TierState::Save(const std::string& relay, const std::vector<std::string>& zones, std::int64_t now,
                     std::uint64_t life, const std::vector<zones::Stage>& stages) const {
  json all = {
      {"version", kVersion}, {"relay", relay}, {"life", life}, {"at", now}, {"zones", json::object()}};
  for (std::size_t i = 0; i < zones.size() && i < stages.size(); ++i)
    all["zones"][zones[i]] = {{"round", stages[i].round},
                              {"step", static_cast<int>(stages[i].step)},
                              {"relapses", stages[i].relapses},
                              {"age", stages[i].since}};
  const std::string record = all.dump();
  if (record.size() > kMostRecord) return false;
  const std::string fresh = path_ + ".new";
  std::ofstream file(fresh, std::ios::binary | std::ios::trunc);
  file << net::Frame(record);
  file.close();
  if (file && std::rename(fresh.c_str(), path_.c_str()) == 0) return true;
  std::remove(fresh.c_str());
  return false;
}

}  // namespace opalroute
