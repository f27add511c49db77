// A fault injection plan: which system calls of a process fail, with which error, and when. The laboratory
// generates a plan for each process that it starts; the preloaded library reads it from an environment
// variable.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace opalroute::lab::faults {

constexpr const char* kPlanVariable = "LAB_FAULTS";

enum class SystemCall {
  kAccept,
  kSocket,
  kConnect,
  kWait,          // epoll_wait, and read of a descriptor outside the state folder (EINTR only)
  kSocketRead,    // readv, recv
  kSocketWrite,   // sendmsg
  kSendDatagram,  // sendto
  // On files in the state folder:
  kFileOpen,
  kFileRead,      // pread
  kFileWrite,     // pwrite
  kFileTruncate,  // ftruncate
  kFileRename,
};
constexpr int kSystemCallCount = 12;

// A period in which each use of `call` fails with errno `error`, with the given probability. If `error` is 0,
// reads and writes are cut short to `max_bytes` instead.
struct Episode {
  SystemCall call{};
  int error = 0;
  double from = 0, to = 0;  // seconds since the library was first called in the process
  double probability = 1;
  std::uint64_t max_bytes = 0;
};

// Shifts the wall clock by `shift` seconds, `at` seconds after the library was first called.
struct ClockStep {
  double at = 0, shift = 0;
};

struct Plan {
  std::uint64_t seed = 0;    // of the probabilities
  std::string state_folder;  // file faults apply only to files in it
  std::vector<Episode> episodes;
  std::vector<ClockStep> clock_steps;
  // The file to which the id of each client request is appended, one per line, once the process has read the
  // request's last byte. Empty: none. The file survives the process, even if that is killed.
  std::string requests_read;

  std::string Serialize() const;
  // Throws std::invalid_argument if the text is not a valid plan.
  static Plan Parse(const std::string& text);
};

}  // namespace opalroute::lab::faults
