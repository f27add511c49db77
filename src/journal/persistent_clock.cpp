#include "journal/persistent_clock.h"

#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "journal/durable_file.h"
#include "net/framing.h"

namespace opalroute {

namespace {

constexpr int kVersion = 1;
constexpr std::size_t kMaxRecordBytes = 400;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

std::string SystemBootId() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  std::getline(file, id);
  return id;
}

PersistentClock::PersistentClock(const net::Clock& clock, const std::string& folder, std::string boot_id)
    : clock_(clock), folder_(folder), boot_id_(std::move(boot_id)) {
  const std::optional<std::string> bytes = ReadFileIfExists(path());
  if (bytes) {
    const net::FrameRead frame = net::ReadFrame(*bytes, kMaxRecordBytes);
    resumed_ = frame.state == net::FrameState::kComplete && Resume(frame.record);
    persisted_ = resumed_;
  }
  if (!resumed_) offset_ = clock_.WallMicros() - MonotonicMicros();
}

// If the monotonic time is less than when the offset was stored, this is a different monotonic clock, even if
// the boot ids match.
bool PersistentClock::Resume(std::string_view record) {
  const nlohmann::json saved = nlohmann::json::parse(record, nullptr, false);
  try {
    const bool same_boot = !boot_id_.empty() && saved.at("boot").get<std::string>() == boot_id_;
    const bool same_clock = saved.at("monotonic").get<std::int64_t>() <= MonotonicMicros();
    if (saved.at("version").get<int>() != kVersion || !same_boot || !same_clock) return false;
    offset_ = saved.at("offset").get<std::int64_t>();
    return true;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

std::int64_t PersistentClock::MonotonicMicros() const {
  return std::llround(clock_.Now() * kMicrosPerSecond);
}

std::int64_t PersistentClock::Micros() const { return offset_ + MonotonicMicros(); }

bool PersistentClock::Persist() {
  if (persisted_) return true;
  const nlohmann::json record = {
      {"version", kVersion}, {"boot", boot_id_}, {"offset", offset_}, {"monotonic", MonotonicMicros()}};
  persisted_ = ReplaceFile(path(), net::EncodeFrame(record.dump()));
  return persisted_;
}

}  // namespace opalroute
