// Guards against killing a relay process without telling the auditor when signals to one relay overlap: a
// second planned start would replace, and so kill, the process that the first one started.
#include "lab/sockets/restart_schedule.h"

#include <doctest/doctest.h>

namespace opalroute::lab {
namespace {

using State = RestartSchedule::State;
constexpr net::Seconds kKillAfter = 3.7;

RestartSchedule RunningSchedule() {
  RestartSchedule schedule(kKillAfter);
  schedule.OnStarted();
  return schedule;
}

TEST_CASE("lab: SIGTERM is followed by SIGKILL after its grace period, and by a start") {
  RestartSchedule schedule = RunningSchedule();
  CHECK(schedule.OnTerminate(1, 0.5));
  CHECK(schedule.state() == State::kStopping);
  CHECK(!schedule.IsKillDue(4.69));
  CHECK(schedule.IsKillDue(4.7));
  CHECK(!schedule.IsStartDue(10));  // the process still runs
  schedule.OnExited();
  CHECK(!schedule.IsKillDue(5));
  CHECK(!schedule.IsStartDue(5.19));
  CHECK(schedule.IsStartDue(5.2));
  schedule.OnStarted();
  CHECK(schedule.state() == State::kRunning);
  CHECK(!schedule.IsStartDue(100));
}

TEST_CASE("lab: a process that ends before SIGKILL is not restarted earlier") {
  RestartSchedule schedule = RunningSchedule();
  schedule.OnTerminate(1, 0.5);
  schedule.OnExited();
  CHECK(!schedule.IsStartDue(5.1));
  CHECK(schedule.IsStartDue(5.3));
}

TEST_CASE("lab: a second SIGTERM is sent and delays neither SIGKILL nor the start") {
  RestartSchedule schedule = RunningSchedule();
  schedule.OnTerminate(1.42, 0.58);
  CHECK(schedule.OnTerminate(2.34, 0.82));
  CHECK(schedule.IsKillDue(5.12));
  schedule.OnExited();
  CHECK(schedule.next_start() == doctest::Approx(1.42 + kKillAfter + 0.58));
  schedule.OnStarted();
  CHECK(!schedule.IsStartDue(2.34 + kKillAfter +
                             0.82));  // no second start, which would kill the running process
}

TEST_CASE("lab: SIGKILL during a stop ends the process, and the downtime counts from it") {
  RestartSchedule schedule = RunningSchedule();
  schedule.OnTerminate(1, 0.5);
  CHECK(schedule.OnKill(2, 0.3));
  CHECK(schedule.state() == State::kDown);
  CHECK(!schedule.IsKillDue(10));
  CHECK(schedule.IsStartDue(2.3));
}

TEST_CASE("lab: a signal has no effect while no process runs") {
  RestartSchedule schedule = RunningSchedule();
  schedule.OnKill(1, 1);
  CHECK(!schedule.OnKill(1.5, 0.1));
  CHECK(!schedule.OnTerminate(1.5, 0.1));
  CHECK(schedule.next_start() == doctest::Approx(2));
}

TEST_CASE("lab: a crashed process is not restarted") {
  RestartSchedule schedule = RunningSchedule();
  schedule.OnExited();
  CHECK(!schedule.IsStartDue(1000));
}

}  // namespace
}  // namespace opalroute::lab
