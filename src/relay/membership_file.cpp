#include "relay/membership_file.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "journal/durable_file.h"
#include "net/framing.h"

namespace opalroute {

namespace {

using nlohmann::json;
using zone_failover::EvacuationPhase;
using zone_failover::EvacuationState;
using zone_failover::OperatorOverride;

constexpr int kVersion = 1;
constexpr std::size_t kMaxRecordBytes = MembershipFile::kMaxDiskBytes / 2 - kDiskBlockBytes;
constexpr int kMaxRelapses = 31;
constexpr double kMicrosPerSecond = 1e6;

// Returns nullopt if the phase is unknown.
std::optional<EvacuationPhase> ReadPhase(const json& row) {
  const int phase = row.at("step").get<int>();
  if (phase < 0 || phase > static_cast<int>(EvacuationPhase::kInService)) return std::nullopt;
  return static_cast<EvacuationPhase>(phase);
}

// `age` is the number of seconds since the file was written.
EvacuationState ReadState(const json& row, EvacuationPhase phase, double age) {
  EvacuationState state;
  state.round = row.at("round").get<std::uint64_t>();
  state.phase = phase;
  state.relapses = std::clamp(row.at("relapses").get<int>(), 0, kMaxRelapses);
  state.since = age + row.at("age").get<double>();
  return state;
}

// Returns nullopt if the kind of override is unknown. `age` as for ReadState; a file dated in the future
// counts as just written.
std::optional<OperatorOverride> ReadOverride(const json& order, double age) {
  const auto kind = zone_failover::OverrideKindOf(order.at("what").get<std::string>());
  if (!kind) return std::nullopt;
  OperatorOverride result;
  result.sequence = order.at("number").get<std::uint64_t>();
  result.issued_by = order.at("by").get<int>();
  result.kind = *kind;
  result.expires_at = order.at("left").get<double>() - std::max(0.0, age);
  return result;
}

// Reads the rows of `zones`; a zone without a row is new. Without `with_states` only the overrides are read.
// Returns nullopt if a row holds a value that this version does not know.
std::optional<zone_failover::ZoneFailover::SavedState> ReadZones(const json& rows,
                                                                 const std::vector<std::string>& zones,
                                                                 double age, bool with_states) {
  zone_failover::ZoneFailover::SavedState saved;
  saved.states.resize(with_states ? zones.size() : 0);
  saved.overrides.resize(zones.size());
  for (std::size_t i = 0; i < zones.size(); ++i) {
    const auto row = rows.find(zones[i]);
    if (row == rows.end()) continue;
    const std::optional<EvacuationPhase> phase = ReadPhase(*row);
    if (!phase) return std::nullopt;
    if (with_states) saved.states[i] = ReadState(*row, *phase, age);
    const auto order = row->find("order");
    if (order == row->end()) continue;
    const std::optional<OperatorOverride> read = ReadOverride(*order, age);
    if (!read) return std::nullopt;
    saved.overrides[i] = *read;
  }
  return saved;
}

// Reads at most `max_bytes` of the file. Returns nullopt if it can't be opened.
std::optional<std::string> ReadUpTo(const std::string& path, std::size_t max_bytes) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::string bytes(max_bytes, '\0');
  file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  bytes.resize(static_cast<std::size_t>(file.gcount()));
  return bytes;
}

json ToJson(const OperatorOverride& operator_override) {
  return {{"number", operator_override.sequence},
          {"by", operator_override.issued_by},
          {"what", zone_failover::NameOf(operator_override.kind)},
          {"left", operator_override.expires_at}};
}

json ToJson(const EvacuationState& state) {
  return {{"round", state.round},
          {"step", static_cast<int>(state.phase)},
          {"relapses", state.relapses},
          {"age", state.since}};
}

}  // namespace

MembershipFile::Saved MembershipFile::Load(const std::string& relay, const std::vector<std::string>& zones,
                                           std::int64_t now, double max_age) const {
  Saved saved;
  const std::optional<std::string> bytes = ReadUpTo(path_, kMaxDiskBytes);
  if (!bytes) return saved;
  saved.load_result = "broken";
  const net::FrameRead frame = net::ReadFrame(*bytes, kMaxRecordBytes);
  if (frame.state != net::FrameState::kComplete || frame.size != bytes->size()) return saved;
  const json record = json::parse(frame.record, nullptr, false);
  try {
    if (record.at("version").get<int>() != kVersion) {
      saved.load_result = "other version";
      return saved;
    }
    if (record.at("relay").get<std::string>() != relay) {
      saved.load_result = "other relay";
      return saved;
    }
    saved.incarnation = record.at("life").get<std::uint64_t>();
    const double age = static_cast<double>(now - record.at("at").get<std::int64_t>()) / kMicrosPerSecond;
    const bool too_old = age < 0 || age > max_age;
    auto states = ReadZones(record.at("zones"), zones, age, !too_old);
    if (!states) return saved;
    saved.zones = std::move(*states);
    saved.load_result = too_old ? "too old" : "whole";
  } catch (const json::exception&) {
    saved.incarnation = 0;
  }
  return saved;
}

bool MembershipFile::Save(const std::string& relay, const std::vector<std::string>& zones, std::int64_t now,
                          std::uint64_t incarnation,
                          const zone_failover::ZoneFailover::SavedState& state) const {
  json rows = json::object();
  for (std::size_t i = 0; i < zones.size() && i < state.states.size(); ++i) {
    json& row = rows[zones[i]] = ToJson(state.states[i]);
    const bool has_override = i < state.overrides.size() && state.overrides[i].sequence != 0;
    if (has_override) row["order"] = ToJson(state.overrides[i]);
  }
  const json record = {
      {"version", kVersion}, {"relay", relay}, {"life", incarnation}, {"at", now}, {"zones", rows}};
  const std::string bytes = record.dump();
  if (bytes.size() > kMaxRecordBytes) return false;
  return ReplaceFile(path_, net::EncodeFrame(bytes));
}

}  // namespace opalroute
