// Tests of the laboratory's child processes.
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

// Guards against a child that inherits the laboratory's sockets: an endpoint that is cut off would keep
// listening, or its address would be in use.
TEST_CASE("lab: a listener that is closed after a process was started no longer listens") {
  constexpr int kRepetitions = 100;
  const std::string log =
      std::filesystem::temp_directory_path() / ("opalroute-process-" + std::to_string(getpid()));
  for (int i = 0; i < kRepetitions; ++i) {
    const ReservedAddress reserved;
    const int listener = net::OpenListener(reserved.address());
    const Process process("/bin/true", {}, {}, log);
    close(listener);
    CHECK_NOTHROW(BlackHole{reserved.address()});
  }
  std::filesystem::remove(log);
}

// The same while another thread starts processes, as concurrent runs do.
TEST_CASE("lab: an address can be made unreachable while another run starts its processes") {
  constexpr int kRepetitions = 5000;
  const std::string log =
      std::filesystem::temp_directory_path() / ("opalroute-processes-" + std::to_string(getpid()));
  std::atomic<bool> done = false;
  std::thread other_run([&] {
    while (!done) const Process process("/bin/true", {}, {}, log);
  });
  for (int i = 0; i < kRepetitions; ++i) {
    const ReservedAddress reserved;
    close(net::OpenListener(reserved.address()));
    CHECK_NOTHROW(BlackHole{reserved.address()});
  }
  done = true;
  other_run.join();
  std::filesystem::remove(log);
}

TEST_CASE("lab: a process that has exited has no sample even before it is reaped") {
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) _exit(0);
  siginfo_t exit_info;
  REQUIRE(waitid(P_PID, static_cast<id_t>(child), &exit_info, WEXITED | WNOWAIT) == 0);
  CHECK_FALSE(ReadProcessSample(child));
  CHECK(waitpid(child, nullptr, 0) == child);
}

}  // namespace
}  // namespace opalroute::lab
