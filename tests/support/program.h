// The relay program as a process of its own, with its log.
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

class Program {
 public:
  Program(const std::filesystem::path& config, const std::string& discovery,
          std::vector<std::string> arguments = {}, const char* program = RELAY_PROGRAM,
          void (*before)() = nullptr) {
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    pid_ = fork();
    if (pid_ == 0) {
      dup2(ends[1], STDOUT_FILENO);
      close(ends[0]);
      close(ends[1]);
      setenv("EDGE_CONFIG", config.c_str(), 1);
      setenv("EDGE_DISCOVERY", discovery.c_str(), 1);
      std::vector<char*> line = {const_cast<char*>(program)};
      for (std::string& argument : arguments) line.push_back(argument.data());
      line.push_back(nullptr);
      if (before != nullptr) before();
      execv(program, line.data());
      _exit(127);
    }
    close(ends[1]);
    log_ = fdopen(ends[0], "r");
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;
  ~Program() {
    if (pid_ > 0) kill(pid_, SIGKILL);
    if (pid_ > 0) waitpid(pid_, nullptr, 0);
    fclose(log_);
  }
  void Signal(int number) { kill(pid_, number); }
  // Reads its log up to a line that holds this; false: it ended before.
  bool Says(const std::string& text) { return !Line(text).empty(); }
  // The line itself, or nothing.
  std::string Line(const std::string& text) {
    char line[4096];
    while (fgets(line, sizeof(line), log_) != nullptr)
      if (std::string(line).find(text) != std::string::npos) return line;
    return {};
  }
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
