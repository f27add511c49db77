#include "hot_restart/route_health_file.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace opalroute::hot_restart {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMaxEntries = 3;

class RouteHealthFileFixture {
 protected:
  RouteHealthFileFixture() { fs::create_directories(folder_); }
  ~RouteHealthFileFixture() { fs::remove_all(folder_); }

  RouteHealthFile Open(int own_slot = 0) const { return {folder_, own_slot, 1 - own_slot, kMaxEntries}; }
  static SavedRouteHealth Health(std::int64_t destination, RouteCondition condition, std::int64_t written) {
    return {destination, 7, condition, condition == RouteCondition::kSuspected, 2, written - 10, written};
  }

  const std::string folder_ = fs::temp_directory_path() / ("opalroute-health-" + std::to_string(getpid()));
};

TEST_CASE_FIXTURE(RouteHealthFileFixture, "route health file: the next process reads what was saved last") {
  {
    RouteHealthFile file = Open();
    CHECK(file.Save(Health(1, RouteCondition::kFaulty, 100)));
    CHECK(file.Save(Health(1, RouteCondition::kSuspected, 200)));
    CHECK(file.Save(Health(2, RouteCondition::kSlowStart, 250)));
    CHECK(file.Save(Health(3, RouteCondition::kSuspected, 260)));
    CHECK(file.Save(Health(3, RouteCondition::kServing, 270)));
  }
  const auto saved = Open().NotServing();
  REQUIRE(saved.size() == 2);
  CHECK(saved[0].destination == 1);
  CHECK(saved[0].condition == RouteCondition::kSuspected);
  CHECK(saved[0].circuit_open);
  CHECK(saved[0].faults == 2);
  CHECK(saved[0].since == 190);
  CHECK(saved[1].condition == RouteCondition::kSlowStart);
}

TEST_CASE_FIXTURE(RouteHealthFileFixture,
                  "route health file: of the files of two processes, the newer entry of a route counts") {
  Open(0).Save(Health(1, RouteCondition::kSuspected, 100));
  Open(1).Save(Health(1, RouteCondition::kServing, 200));
  CHECK(Open(0).NotServing().empty());
  Open(1).Save(Health(1, RouteCondition::kSuspected, 300));
  CHECK(Open(0).NotServing().size() == 1);
}

TEST_CASE_FIXTURE(RouteHealthFileFixture, "route health file: a torn or damaged record is skipped alone") {
  {
    RouteHealthFile file = Open();
    for (int i = 1; i <= 3; ++i) file.Save(Health(i, RouteCondition::kSuspected, 100 * i));
  }
  const std::string path = folder_ + "/health.0";
  std::fstream(path, std::ios::in | std::ios::out | std::ios::binary).seekp(45).write("x", 1);
  fs::resize_file(path, 3 * RouteHealthFile::kRecordBytes - 1);
  const auto saved = Open().NotServing();
  REQUIRE(saved.size() == 1);
  CHECK(saved[0].destination == 1);
}

TEST_CASE_FIXTURE(RouteHealthFileFixture, "route health file: a full one drops serving routes first") {
  RouteHealthFile file = Open();
  file.Save(Health(1, RouteCondition::kSuspected, 100));
  file.Save(Health(2, RouteCondition::kServing, 200));
  file.Save(Health(3, RouteCondition::kSuspected, 300));
  file.Save(Health(4, RouteCondition::kSuspected, 400));
  CHECK(Open().NotServing().size() == 3);
  file.Save(Health(5, RouteCondition::kSuspected, 500));
  const auto saved = Open().NotServing();
  REQUIRE(saved.size() == 3);
  CHECK(saved[0].destination == 3);
  CHECK(fs::file_size(folder_ + "/health.0") == kMaxEntries * RouteHealthFile::kRecordBytes);
}

}  // namespace
}  // namespace opalroute::hot_restart
