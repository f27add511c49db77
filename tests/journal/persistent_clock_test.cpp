// Times that outlive the process, on machines whose wall clocks are stepped.
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

class SteppedClock : public net::Clock {
 public:
  net::Seconds Now() const override { return now; }
  std::int64_t WallMicros() const override { return wall; }
  void Run(net::Seconds time) {
    now += time;
    wall += static_cast<std::int64_t>(time * 1e6);
  }
  net::Seconds now = 50;
  std::int64_t wall = 1'700'000'000'000'000;
};

constexpr std::int64_t kHour = 3'600'000'000;

class ClockFixture {
 protected:
  ClockFixture() { fs::create_directories(folder_); }
  ~ClockFixture() { fs::remove_all(folder_); }
  PersistentClock Process(const std::string& boot = "boot-1") const { return {machine_, folder_, boot}; }

  const std::string folder_ = fs::temp_directory_path() / ("opalroute-clock-" + std::to_string(getpid()));
  SteppedClock machine_;
};

TEST_CASE_FIXTURE(ClockFixture, "clock: steps of the wall clock move no time, in one process or the next") {
  PersistentClock first = Process();
  CHECK(!first.resumed());
  REQUIRE(first.Persist());
  const std::int64_t began = first.Micros();
  for (const std::int64_t step : {kHour, -2 * kHour, std::int64_t{5'000'000}}) {
    machine_.wall += step;
    machine_.Run(1);
    CHECK(first.Micros() - began == std::llround((machine_.now - 50) * 1e6));
    const PersistentClock next = Process();
    CHECK(next.resumed());
    CHECK(next.Micros() == first.Micros());
  }
  CHECK(first.WallStep() == -kHour + 5'000'000);
}

TEST_CASE_FIXTURE(ClockFixture, "clock: after a boot it goes by the wall clock") {
  PersistentClock first = Process();
  REQUIRE(first.Persist());
  const std::int64_t before = first.Micros();
  machine_.Run(100);
  machine_.now = 1000;  // monotonic clocks may start anywhere
  PersistentClock next = Process("boot-2");
  CHECK(!next.resumed());
  CHECK(next.Micros() - before == 100'000'000);
  REQUIRE(next.Persist());
  machine_.wall += kHour;
  CHECK(Process("boot-2").Micros() == next.Micros());
}

TEST_CASE_FIXTURE(ClockFixture, "clock: another monotonic clock, or no boot's id, is not resumed") {
  REQUIRE(Process().Persist());
  machine_.now = 49;
  CHECK(!Process().resumed());
  machine_.now = 51;
  CHECK(Process().resumed());
  CHECK(!Process("").resumed());
  REQUIRE(Process("").Persist());
  CHECK(!Process("").resumed());
}

TEST_CASE_FIXTURE(ClockFixture, "clock: a damaged file is none, and is replaced") {
  REQUIRE(Process().Persist());
  const std::string whole = *ReadFileIfExists(folder_ + "/clock");
  for (std::size_t size = 0; size < whole.size(); ++size) {
    std::ofstream(folder_ + "/clock", std::ios::trunc) << whole.substr(0, size);
    CHECK(!Process().resumed());
  }
  REQUIRE(Process().Persist());
  CHECK(Process().resumed());
}

TEST_CASE_FIXTURE(ClockFixture, "clock: a folder that can't be written is tried again") {
  PersistentClock clock = Process();
  const std::string away = folder_ + ".away";
  fs::rename(folder_, away);
  CHECK(!clock.Persist());
  fs::rename(away, folder_);
  CHECK(clock.Persist());
  CHECK(Process().resumed());
  CHECK(!fs::exists(folder_ + "/clock.new"));
}

TEST_CASE("clock: a boot has an id") {
  CHECK(SystemBootId().size() == 36);
  CHECK(SystemBootId() == SystemBootId());
}

}  // namespace
}  // namespace opalroute
