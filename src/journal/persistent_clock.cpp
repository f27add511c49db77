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
constexpr std::size_t kMostRecord = 400;

}  // namespace

std::string SystemBootId() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  std::getline(file, id);
  return id;
}

PersistentClock::PersistentClock(const net::Clock& clock, const std::string& folder, std::string boot_id)
    : clock_(clock), folder_(folder), boot_id_(std::move(boot_id)) {
  const std::optional<std::string> bytes = ReadFileIfThere(path());
  if (bytes) {
    const net::FrameRead frame = net::ReadFrame(*bytes, kMostRecord);
    resumed_ = persisted_ = frame.state == net::FrameState::kWhole && Resume(std::string(frame.record));
  }
  if (!resumed_) offset_ = clock_.WallMicros() - MonotonicMicros();
}

// A monotonic clock that shows less than when the offset was kept is another one, whatever the boot's id
// says.
bool PersistentClock::Resume(const std::string& record) {
  const nlohmann::json kept = nlohmann::json::parse(record, nullptr, false);
  try {
    const bool same_boot = !boot_id_.empty() && kept.at("boot").get<std::string>() == boot_id_;
    const bool same_clock = kept.at("monotonic").get<std::int64_t>() <= MonotonicMicros();
    if (kept.at("version").get<int>() != kVersion || !same_boot || !same_clock) return false;
    offset_ = kept.at("offset").get<std::int64_t>();
    return true;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

std::int64_t PersistentClock::MonotonicMicros() const { return std::llround(clock_.Now() * 1e6); }

std::int64_t PersistentClock::Micros() const { return offset_ + MonotonicMicros(); }

bool PersistentClock::Persist() {
  if (persisted_) return true;
  const nlohmann::json record = {
      {"version", kVersion}, {"boot", boot_id_}, {"offset", offset_}, {"monotonic", MonotonicMicros()}};
  persisted_ = ReplaceFile(path(), net::Frame(record.dump()));
  return persisted_;
}

}  // namespace opalroute
