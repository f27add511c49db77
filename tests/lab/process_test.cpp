// Child processes of the laboratory.
#include "lab/sockets/process.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <memory>

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

}  // namespace
}  // namespace opalroute::lab
