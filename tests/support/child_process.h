// Runs the relay, or another program, as a child process and reads its log from standard output.
#pragma once

#include <doctest/doctest.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <string>
#include <vector>

namespace opalroute {

class ChildProcess {
 public:
  ChildProcess(const std::filesystem::path& config, const std::string& discovery,
               std::vector<std::string> arguments = {}, const char* program = RELAY_PROGRAM,
               void (*before_exec)() = nullptr) {
    int pipe_fds[2];
    REQUIRE(pipe(pipe_fds) == 0);
    pid_ = fork();
    if (pid_ == 0) {
      dup2(pipe_fds[1], STDOUT_FILENO);
      close(pipe_fds[0]);
      close(pipe_fds[1]);
      setenv("EDGE_CONFIG", config.c_str(), 1);
      setenv("EDGE_DISCOVERY", discovery.c_str(), 1);
      std::vector<char*> argv = {const_cast<char*>(program)};
      for (std::string& argument : arguments) argv.push_back(argument.data());
      argv.push_back(nullptr);
      if (before_exec != nullptr) before_exec();
      execv(program, argv.data());
      _exit(127);
    }
    close(pipe_fds[1]);
    log_ = fdopen(pipe_fds[0], "r");
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess() {
    if (pid_ > 0) kill(pid_, SIGKILL);
    if (pid_ > 0) waitpid(pid_, nullptr, 0);
    fclose(log_);
  }
  void Signal(int number) { kill(pid_, number); }
  // Reads the log up to a line that contains `text`. Returns false if the process closed the log before.
  bool ReadLogUntil(const std::string& text) { return !ReadLogLine(text).empty(); }
  // The same; returns the line, or an empty string.
  std::string ReadLogLine(const std::string& text) {
    char line[4096];
    while (fgets(line, sizeof(line), log_) != nullptr)
      if (std::string(line).find(text) != std::string::npos) return line;
    return {};
  }
  // Waits for the process to end and returns its wait status (waitpid(2)).
  int ExitStatus() {
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    return status;
  }

 private:
  pid_t pid_ = -1;
  FILE* log_ = nullptr;
};

}  // namespace opalroute
