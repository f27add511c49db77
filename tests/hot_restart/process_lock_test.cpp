// The slots of the processes of one relay. Locks of two open files exclude each other within one process,
// too.
#include "hot_restart/process_lock.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <optional>
#include <string>

namespace opalroute::hot_restart {
namespace {

namespace fs = std::filesystem;

class LockFixture {
 protected:
  LockFixture() { fs::create_directories(folder_); }
  ~LockFixture() { fs::remove_all(folder_); }

  const std::string folder_ = fs::temp_directory_path() / ("opalroute-slots-" + std::to_string(getpid()));
};

TEST_CASE_FIXTURE(LockFixture, "process lock: two processes at most, one where no other is expected") {
  std::optional<ProcessLock> first(std::in_place, folder_, true);
  CHECK(first->own() == 0);
  CHECK_THROWS_AS(ProcessLock(folder_, false), NoFreeSlotError);
  const ProcessLock second(folder_, true);
  CHECK(second.own() == 1);
  CHECK(second.other() == 0);
  CHECK_THROWS_AS(ProcessLock(folder_, true), NoFreeSlotError);
  first.reset();
  CHECK(ProcessLock(folder_, false).own() == 0);
}

TEST_CASE_FIXTURE(LockFixture, "process lock: the other slot is locked while an action runs, if it is free") {
  std::optional<ProcessLock> first(std::in_place, folder_, true);
  ProcessLock second(folder_, true);
  int runs = 0;
  second.TryRunWithOtherSlot([&] { ++runs; });
  CHECK(runs == 0);
  first.reset();
  second.TryRunWithOtherSlot([&] {
    ++runs;
    CHECK_THROWS_AS(ProcessLock(folder_, true), NoFreeSlotError);
  });
  CHECK(runs == 1);
  CHECK(ProcessLock(folder_, true).own() == 0);
}

}  // namespace
}  // namespace opalroute::hot_restart
