// flock(2) locks belong to open file descriptions, so two ProcessLocks in one test process exclude each other
// like those of two processes.
#include "hot_restart/process_lock.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <optional>
#include <string>

namespace opalroute::hot_restart {
namespace {

namespace fs = std::filesystem;

class ProcessLockFixture {
 protected:
  ProcessLockFixture() { fs::create_directories(folder_); }
  ~ProcessLockFixture() { fs::remove_all(folder_); }

  const std::string folder_ = fs::temp_directory_path() / ("opalroute-slots-" + std::to_string(getpid()));
};

TEST_CASE_FIXTURE(ProcessLockFixture, "process lock: two processes if two are allowed, otherwise one") {
  std::optional<ProcessLock> first(std::in_place, folder_, true);
  CHECK(first->own_slot() == 0);
  CHECK_THROWS_AS(ProcessLock(folder_, false), NoFreeSlotError);
  const ProcessLock second(folder_, true);
  CHECK(second.own_slot() == 1);
  CHECK(second.other_slot() == 0);
  CHECK_THROWS_AS(ProcessLock(folder_, true), NoFreeSlotError);
  first.reset();
  CHECK(ProcessLock(folder_, false).own_slot() == 0);
}

TEST_CASE_FIXTURE(ProcessLockFixture,
                  "process lock: the action runs only if the other slot is free, and holds its lock") {
  std::optional<ProcessLock> first(std::in_place, folder_, true);
  ProcessLock second(folder_, true);
  int runs = 0;
  second.TryRunWithOtherSlotLocked([&] { ++runs; });
  CHECK(runs == 0);
  first.reset();
  second.TryRunWithOtherSlotLocked([&] {
    ++runs;
    CHECK_THROWS_AS(ProcessLock(folder_, true), NoFreeSlotError);
  });
  CHECK(runs == 1);
  CHECK(ProcessLock(folder_, true).own_slot() == 0);
}

}  // namespace
}  // namespace opalroute::hot_restart
