#include "lab/sockets/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

namespace opalroute::lab {

void DieWithParent(pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // No signal is sent if the parent ended before the prctl call.
  if (getppid() != parent) _exit(126);
}

namespace {

// Waits until the child has called execve or exited. Until then it holds copies of all descriptors, so a
// listener that is closed here would keep listening there.
void WaitForEndOfFile(int pipe_fd) {
  char byte = 0;
  while (read(pipe_fd, &byte, 1) < 0 && errno == EINTR) {
  }
}

}  // namespace

Process::Process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::map<std::string, std::string>& variables, std::string log)
    : log_(std::move(log)) {
  const pid_t parent = getpid();
  // All memory is allocated before the fork: the child may only call async-signal-safe functions.
  std::vector<std::string> strings = {program};
  strings.insert(strings.end(), arguments.begin(), arguments.end());
  // The settings of a production relay on this machine must not apply to the child.
  const auto is_relay_variable = [](const std::string& variable) {
    return variable.rfind("EDGE_", 0) == 0 || variable.rfind("OPALROUTE_", 0) == 0;
  };
  for (char** variable = environ; *variable != nullptr; ++variable)
    if (!is_relay_variable(*variable)) strings.emplace_back(*variable);
  const std::size_t first_variable = 1 + arguments.size();
  for (const auto& [name, value] : variables) strings.push_back(name + "=" + value);
  std::vector<char*> argv, environment;
  for (std::size_t i = 0; i < strings.size(); ++i)
    (i < first_variable ? argv : environment).push_back(strings[i].data());
  argv.push_back(nullptr);
  environment.push_back(nullptr);
  const int log_fd = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log_fd < 0) throw std::system_error(errno, std::generic_category(), "cannot open log " + log_);
  int exec_pipe[2];
  if (pipe2(exec_pipe, O_CLOEXEC) != 0) {
    const int error = errno;
    close(log_fd);
    throw std::system_error(error, std::generic_category(), "cannot create a pipe to a child process");
  }
  pid_ = fork();
  if (pid_ == 0) {
    DieWithParent(parent);
    dup2(log_fd, STDOUT_FILENO);
    dup2(log_fd, STDERR_FILENO);
    sigset_t no_signals;
    sigemptyset(&no_signals);
    sigprocmask(SIG_SETMASK, &no_signals, nullptr);
    execve(program.c_str(), argv.data(), environment.data());
    _exit(127);
  }
  const int error = errno;
  close(log_fd);
  close(exec_pipe[1]);
  if (pid_ > 0) WaitForEndOfFile(exec_pipe[0]);
  close(exec_pipe[0]);
  if (pid_ < 0) throw std::system_error(error, std::generic_category(), "fork");
}

Process::~Process() {
  if (PollExit()) return;
  kill(pid_, SIGCONT);
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Process::Signal(int number) {
  if (!PollExit()) kill(pid_, number);
}

const std::optional<std::string>& Process::PollExit() {
  int status = 0;
  if (!exit_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    exit_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                : "exit status " + std::to_string(WEXITSTATUS(status));
  }
  return exit_;
}

std::string Process::ReadLogTail(const std::string& log) {
  constexpr std::size_t kBytes = 2000;
  std::ifstream file(log, std::ios::binary | std::ios::ate);
  if (!file) return {};
  const auto size = static_cast<std::size_t>(file.tellg());
  file.seekg(static_cast<std::streamoff>(size > kBytes ? size - kBytes : 0));
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  const std::size_t newline = size > kBytes ? text.find('\n') : std::string::npos;
  return newline == std::string::npos ? text : text.substr(newline + 1);
}

namespace {

// The value of a field of /proc/PID/status, in kB; 0 if there is none.
long ReadStatusKilobytes(const std::string& proc_folder, const std::string& field) {
  std::ifstream status(proc_folder + "/status");
  std::string name;
  long value = 0;
  while (status >> name) {
    if (name == field + ":" && status >> value) return value;
    std::getline(status, name);
  }
  return 0;
}

}  // namespace

std::optional<ProcessSample> ReadProcessSample(pid_t pid) {
  ProcessSample sample;
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream memory(folder + "/statm");
  long pages = 0, resident = 0;
  // A zombie still has a statm file, with all values 0 (proc(5)).
  if (!(memory >> pages >> resident) || resident == 0) return std::nullopt;
  sample.rss_kb = resident * (sysconf(_SC_PAGESIZE) / 1024);
  sample.peak_rss_kb = ReadStatusKilobytes(folder, "VmHWM");
  std::ifstream stat(folder + "/stat");
  std::string text;
  std::getline(stat, text);
  // Fields 14 and 15. Parsing starts behind the command name, which may contain spaces (proc(5)).
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 2)));
  std::string field;
  for (int i = 3; i < 14; ++i) fields >> field;
  long user = 0, system = 0;
  if (fields >> user >> system)
    sample.cpu = static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::error_code error;
  for (std::filesystem::directory_iterator it(folder + "/fd", error), end; !error && it != end;
       it.increment(error))
    ++sample.descriptors;
  return sample;
}

}  // namespace opalroute::lab
