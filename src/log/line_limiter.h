// Limits how many lines of one kind are written to the log.
#pragma once

#include <cstdint>
#include <utility>

namespace opalroute::log {

class LineLimiter {
 public:
  // `lines_per_second`: at most so many lines in each second.
  explicit LineLimiter(int lines_per_second) : lines_per_second_(lines_per_second) {}

  // Whether another line may be written in this second, a count that never decreases.
  bool MayLog(std::int64_t second) {
    if (std::exchange(second_, second) != second) lines_ = 0;
    if (++lines_ <= lines_per_second_) return true;
    ++suppressed_;
    return false;
  }
  // Lines that were not written since the last call.
  long TakeSuppressed() { return std::exchange(suppressed_, 0); }

 private:
  const int lines_per_second_;
  std::int64_t second_ = -1;
  int lines_ = 0;
  long suppressed_ = 0;
};

}  // namespace opalroute::log
