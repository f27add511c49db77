// PersistentClock under steps of the wall clock, restarts, reboots and damaged files.
#include "journal/persistent_clock.h"

#include <doctest/doctest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <string>

#include "journal/durable_file.h"

namespace opalroute {
namespace {

namespace fs = std::filesystem;

class FakeClock : public net::Clock {
 public:
  net::Seconds Now() const override { return now; }
  std::int64_t WallMicros() const override { return wall; }
  void Advance(net::Seconds time) {
    now += time;
    wall += static_cast<std::int64_t>(time * 1e6);
  }
  net::Seconds now = 50;
  std::int64_t wall = 1'700'000'000'000'000;
};

constexpr std::int64_t kHourMicros = 3'600'000'000;

class ClockFixture {
 protected:
  ClockFixture() { fs::create_directories(folder_); }
  ~ClockFixture() { fs::remove_all(folder_); }
  PersistentClock StartProcess(const std::string& boot = "boot-1") const { return {machine_, folder_, boot}; }

  const std::string folder_ = fs::temp_directory_path() / ("opalroute-clock-" + std::to_string(getpid()));
  FakeClock machine_;
};

TEST_CASE_FIXTURE(ClockFixture,
                  "clock: unaffected by steps of the wall clock, within a process and after a restart") {
  PersistentClock first = StartProcess();
  CHECK(!first.resumed());
  REQUIRE(first.Persist());
  const std::int64_t start = first.Micros();
  for (const std::int64_t step : {kHourMicros, -2 * kHourMicros, std::int64_t{5'000'000}}) {
    machine_.wall += step;
    machine_.Advance(1);
    CHECK(first.Micros() - start == std::llround((machine_.now - 50) * 1e6));
    const PersistentClock next = StartProcess();
    CHECK(next.resumed());
    CHECK(next.Micros() == first.Micros());
  }
  CHECK(first.WallStep() == -kHourMicros + 5'000'000);
}

TEST_CASE_FIXTURE(ClockFixture, "clock: after a reboot the wall clock is read again") {
  PersistentClock first = StartProcess();
  REQUIRE(first.Persist());
  const std::int64_t before = first.Micros();
  machine_.Advance(100);
  machine_.now = 1000;  // a monotonic clock may start at any value
  PersistentClock next = StartProcess("boot-2");
  CHECK(!next.resumed());
  CHECK(next.Micros() - before == 100'000'000);
  REQUIRE(next.Persist());
  machine_.wall += kHourMicros;
  CHECK(StartProcess("boot-2").Micros() == next.Micros());
}

TEST_CASE_FIXTURE(ClockFixture, "clock: not resumed with a different monotonic clock or without a boot id") {
  REQUIRE(StartProcess().Persist());
  machine_.now = 49;
  CHECK(!StartProcess().resumed());
  machine_.now = 51;
  CHECK(StartProcess().resumed());
  CHECK(!StartProcess("").resumed());
  REQUIRE(StartProcess("").Persist());
  CHECK(!StartProcess("").resumed());
}

TEST_CASE_FIXTURE(ClockFixture, "clock: a truncated file is ignored and replaced") {
  REQUIRE(StartProcess().Persist());
  const std::string whole = *ReadFileIfExists(folder_ + "/clock");
  for (std::size_t size = 0; size < whole.size(); ++size) {
    std::ofstream(folder_ + "/clock", std::ios::trunc) << whole.substr(0, size);
    CHECK(!StartProcess().resumed());
  }
  REQUIRE(StartProcess().Persist());
  CHECK(StartProcess().resumed());
}

TEST_CASE_FIXTURE(ClockFixture, "clock: a failed write can be retried") {
  PersistentClock clock = StartProcess();
  const std::string moved_folder = folder_ + ".away";
  fs::rename(folder_, moved_folder);
  CHECK(!clock.Persist());
  fs::rename(moved_folder, folder_);
  CHECK(clock.Persist());
  CHECK(StartProcess().resumed());
  CHECK(!fs::exists(folder_ + "/clock.new"));
}

TEST_CASE("clock: the boot id is available and stable") {
  CHECK(SystemBootId().size() == 36);
  CHECK(SystemBootId() == SystemBootId());
}

}  // namespace
}  // namespace opalroute
