// Child processes of the laboratory.
#include "lab/sockets/process.h"

#include <doctest/doctest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <string>
#include <thread>

#include "lab/sockets/loopback.h"
#include "lab/sockets/reserved_address.h"
#include "net/listener.h"

namespace opalroute::lab {
namespace {

// Guards against a child that still holds the laboratory's sockets: an endpoint that is cut off then goes on
// listening, or its address can't be had.
TEST_CASE("lab: a listener that is closed after a process was started listens no more") {
  constexpr int kTimes = 100;
  const std::string log =
      std::filesystem::temp_directory_path() / ("opalroute-process-" + std::to_string(getpid()));
  for (int i = 0; i < kTimes; ++i) {
    const ReservedAddress reserved;
    const int listener = net::OpenListener(reserved.address());
    const Process process("/bin/true", {}, {}, log);
    close(listener);
    CHECK_NOTHROW(BlackHole{reserved.address()});
  }
  std::filesystem::remove(log);
}

// The same where another thread starts processes, as plays side by side do.
TEST_CASE("lab: a machine is cut off while another play starts its processes") {
  constexpr int kTimes = 5000;
  const std::string log =
      std::filesystem::temp_directory_path() / ("opalroute-processes-" + std::to_string(getpid()));
  std::atomic<bool> over = false;
  std::thread other_play([&] {
    while (!over) const Process process("/bin/true", {}, {}, log);
  });
  for (int i = 0; i < kTimes; ++i) {
    const ReservedAddress reserved;
    close(net::OpenListener(reserved.address()));
    CHECK_NOTHROW(BlackHole{reserved.address()});
  }
  over = true;
  other_play.join();
  std::filesystem::remove(log);
}

TEST_CASE("lab: a process that has ended has no figures, though it waits to be reaped") {
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) _exit(0);
  siginfo_t info;
  REQUIRE(waitid(P_PID, static_cast<id_t>(child), &info, WEXITED | WNOWAIT) == 0);
  CHECK_FALSE(SampleOf(child));
  CHECK(waitpid(child, nullptr, 0) == child);
}

}  // namespace
}  // namespace opalroute::lab
