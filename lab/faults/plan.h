// What a preloaded library makes of a process's system calls: which calls fail, how, and when. The laboratory
// draws a plan for each process that it starts; the library reads it from an environment variable.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace opalroute::lab::faults {

constexpr const char* kPlanVariable = "LAB_FAULTS";

enum class Call {
  kAccept,
  kSocket,
  kConnect,
  kWait,    // epoll_wait
  kRead,    // from a socket: read, readv, recv
  kWrite,   // to a socket: sendmsg
  kSend,    // of a datagram
  kOpen,    // of a file in the state folder
  kLoad,    // pread there
  kStore,   // pwrite there
  kCut,     // ftruncate there
  kRename,  // there
};
constexpr int kCalls = 12;

// A stretch of time in which a call fails with that error, each time with that chance. With `error` 0 a read
// or write is cut short instead: at most `bytes` of it are done.
struct Episode {
  Call call{};
  int error = 0;
  double from = 0, to = 0;  // seconds since the process's first call
  double chance = 1;
  std::uint64_t bytes = 0;
};

// The wall clock is set by so many seconds at that time.
struct ClockStep {
  double at = 0, by = 0;
};

struct Plan {
  std::uint64_t seed = 0;  // of the chances
  std::string folder;      // the state folder: faults of files strike only there
  std::vector<Episode> episodes;
  std::vector<ClockStep> steps;
  // Where the ids of clients' requests are appended, one a line, once the process has read their last byte;
  // empty: nowhere. Outlives the process, however that ends.
  std::string requests_read;

  std::string Write() const;
  // Throws std::invalid_argument if the text is no plan.
  static Plan Read(const std::string& text);
};

}  // namespace opalroute::lab::faults
