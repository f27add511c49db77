// A child process whose output goes to a file and which is killed when the parent process ends.
#pragma once

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lab/result.h"

namespace opalroute::lab {

// To be called by a child right after fork(): the child is killed when its parent ends for any reason, and
// exits at once if the parent has already ended.
void DieWithParent(pid_t parent);

// Reads /proc and leaves ProcessSample::at at 0. Returns nothing for a process that has exited, reaped or
// not.
std::optional<ProcessSample> ReadProcessSample(pid_t pid);

class Process {
 public:
  // Throws std::system_error if the process cannot be created. Its output is appended to the file `log`. It
  // inherits this process's environment except for a relay's variables (EDGE_..., OPALROUTE_...), and gets
  // `variables`.
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::map<std::string, std::string>& variables, std::string log);
  ~Process();  // kills with SIGKILL and reaps
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int number);
  // "exit status 1" or "signal 9", for example; nothing while the process runs.
  const std::optional<std::string>& PollExit();
  static std::string ReadLogTail(const std::string& log);
  std::string LogTail() const { return ReadLogTail(log_); }
  std::optional<ProcessSample> Sample() const { return ReadProcessSample(pid_); }

 private:
  const std::string log_;
  pid_t pid_ = -1;
  std::optional<std::string> exit_;
};

}  // namespace opalroute::lab
