#include <doctest/doctest.h>

#include "tests/support/process_run.h"

namespace opalroute::lab {
namespace {

TEST_CASE(
    "processes: 41 relays that are killed during an outage do not overload the endpoints that come back") {
  const RunResult result = RunWithProcesses("recovery_processes", 1);
  CHECK(result.calls > 500);
}

}  // namespace
}  // namespace opalroute::lab
